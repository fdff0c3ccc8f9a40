#include "core/gateway/event_splitter.h"

#include <charconv>

namespace cuminpath::gateway {
namespace {

// Returns the position after the empty line that ends the first event, or npos.
std::size_t find_event_end(std::string_view text) {
  const std::size_t lf = text.find("\n\n");
  const std::size_t crlf = text.find("\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lf < crlf ? lf + 2 : crlf + 3;
}

event_splitter::event parse_event(std::string_view bytes) {
  event_splitter::event event{.bytes = bytes};
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with("id:")) {
      event.id = line.substr(3);
      event.id.remove_prefix(event.id.starts_with(' ') ? 1 : 0);
    }
    event.has_data = event.has_data || line == "data" || line.starts_with("data:");
  }
  return event;
}

}  // namespace

void event_splitter::feed(std::string_view bytes, const std::function<void(const event&)>& on_event) {
  // Most reads hold complete events, which then need no copy.
  std::string joined;
  if (!m_pending.empty()) {
    joined = std::move(m_pending);
    joined.append(bytes);
    bytes = joined;
    m_pending.clear();
  }
  for (std::size_t end = find_event_end(bytes); end != std::string_view::npos; end = find_event_end(bytes)) {
    on_event(parse_event(bytes.substr(0, end)));
    bytes.remove_prefix(end);
  }
  m_pending.assign(bytes);
}

std::optional<std::uint64_t> parse_event_id(std::string_view id) {
  std::uint64_t number = 0;
  const char* end = id.data() + id.size();
  const auto parsed = std::from_chars(id.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

bool is_next_event_id(std::string_view last, std::string_view id) {
  const auto last_number = parse_event_id(last);
  const auto number = parse_event_id(id);
  return last_number && number && *number > 0 && *number - 1 == *last_number;
}

}  // namespace cuminpath::gateway
