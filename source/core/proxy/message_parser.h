// Incremental HTTP/1.1 parser (http_parser) for one side of a connection.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/http/message.h"

namespace cuminpath::proxy {

struct message_head {
  std::string method;  // Requests only.
  std::string target;  // Requests only.
  int status = 0;      // Responses only.
  http::header_list headers;
  bool keep_alive = false;     // The connection may be used again after this message.
  bool self_delimited = true;  // False if only the end of the connection ends the body.
};

enum class parse_status : std::uint8_t {
  need_more,  // Everything was consumed.
  complete,   // One message has ended; what follows it was not consumed.
  malformed,
  head_too_large,
  body_too_large,
};

struct parse_limits {
  std::uint64_t max_head_bytes = 64U << 10U;
  std::uint64_t max_body_bytes = 64U << 20U;
};

class message_parser {
public:
  enum class side : std::uint8_t { requests, responses };

  explicit message_parser(side kind);
  ~message_parser();
  message_parser(const message_parser&) = delete;
  message_parser& operator=(const message_parser&) = delete;

  // Called when the head is complete, and for each piece of the body.
  std::function<void(message_head&&)> on_head;
  std::function<void(std::string_view)> on_body;

  // Starts the next message. `no_body` says that a response has none whatever its head says (HEAD).
  void start(parse_limits limits, bool no_body = false);

  struct outcome {
    parse_status status = parse_status::need_more;
    std::size_t consumed = 0;
  };
  outcome feed(std::string_view bytes);

  // The peer has ended the connection in good order. True if that completes a message.
  bool finish();

  [[nodiscard]] bool head_done() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::proxy
