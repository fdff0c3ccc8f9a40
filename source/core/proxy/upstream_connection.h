// Client side of one connection to an upstream.
#pragma once

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/net/send_watch.h"
#include "core/proxy/byte_blocks.h"
#include "core/proxy/message_parser.h"

namespace cuminpath::proxy {

// Callbacks for the response to one request, called in this order: head, any number of body, then either end
// or failed. None is called after close().
struct response_handlers {
  std::function<void(message_head&&)> head;
  std::function<void(std::string_view)> body;
  std::function<void()> end;
  std::function<void(std::string_view reason)> failed;
};

// An HTTP/1.1 connection to an upstream. Carries one request at a time.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
  upstream_connection(asio::io_context& context, std::string upstream_id);
  ~upstream_connection();
  upstream_connection(const upstream_connection&) = delete;
  upstream_connection& operator=(const upstream_connection&) = delete;

  // Connects to `peer` and calls `done`, with an empty string on success and with the reason otherwise.
  void connect(const asio::ip::tcp::endpoint& peer, milliseconds timeout,
               std::function<void(std::string_view)> done);

  // Sends a request; `body` may be null and is shared, not copied. Responses that have an `id_header` other
  // than `request_id` belong to earlier requests on this connection and are skipped.
  void send(std::string head, std::shared_ptr<const byte_blocks> body, std::string id_header,
            std::string request_id, bool no_body, response_handlers events);

  void pause_reading() { m_paused = true; }
  void resume_reading();
  [[nodiscard]] bool paused() const { return m_paused; }
  void close();

  // Returns true if another request may be sent: the last response was complete, and no bytes followed it.
  [[nodiscard]] bool reusable() const;
  // Returns how long the upstream keeps an idle connection open according to the Keep-Alive header of its
  // last response; absent if it had none.
  [[nodiscard]] std::optional<seconds> advertised_idle_timeout() const { return m_advertised_idle_timeout; }
  [[nodiscard]] const std::string& upstream_id() const { return m_upstream_id; }
  // Returns the time at which the bytes that are being handled were read.
  [[nodiscard]] time_point last_read() const { return m_last_read; }

  // Called once when the upstream or an error ends an idle connection.
  std::function<void()> on_idle_close;

private:
  void write_request();
  void release_outgoing();
  // Ends the request if the upstream does not take it (send_watch).
  void watch_request();
  void wait_readable();
  void on_readable();
  // Reads what has arrived before it ends the request.
  void on_write_failed(const std::string& reason);
  void consume(std::string_view bytes);
  void handle_head(message_head&& head);
  void on_message_end(bool bytes_follow);
  void on_connection_end(bool reset, std::string_view reason);
  void fail(std::string_view reason);

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_connect_timer;
  asio::steady_timer m_send_timer;  // Of the samples of m_send_watch.
  net::send_watch m_send_watch;
  std::string m_upstream_id;
  std::function<void(std::string_view)> m_on_connected;
  message_parser m_parser;
  std::string m_outgoing_head;
  std::shared_ptr<const byte_blocks> m_outgoing_body;
  std::vector<asio::const_buffer> m_unwritten;  // Parts of the two that the socket has not taken yet.
  std::string m_id_header;
  std::string m_request_id;
  response_handlers m_events;
  std::optional<seconds> m_advertised_idle_timeout;
  time_point m_last_read{};
  bool m_no_body = false;
  bool m_open = false;
  bool m_request_active = false;   // A request has been sent and its response is incomplete.
  bool m_request_written = false;  // The whole request has been handed to the socket.
  bool m_skipping_response =
      false;  // The response being read is an interim one or belongs to an earlier request.
  bool m_keep_alive = false;
  bool m_reusable = false;
  bool m_self_delimited = true;
  std::size_t m_bytes_before_head = 0;  // Bytes of skipped responses since the request was sent.
  bool m_head_received = false;         // The head of the response to this request has been received.
  bool m_paused = false;
  bool m_wait_pending = false;
};

}  // namespace cuminpath::proxy
