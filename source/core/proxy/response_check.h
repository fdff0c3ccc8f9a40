// Checks the bytes of responses that http_parser would accept although they are not valid HTTP.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/http/message.h"

namespace cuminpath::proxy {

// Checks one response after the other, as its bytes arrive. http_parser accepts statuses that HTTP does not
// define, such as 000 and 999, takes a return without a line feed for the end of a line or, at the beginning
// of one, of the head, and skips any two bytes behind the data of a chunk.
class response_check {
public:
  enum class verdict : std::uint8_t { valid, malformed, line_too_long };
  struct result {
    verdict found = verdict::valid;
    std::size_t valid_bytes = 0;  // Before the line that is not valid, or all.
  };

  // Resets the check for the next response. `no_body` states that it has no body, as for HEAD.
  void start(std::uint64_t max_line_bytes, bool no_body);
  // Checks the next bytes. Ignores those behind the last chunk, and bodies without chunks.
  result check(std::string_view bytes);

private:
  enum class part : std::uint8_t { status_line, headers, chunk_size, chunk_data, chunk_end, trailers, other };

  [[nodiscard]] bool has_byte_behind_return(std::string_view bytes) const;
  bool check_line(std::string_view line);
  bool check_chunk_size(std::string_view line);

  std::uint64_t m_max_line_bytes = 0;
  bool m_no_body = false;
  part m_part = part::status_line;
  std::string m_line;  // As far as it has arrived.
  bool m_chunked = false;
  std::uint64_t m_chunk_bytes_left = 0;
};

}  // namespace cuminpath::proxy
