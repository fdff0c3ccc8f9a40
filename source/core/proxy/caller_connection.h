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
#include "core/net/send_watch.h"
#include "core/proxy/byte_blocks.h"
#include "core/proxy/caller_memory_budget.h"
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
    // Called with each complete request and its body, which is null if it is empty. The response is written
    // with the functions below.
    std::function<void(const std::shared_ptr<caller_connection>&, http::request,
                       std::shared_ptr<const byte_blocks> body, time_point arrived)>
        request;
    // Called when the caller closes the connection while its request is being served.
    std::function<void(caller_connection*)> disconnected;
    // Called when all bytes written so far for a streamed response have been handed to the socket.
    std::function<void(caller_connection*)> drained;
    // Called once when the connection is closed.
    std::function<void(caller_connection*)> closed;
    // Returns the limits to apply to the request that is about to begin.
    std::function<gateway::caller_limits()> limits;
    // Called if the memory budget is used up. Returns true if other callers have released enough for a read.
    std::function<bool(const caller_connection*)> make_room;
    // Name of the header that is repeated in refusals; may be empty.
    std::string request_id_header;
  };

  // Charges what it holds to `memory`, which must outlive the connection.
  caller_connection(asio::ip::tcp::socket socket, handlers callbacks, caller_memory_budget& memory,
                    time_point now);
  ~caller_connection();
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  void start();

  // Writes a complete response. Its body is left out for HEAD requests and for 204 and 304, which end with
  // the head (RFC 9112, section 6.3); a Content-Length header takes precedence over the size of the body. A
  // response with a status that no final response can have becomes 502.
  void respond(const http::response& response);
  void respond(int status, const http::header_list& headers, byte_blocks&& body);
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
  // Makes the next response that begins close the connection, also if pipelined requests have arrived behind
  // it. They have not run.
  void close_after_next_response() { m_close_after_next_response = true; }
  // Closes the connection if it has waited for a request since `time` or earlier and none has arrived.
  void close_if_idle_since(time_point time);
  // Refuses a request of which only a part has arrived.
  void refuse_unfinished_request(std::string_view reason);
  // Rejects a request that arrives too slowly, and closes the connection when it has been idle or lingering
  // for too long or its caller does not take the response (send_watch). Called several times a second.
  void enforce_limits(time_point now);

  // Charges what is held of responses that the caller has not been given yet. Returns false if there is no
  // memory for it.
  bool hold_response_bytes(std::size_t bytes);
  // Reads on after the budget has granted the claim of the request.
  void resume_reading(time_point now);
  // Releases what the connection holds, because others need it: refuses a request that has not been received
  // completely, closes the connection otherwise.
  void evict(std::string_view reason, milliseconds retry_after);
  // Closes the connection, because others need its descriptor. Returns false if a request has just arrived.
  bool close_to_free_descriptor();

  [[nodiscard]] connection_phase phase() const { return m_phase; }
  [[nodiscard]] std::size_t unsent_bytes() const {
    return m_pending_output.size() + m_output_in_flight.size();
  }
  [[nodiscard]] const char* phase_name() const;

private:
  void wait_readable();
  void on_readable();
  void consume(std::string_view bytes);
  void handle_request();
  void reject(int status, std::string_view reason, milliseconds retry_after = milliseconds{0});
  // Returns false if nothing is to be read until the request, the responses or the budget have got further.
  [[nodiscard]] bool accepts_input() const;
  // Returns false if the budget does not allow to read now.
  bool may_read();
  [[nodiscard]] std::size_t max_pipelined_bytes() const;
  void serve_next_pipelined();
  void charge_input();
  void release_request();
  void finish_response();
  void append(std::string_view bytes);
  void flush();
  void shutdown_send();
  void check_delivery(time_point now);
  // Ends the request that is being served, if any, and closes the connection.
  void drop();
  void close();
  [[nodiscard]] std::string serialize_head(int status, const http::header_list& headers);

  asio::ip::tcp::socket m_socket;
  handlers m_handlers;
  caller_memory_budget& m_memory;
  message_parser m_parser;
  gateway::caller_limits m_limits;
  http::request m_request;              // Without its body.
  std::shared_ptr<byte_blocks> m_body;  // Null until its first byte has been received.
  std::uint64_t m_max_body = 0;         // Announced size of the body, or the limit if none was announced.
  std::string m_pipelined;              // Bytes received while a request was being served.
  byte_blocks m_pending_output;         // To be written after `m_output_in_flight`.
  byte_blocks m_output_in_flight;
  net::send_watch m_send_watch;
  connection_phase m_phase = connection_phase::idle;
  time_point m_phase_start;
  time_point m_last_read;
  bool m_head_done = false;
  bool m_keep_alive = true;
  bool m_head_request = false;  // The request that is being answered is HEAD.
  bool m_close_after_response = false;
  bool m_close_after_next_response = false;
  bool m_close_announced = false;  // The last response carries "Connection: close".
  bool m_writing = false;
  bool m_flush_posted = false;
  bool m_wait_pending = false;
  bool m_awaits_claim = false;  // Reads on once the budget has granted the claim.
};

}  // namespace cuminpath::proxy
