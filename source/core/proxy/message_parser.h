// Incremental HTTP/1.1 parser based on http_parser.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/http/message.h"

namespace cuminpath::proxy {

// Start line and headers of a message.
struct message_head {
  std::string method;  // Requests only.
  std::string target;  // Requests only.
  int status = 0;      // Responses only.
  http::header_list headers;
  bool keep_alive = false;     // The connection stays open after this message.
  bool self_delimited = true;  // False if the body extends to the end of the connection.
};

enum class parse_status : std::uint8_t {
  need_more,  // All bytes were consumed; the message is incomplete.
  complete,   // The message is complete; bytes after it were not consumed.
  malformed,
  head_too_large,
  body_too_large,
};

struct parse_limits {
  std::uint64_t max_head_bytes = 64U << 10U;
  std::uint64_t max_body_bytes = 64U << 20U;
};

// Parses the messages of one direction of a connection, one after the other.
class message_parser {
public:
  enum class message_type : std::uint8_t { requests, responses };

  explicit message_parser(message_type type);
  ~message_parser();
  message_parser(const message_parser&) = delete;
  message_parser& operator=(const message_parser&) = delete;

  // Called when the head is complete, and for each part of the body.
  std::function<void(message_head&&)> on_head;
  std::function<void(std::string_view)> on_body;

  // Resets the parser for the next message. `no_body` states that a response has no body whatever its headers
  // say, as for HEAD.
  void start(parse_limits limits, bool no_body = false);

  struct feed_result {
    parse_status status = parse_status::need_more;
    std::size_t consumed = 0;
  };
  feed_result feed(std::string_view bytes);

  // Handles an orderly end of the connection. Returns true if that completes the message.
  bool finish_at_eof();

  [[nodiscard]] bool head_done() const;
  // Returns true for a HEAD request, from the end of its method on.
  [[nodiscard]] bool is_head_request() const;
  // Returns an estimate of the memory of the head that was parsed last, also if it has been passed on. A
  // header of a few bytes takes several times its size.
  [[nodiscard]] std::size_t head_memory() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::proxy
