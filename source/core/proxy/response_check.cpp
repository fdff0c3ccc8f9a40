#include "core/proxy/response_check.h"

#include <algorithm>
#include <charconv>

namespace cuminpath::proxy {

void response_check::start(std::uint64_t max_line_bytes, bool no_body) {
  m_max_line_bytes = max_line_bytes;
  m_no_body = no_body;
  m_part = part::status_line;
  m_line.clear();
  m_chunked = false;
  m_chunk_bytes_left = 0;
}

response_check::result response_check::check(std::string_view bytes) {
  const std::size_t size = bytes.size();
  const auto fail = [&](verdict found) { return result{found, size - bytes.size()}; };
  while (m_part != part::other && !bytes.empty()) {
    if (m_part == part::chunk_data) {
      const std::uint64_t data = std::min<std::uint64_t>(m_chunk_bytes_left, bytes.size());
      bytes.remove_prefix(data);
      m_chunk_bytes_left -= data;
      m_part = m_chunk_bytes_left == 0 ? part::chunk_end : part::chunk_data;
      continue;
    }
    const std::size_t line_end = bytes.find('\n');
    const std::string_view received = bytes.substr(0, line_end);
    // Not left to check_line(), since the parser gets these bytes before the rest of the line.
    if (has_byte_behind_return(received)) {
      return fail(verdict::malformed);
    }
    if (m_line.size() + received.size() > m_max_line_bytes) {
      return fail(verdict::line_too_long);
    }
    if (line_end == std::string_view::npos) {
      m_line.append(received);
      break;
    }
    // Most lines arrive in one piece and need no copy.
    const bool valid = m_line.empty() ? check_line(received) : check_line(m_line.append(received));
    if (!valid) {
      return fail(verdict::malformed);
    }
    bytes.remove_prefix(line_end + 1);
    m_line.clear();
  }
  return {verdict::valid, size};
}

// Returns true if a return in the current line is followed by another byte of it.
bool response_check::has_byte_behind_return(std::string_view bytes) const {
  if (m_line.ends_with('\r')) {
    return !bytes.empty();
  }
  const std::size_t position = bytes.find('\r');
  return position != std::string_view::npos && position + 1 < bytes.size();
}

// Returns false if a whole line, without its line feed, is not valid.
bool response_check::check_line(std::string_view line) {
  const bool has_return = line.ends_with('\r');
  line.remove_suffix(has_return ? 1 : 0);
  switch (m_part) {
    case part::status_line: {
      if (line.empty()) {
        return true;  // http_parser skips empty lines before a message.
      }
      const auto status = http::parse_status_line(line);
      m_no_body = m_no_body || !status || !http::may_have_body(*status);
      m_part = part::headers;
      return status.has_value();
    }
    case part::headers: {
      if (line.empty()) {
        m_part = m_chunked && !m_no_body ? part::chunk_size : part::other;
        return true;
      }
      const auto header = http::parse_header_line(line);
      m_chunked = m_chunked || (header && http::equal_ignoring_case(header->first, "Transfer-Encoding"));
      return header.has_value();
    }
    // The parser accepts a line feed alone in heads and trailers only.
    case part::chunk_size:
      return has_return && check_chunk_size(line);
    case part::chunk_end:
      m_part = part::chunk_size;
      return has_return && line.empty();
    case part::trailers:
      m_part = line.empty() ? part::other : part::trailers;
      return true;
    case part::chunk_data:
    case part::other:
      break;
  }
  return true;
}

bool response_check::check_chunk_size(std::string_view line) {
  constexpr int k_hexadecimal = 16;
  const char* const line_end = line.data() + line.size();
  const auto parsed = std::from_chars(line.data(), line_end, m_chunk_bytes_left, k_hexadecimal);
  if (parsed.ec != std::errc()) {
    return false;
  }
  const std::string_view rest(parsed.ptr, static_cast<std::size_t>(line_end - parsed.ptr));
  const std::size_t extension = rest.find_first_not_of(" \t");
  m_part = m_chunk_bytes_left == 0 ? part::trailers : part::chunk_data;
  return extension == std::string_view::npos || rest[extension] == ';';
}

}  // namespace cuminpath::proxy
