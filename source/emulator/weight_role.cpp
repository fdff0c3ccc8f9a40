#include "emulator/weight_role.h"

#include <algorithm>

namespace cuminpath::emulator {

void weight_role::handle(const http::request& request, const responder_ptr& to) {
  const auto segments = path_segments(request.path());
  if (request.method != "GET" || segments.size() != 5 || segments[0] != "v1" || segments[1] != "weights") {
    respond_not_found(to);
    return;
  }
  const auto now = clock::now();
  m_busy_until = std::max(m_busy_until, now);
  if (m_busy_until - now > m_options.max_backlog) {
    ++m_refused;
    const auto wait = std::chrono::ceil<seconds>(m_busy_until - now - m_options.max_backlog);
    to->respond({429, {{"Retry-After", std::to_string(std::max<std::int64_t>(wait.count(), 1))}}, ""});
    return;
  }
  m_busy_until +=
      microseconds(m_options.expert_bytes * 1000000 / std::max<std::uint64_t>(m_options.bytes_per_second, 1));
  ++m_served;
  const auto timer = std::make_shared<asio::steady_timer>(m_context, m_busy_until);
  timer->async_wait([to, timer, size = m_options.expert_bytes](const std::error_code&) {
    to->respond({200, {{"Content-Type", "application/octet-stream"}}, std::string(size, 'w')});
  });
}

json weight_role::stats() const {
  return {{"served", m_served}, {"bytes", m_served * m_options.expert_bytes}, {"refused", m_refused}};
}

std::optional<std::string> weight_role::control(const json& settings) {
  m_options.bytes_per_second = settings.value("bytes_per_second", m_options.bytes_per_second);
  return settings.size() == settings.count("bytes_per_second") ? std::nullopt
                                                               : std::optional<std::string>("unknown key");
}

}  // namespace cuminpath::emulator
