#include "emulator/object_role.h"

namespace cuminpath::emulator {

void object_role::handle(const http::request& request, const responder_ptr& to) {
  const auto segments = path_segments(request.path());
  if (segments.size() != 3 || segments[0] != "v1" || segments[1] != "objects") {
    respond_not_found(to);
  } else if (request.method == "PUT") {
    ++m_puts;
    m_objects[segments[2]] = request.body;
    respond_json(to, 200, json::object());
  } else if (request.method == "GET") {
    ++m_gets;
    const auto found = m_objects.find(segments[2]);
    if (found == m_objects.end()) {
      respond_not_found(to);
      return;
    }
    to->respond({200,
                 {{"Content-Type", "application/octet-stream"}},
                 m_corrupt ? found->second + "?" : found->second});
  } else {
    respond_json(to, 405, {{"error", "method not allowed"}});
  }
}

json object_role::stats() const {
  std::size_t bytes = 0;
  for (const auto& [digest, content] : m_objects) {
    bytes += content.size();
  }
  return {{"gets", m_gets}, {"puts", m_puts}, {"objects", m_objects.size()}, {"bytes", bytes}};
}

std::optional<std::string> object_role::control(const json& settings) {
  m_corrupt = settings.value("corrupt", m_corrupt);
  return settings.size() == settings.count("corrupt") ? std::nullopt
                                                      : std::optional<std::string>("unknown key");
}

}  // namespace cuminpath::emulator
