#include "core/gateway/event_splitter.h"

namespace cuminpath::gateway {
namespace {

// Position after the empty line that ends the first event, or npos.
std::size_t end_of_event(std::string_view text) {
  const std::size_t plain = text.find("\n\n");
  const std::size_t carriage = text.find("\n\r\n");
  if (plain == std::string_view::npos && carriage == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < carriage ? plain + 2 : carriage + 3;
}

std::string_view id_of(std::string_view event) {
  std::string_view id;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with("id:")) {
      id = line.substr(3);
      id.remove_prefix(id.starts_with(' ') ? 1 : 0);
    }
  }
  return id;
}

}  // namespace

void event_splitter::feed(std::string_view bytes, const std::function<void(const event&)>& take) {
  // Most reads hold whole events, which then need no copy.
  std::string joined;
  if (!m_pending.empty()) {
    joined = std::move(m_pending);
    joined.append(bytes);
    bytes = joined;
    m_pending.clear();
  }
  for (std::size_t end = end_of_event(bytes); end != std::string_view::npos; end = end_of_event(bytes)) {
    const std::string_view whole = bytes.substr(0, end);
    take({whole, id_of(whole)});
    bytes.remove_prefix(end);
  }
  m_pending.assign(bytes);
}

}  // namespace cuminpath::gateway
