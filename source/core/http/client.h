// HTTP client based on libcurl. Transfers run on a separate thread; callbacks run on the io_context.
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

// Limits and options of one call.
struct call_options {
  milliseconds timeout{5000};  // For the whole transfer.
  milliseconds connect_timeout{1000};
  // When a reused connection fails before the first response byte, libcurl sends the request again on a new
  // connection, whatever the method. Must be set for calls that may not be repeated.
  bool never_reuse_connection = false;
  // Body, heads and trailers together. Heads and trailers are limited to 64 KB each, and to 1 MB together.
  std::size_t max_response_bytes = 64U << 20U;
};

// Why a call has failed.
struct call_failure {
  error_code code = error_code::unreachable;
  std::string message;
  // False only if no byte of the request can have reached the server.
  bool sent = true;
};

// Callbacks of a streamed call, called in this order: head, any number of data, then either end or failure.
struct stream_handler {
  std::function<void(int status, header_list headers)> head;
  std::function<void(std::string data)> data;
  std::function<void()> end;
  std::function<void(call_failure)> failure;
};

// Identifies a call for client::cancel(). 0 is never used.
using call_id = std::uint64_t;

// Returns the text with all characters escaped that have a meaning in the query of a target.
std::string escape_query_value(std::string_view text);

// Starts calls and reports their responses on the io_context. Of each response, a bounded number of bytes is
// read ahead of its handler, so a server that sends faster than the handler works fills no memory.
class client {
public:
  explicit client(asio::io_context& context);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  // Starts a call and passes the response to `handler` as it arrives. The target of the request is appended
  // to `base_url`, which has the form http://127.0.0.1:80.
  call_id stream(std::string_view base_url, request value, call_options options, stream_handler handler);

  // A complete response, or a failure with the part of the response that has been received.
  struct call_result {
    response value;
    std::optional<call_failure> failure;
  };
  // Starts a call and passes the complete response, or the failure, to `done`.
  call_id call(std::string_view base_url, request value, call_options options,
               std::function<void(call_result)> done);

  // Closes the connection of a call; none of its callbacks is called afterwards. Ignores unknown ids.
  void cancel(call_id id);

  // Stops reading the response of a call until resume(), so that its server waits; the timeout of the call
  // goes on. What has been read ahead is still passed on. Both ignore unknown ids.
  void pause(call_id id);
  void resume(call_id id);

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::http
