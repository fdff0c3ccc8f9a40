// HTTP server based on RESTinio. All functions and callbacks run on the thread of the io_context.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/http/message.h"

namespace asio {
class io_context;
}

namespace cuminpath::http {

// Address and limits of a server.
struct server_options {
  std::string address = "127.0.0.1:0";  // IP:PORT; port 0 selects a free port.
  std::size_t max_body_bytes = 8U << 20U;
  std::size_t max_header_bytes = 16U << 10U;
  // Bound on open connections. At the bound a new one takes the place of one without a request in service
  // that has sent nothing for 0.5 s, or waits in the queue of the operating system.
  std::size_t max_connections = 4096;
  // Bound on the bytes of requests, over all connections, that have not been received completely. Above it,
  // the connection without progress for longest closes, of those that hold at least an average share.
  std::size_t max_incomplete_bytes = 64U << 20U;
  seconds read_timeout{10};  // For a whole request; limits slow senders.
  // Max time between two parts of a response, after which RESTinio closes the connection.
  seconds response_timeout{900};
};

// Sends the response to one request and keeps the connection open until then. If the last reference is
// released without a response, the client receives 500, or the connection closes if a stream has begun.
class responder {
public:
  virtual ~responder() = default;

  // Sends a complete response. One with a status that no final response can have becomes 502, also for
  // begin_stream().
  virtual void respond(response value) = 0;

  // Starts a chunked response.
  virtual void begin_stream(int status, const header_list& headers) = 0;
  virtual void write(std::string_view chunk) = 0;
  // Sends the last chunk, which completes the response.
  virtual void end_stream() = 0;
  // Closes the connection without the last chunk, so that the client detects an incomplete response.
  virtual void abort_stream() = 0;

  // Returns the number of bytes passed to write() that have not been written to the connection yet.
  [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
  // Returns true once the peer has closed the connection or a write has failed.
  [[nodiscard]] virtual bool closed() const = 0;
  // Sets a callback that is called at most once, if the connection closes before the response is complete.
  virtual void on_closed(std::function<void()> callback) = 0;
};

using request_handler = std::function<void(request, std::shared_ptr<responder>)>;

// Listens on one address and passes each request to a handler.
class server {
public:
  // Starts to listen. Errors: invalid_input for a malformed address, unreachable if the address cannot be
  // bound.
  static result<std::unique_ptr<server>> start(asio::io_context& context, const server_options& options,
                                               request_handler handler);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  // Returns the IP:PORT that the server listens on.
  [[nodiscard]] std::string address() const;
  // Makes every later response carry "Connection: close" and closes the connection after it.
  void close_after_responses();
  // Stops accepting connections; open connections continue.
  void stop_accepting();
  // Returns the number of open connections. A connection that is idle, that sends its request too slowly or
  // that does not take its response closes after `read_timeout`.
  [[nodiscard]] std::size_t connection_count() const;

private:
  class impl;
  explicit server(std::unique_ptr<impl> implementation);
  std::unique_ptr<impl> m_impl;
};

// Produces the response to a request for a page.
using page_handler = std::function<response(const request&)>;
// Serves pages at an address and responds with 404 to other paths. Errors as for server::start().
struct page {
  std::string path;
  page_handler handler;
};
result<std::unique_ptr<server>> serve_pages(asio::io_context& context, const std::string& address,
                                            std::vector<page> pages);
// The same for one path.
result<std::unique_ptr<server>> serve_page(asio::io_context& context, const std::string& address,
                                           std::string path, page_handler handler);

}  // namespace cuminpath::http
