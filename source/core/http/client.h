// HTTP client over libcurl. Transfers run on a thread of its own; callbacks run on the io_context.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/http/message.h"

namespace asio {
class io_context;
}

namespace cuminpath::http {

struct call_options {
  milliseconds timeout{5000};  // For the whole transfer.
  milliseconds connect_timeout{1000};
  // libcurl repeats a request by itself on a fresh connection when a reused one dies before the first
  // response byte, whatever the method. A call that may not be repeated must set this.
  bool never_reuse_connection = false;
  std::size_t max_response_bytes = 64U << 20U;
};

struct call_failure {
  error_code code = error_code::unreachable;
  std::string message;
  // False only if no byte of the request can have reached the server.
  bool sent = true;
};

// Events of a streamed call, in this order: head, any number of data, then one of end and failure.
struct stream_handler {
  std::function<void(int status, header_list headers)> head;
  std::function<void(std::string data)> data;
  std::function<void()> end;
  std::function<void(call_failure)> failure;
};

// Identifies a call for cancel(). 0 is never used.
using call_id = std::uint64_t;

class client {
public:
  explicit client(asio::io_context& context);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  // `base_url` is like http://127.0.0.1:80; the target of the request is appended.
  call_id stream(std::string_view base_url, request value, call_options options, stream_handler handler);

  struct whole_response {
    response value;
    std::optional<call_failure> failure;
  };
  // Collects the whole response.
  call_id call(std::string_view base_url, request value, call_options options,
               std::function<void(whole_response)> done);

  // Closes the connection of a call; no event of it follows. Unknown ids are ignored.
  void cancel(call_id id);

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::http
