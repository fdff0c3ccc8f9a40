// Server side of one caller connection: reads requests one at a time and writes their responses.
#pragma once

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/common/time.h"
#include "core/gateway/configuration.h"
#include "core/http/message.h"
#include "core/proxy/message_parser.h"

namespace cuminpath::proxy {

enum class connection_phase : std::uint8_t {
  idle,        // Waiting for the first byte of a request.
  reading,     // Part of a request has been received.
  responding,  // A request is being served.
  lingering,   // The last response has been sent; further input is discarded.
  closed,
};

// An HTTP/1.1 connection accepted from a caller. Serves one request at a time.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
  struct handlers {
    // Called with each complete request. The response is written with the functions below.
    std::function<void(const std::shared_ptr<caller_connection>&, http::request, time_point arrived)> request;
    // Called when the caller closes the connection while its request is being served.
    std::function<void(caller_connection*)> disconnected;
    // Called when all bytes written so far for a streamed response have been handed to the socket.
    std::function<void(caller_connection*)> drained;
    // Called once when the connection is closed.
    std::function<void(caller_connection*)> closed;
    // Returns the limits to apply to the request that is about to begin.
    std::function<gateway::caller_limits()> limits;
  };

  caller_connection(asio::ip::tcp::socket socket, handlers callbacks, time_point now);
  ~caller_connection();
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  void start();

  // Writes a complete response. A Content-Length header in `response` takes precedence over the size of the
  // body, as responses to HEAD require.
  void respond(const http::response& response);
  // Write a chunked response: begin_stream(), any number of write_chunk(), then end_stream() or abort().
  void begin_stream(int status, const http::header_list& headers);
  void write_chunk(std::string_view bytes);
  void end_stream();
  // Sends what has been written and closes the connection without the final chunk, so that the caller sees an
  // incomplete response.
  void abort();

  // Makes every later response carry "Connection: close" and closes the connection after it. A response that
  // has begun keeps the connection open for one more request, since the caller may already have sent it.
  void close_after_response() { m_close_after_response = true; }
  // Closes the connection if it has waited for a request since `time` or earlier and none has arrived.
  void close_if_idle_since(time_point time);
  // Refuses a request of which only a part has arrived.
  void refuse_unfinished_request(std::string_view reason);
  // Rejects a request that arrives too slowly, and closes the connection when it has been idle or lingering
  // for too long. Called several times a second.
  void enforce_limits(time_point now);

  [[nodiscard]] connection_phase phase() const { return m_phase; }
  [[nodiscard]] std::size_t unsent_bytes() const {
    return m_pending_output.size() + m_output_in_flight.size();
  }

private:
  void wait_readable();
  void on_readable();
  void consume(std::string_view bytes);
  void handle_request();
  void reject(int status, std::string_view reason);
  void finish_response();
  void append(std::string_view bytes);
  void flush();
  void shutdown_send();
  void close();
  [[nodiscard]] std::string serialize_head(int status, const http::header_list& headers);

  asio::ip::tcp::socket m_socket;
  handlers m_handlers;
  message_parser m_parser;
  gateway::caller_limits m_limits;
  http::request m_request;
  std::string m_pipelined;       // Bytes received while a request was being served.
  std::string m_pending_output;  // To be written after `m_output_in_flight`.
  std::string m_output_in_flight;
  connection_phase m_phase = connection_phase::idle;
  time_point m_phase_start;
  time_point m_last_read;
  bool m_head_done = false;
  bool m_keep_alive = true;
  bool m_close_after_response = false;
  bool m_close_announced = false;  // The last response carries "Connection: close".
  bool m_writing = false;
  bool m_flush_posted = false;
  bool m_wait_pending = false;
};

}  // namespace cuminpath::proxy
