#include "core/gateway/event_splitter.h"

#include <charconv>

namespace cuminpath::gateway {
namespace {

constexpr std::string_view k_id_field = "id:";

}  // namespace

void event_splitter::feed(std::string_view bytes, const std::function<void(const event&)>& on_event) {
  // Most reads hold complete events, which then need no copy.
  std::string_view text = bytes;
  if (!m_pending.empty()) {
    m_pending.append(bytes);
    m_work += bytes.size();
    text = m_pending;
  }
  m_work += bytes.size();
  std::size_t event_start = 0;
  for (std::size_t position = text.size() - bytes.size(); position < text.size(); ++position) {
    if (text[position] != '\n') {
      continue;
    }
    const std::size_t line_start = event_start + m_summary.line_start;
    const std::size_t line_end =
        position > line_start && text[position - 1] == '\r' ? position - 1 : position;
    m_summary.line_start = position + 1 - event_start;
    if (line_end > line_start) {
      read_line(text.substr(line_start, line_end - line_start), line_start - event_start);
    } else if (m_summary.has_lines) {
      const std::string_view event_bytes = text.substr(event_start, m_summary.line_start);
      on_event({.bytes = event_bytes,
                .id = event_bytes.substr(m_summary.id_start, m_summary.id_size),
                .has_data = m_summary.has_data});
      m_summary = {};
      event_start = position + 1;
    }
  }
  const std::size_t rest = text.size() - event_start;
  if (m_pending.empty()) {
    m_pending.assign(text.substr(event_start));
    m_work += rest;
  } else if (event_start > 0) {
    m_pending.erase(0, event_start);
    m_work += rest;
  }
}

void event_splitter::read_line(std::string_view line, std::size_t start) {
  m_summary.has_lines = true;
  if (line.starts_with(k_id_field)) {
    const bool has_space = line.substr(k_id_field.size()).starts_with(' ');
    m_summary.id_start = start + k_id_field.size() + (has_space ? 1 : 0);
    m_summary.id_size = start + line.size() - m_summary.id_start;
  }
  m_summary.has_data = m_summary.has_data || line == "data" || line.starts_with("data:");
}

bool event_splitter::inside_event() const {
  return m_summary.has_lines || m_pending.size() > m_summary.line_start;
}

void event_splitter::reset() {
  m_pending.clear();
  m_summary = {};
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
