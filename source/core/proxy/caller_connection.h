// One connection of a caller: reads requests one after the other and writes their answers.
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

class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
  struct handlers {
    // A whole request. The answer is written with the functions below.
    std::function<void(const std::shared_ptr<caller_connection>&, http::request, time_point arrived)> request;
    // The caller has closed the connection while its request was being served.
    std::function<void()> gone;
    // Everything of a streamed answer has been handed to the socket.
    std::function<void()> drained;
    // The connection has ended.
    std::function<void(caller_connection*)> ended;
    // Limits in force when a request begins.
    std::function<gateway::caller_limits()> limits;
  };

  caller_connection(asio::ip::tcp::socket socket, handlers callbacks, time_point now);
  ~caller_connection();
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  void start();

  // Writes a whole answer. A Content-Length among its headers goes before the length of the body (HEAD).
  void respond(const http::response& answer);
  // An answer in chunks: head, any number of chunks, then end or abort.
  void begin_stream(int status, const http::header_list& headers);
  void write_chunk(std::string_view bytes);
  void end_stream();
  // Ends the connection so that the caller sees an incomplete answer.
  void abort();

  // Later answers say that the connection closes after them.
  void close_after_answer() { m_closing = true; }
  // Closes connections that break the limits of callers. Called several times a second.
  void check_limits(time_point now);

  [[nodiscard]] std::size_t unsent_bytes() const { return m_out.size() + m_in_flight.size(); }

private:
  enum class phase : std::uint8_t {
    idle,       // Waiting for the first byte of a request.
    reading,    // A request has begun.
    answering,  // A request is being served.
    lingering,  // The last answer is sent; the rest of what the caller sends is dropped.
    ended,
  };

  void wait_readable();
  void on_readable();
  void consume(std::string_view bytes);
  void take_request();
  void reject(int status, std::string_view reason);
  void finish_answer();
  void append(std::string_view bytes);
  void flush();
  void linger();
  void end();
  [[nodiscard]] std::string head_text(int status, const http::header_list& headers) const;

  asio::ip::tcp::socket m_socket;
  handlers m_handlers;
  message_parser m_parser;
  gateway::caller_limits m_limits;
  http::request m_request;
  std::string m_pipelined;  // Bytes that arrived while a request was being served.
  std::string m_out;        // To be written after `m_in_flight`.
  std::string m_in_flight;
  phase m_phase = phase::idle;
  time_point m_phase_since;
  time_point m_last_byte;
  bool m_head_done = false;
  bool m_keep_alive = true;
  bool m_closing = false;
  bool m_writing = false;
  bool m_flush_posted = false;
  bool m_waiting = false;
};

}  // namespace cuminpath::proxy
