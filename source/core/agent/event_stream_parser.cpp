#include "core/agent/event_stream_parser.h"

#include <charconv>

#include "core/common/json.h"

namespace cuminpath::agent {
namespace {

// Limits the memory of a run while an event is incomplete.
constexpr std::size_t k_max_event_bytes = 1U << 20U;
// A peer that sends no events makes no progress (design, section 11).
constexpr std::size_t k_max_bytes_without_data = 64U << 10U;

// Returns the position after the string that starts at `position`, or npos if the string does not end.
std::size_t skip_string(std::string_view text, std::size_t position) {
  for (++position; position < text.size(); ++position) {
    if (text[position] == '\\') {
      ++position;
    } else if (text[position] == '"') {
      return position + 1;
    }
  }
  return std::string_view::npos;
}

std::size_t skip_whitespace(std::string_view text, std::size_t position) {
  const auto found = text.find_first_not_of(" \t\r\n", position);
  return found == std::string_view::npos ? text.size() : found;
}

}  // namespace

bool event_stream_parser::feed(std::string_view bytes, std::vector<stream_event>& events) {
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    m_line.append(bytes.substr(0, end));
    if (m_line.size() + m_event.data.size() > k_max_event_bytes) {
      return false;
    }
    if (end == std::string_view::npos) {
      return true;
    }
    bytes.remove_prefix(end + 1);
    process_line(events);
    m_line.clear();
    if (m_bytes_without_data > k_max_bytes_without_data) {
      return false;
    }
  }
  return true;
}

void event_stream_parser::process_line(std::vector<stream_event>& events) {
  std::string_view line = m_line;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    m_bytes_without_data = m_has_data ? 0 : m_bytes_without_data + m_line.size() + 1;
    if (m_has_data) {
      events.push_back(std::move(m_event));
    }
    m_event = {};
    m_has_data = false;
    return;
  }
  const auto colon = line.find(':');
  const auto name = line.substr(0, colon);
  auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (name == "data") {
    // The data lines of an event are joined by a space, because response_chunk separates events by line
    // feeds.
    if (m_has_data) {
      m_event.data += ' ';
    }
    m_event.data += value;
    m_has_data = true;
    return;
  }
  m_bytes_without_data += m_line.size() + 1;
  if (name == "event") {
    m_event.type = value;
  }
}

std::optional<std::uint64_t> token_index(std::string_view event) {
  int depth = 0;
  for (std::size_t position = 0; position < event.size();) {
    const char character = event[position];
    if (character == '"') {
      const auto end = skip_string(event, position);
      if (end == std::string_view::npos) {
        return std::nullopt;
      }
      const auto colon = skip_whitespace(event, end);
      const bool is_key = colon < event.size() && event[colon] == ':';
      if (depth == 1 && is_key && event.substr(position, end - position) == "\"index\"") {
        const auto start = skip_whitespace(event, colon + 1);
        std::uint64_t value = 0;
        const auto* last = event.data() + event.size();
        const auto [stop, code] = std::from_chars(event.data() + start, last, value);
        return code == std::errc() ? std::optional(value) : std::nullopt;
      }
      position = is_key ? colon + 1 : end;
      continue;
    }
    if (character == '{' || character == '[') {
      ++depth;
    } else if (character == '}' || character == ']') {
      --depth;
    }
    ++position;
  }
  return std::nullopt;
}

std::string token_text(std::string_view event) {
  const auto parsed = parse_json(event);
  if (!parsed) {
    return {};
  }
  const auto& document = parsed.value();
  for (const auto* pointer : {"/choices/0/text", "/choices/0/delta/content"}) {
    const json::json_pointer path(pointer);
    if (document.contains(path) && document.at(path).is_string()) {
      return document.at(path).get<std::string>();
    }
  }
  return {};
}

}  // namespace cuminpath::agent
