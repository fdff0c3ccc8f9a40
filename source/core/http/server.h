// HTTP server over RESTinio. All functions and callbacks run on the thread of the io_context.
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

struct server_options {
  std::string address = "127.0.0.1:0";  // IP:PORT; port 0 takes a free one.
  std::size_t max_body_bytes = 8U << 20U;
  std::size_t max_header_bytes = 16U << 10U;
  seconds read_timeout{10};  // For a whole request; bounds slow senders.
  // Longest time between parts of a response. RESTinio closes the connection after it.
  seconds response_timeout{900};
};

// The response to one request. Holds the connection until a response has been sent; dropping the last
// reference without one answers 500, or closes the connection if a stream has begun.
class responder {
public:
  virtual ~responder() = default;

  // Sends a whole response.
  virtual void respond(response value) = 0;

  // Starts a response in chunks.
  virtual void begin_stream(int status, const header_list& headers) = 0;
  virtual void write(std::string_view chunk) = 0;
  // Ends the response so that it counts as whole.
  virtual void end_stream() = 0;
  // Closes the connection without the last chunk, so that the client sees a broken response.
  virtual void abort_stream() = 0;

  // Bytes handed to write() that the connection has not accepted yet.
  [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
  // True once the peer has closed the connection or a write has failed.
  [[nodiscard]] virtual bool closed() const = 0;
  // Called at most once, when the connection closes before the response has ended.
  virtual void on_closed(std::function<void()> callback) = 0;
};

using request_handler = std::function<void(request, std::shared_ptr<responder>)>;

class server {
public:
  // Errors: invalid_input for a malformed address, unreachable if the address cannot be bound.
  static result<std::unique_ptr<server>> start(asio::io_context& context, const server_options& options,
                                               request_handler handler);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  // IP:PORT that the server listens on.
  [[nodiscard]] std::string address() const;
  // Stops accepting connections; open ones go on.
  void stop_accepting();

private:
  class impl;
  explicit server(std::unique_ptr<impl> implementation);
  std::unique_ptr<impl> m_impl;
};

// Serves one page at an address and answers 404 elsewhere. Errors as server::start().
using page = std::function<response(const request&)>;
result<std::unique_ptr<server>> serve_page(asio::io_context& context, const std::string& address,
                                           std::string path, page answer);

}  // namespace cuminpath::http
