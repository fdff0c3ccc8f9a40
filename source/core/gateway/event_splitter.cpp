#include "core/gateway/event_splitter.h"

#include <charconv>
#include <cstdint>
#include <optional>

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

std::string_view find_event_id(std::string_view event) {
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

std::optional<std::uint64_t> parse_event_id(std::string_view id) {
  std::uint64_t number = 0;
  const char* end = id.data() + id.size();
  const auto parsed = std::from_chars(id.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
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
    const std::string_view complete = bytes.substr(0, end);
    on_event({complete, find_event_id(complete)});
    bytes.remove_prefix(end);
  }
  m_pending.assign(bytes);
}

bool is_next_event_id(std::string_view last, std::string_view id) {
  const auto last_number = parse_event_id(last);
  const auto number = parse_event_id(id);
  return last_number && number && *number > 0 && *number - 1 == *last_number;
}

}  // namespace cuminpath::gateway
