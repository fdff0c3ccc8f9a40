// One connection to an upstream. Carries one request at a time.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/common/time.h"
#include "core/proxy/message_parser.h"

namespace cuminpath::proxy {

// Events of one request, in this order: head, any number of body, then end or broken. None follows close().
struct link_events {
  std::function<void(message_head&&)> head;
  std::function<void(std::string_view)> body;
  std::function<void()> end;
  std::function<void(std::string_view reason)> broken;
};

class upstream_link : public std::enable_shared_from_this<upstream_link> {
public:
  upstream_link(asio::io_context& context, std::string upstream_id);
  ~upstream_link();
  upstream_link(const upstream_link&) = delete;
  upstream_link& operator=(const upstream_link&) = delete;

  // Calls `done` with an empty text on success, else with the reason.
  void connect(const asio::ip::tcp::endpoint& peer, milliseconds timeout,
               std::function<void(std::string_view)> done);

  // Sends a request. Answers whose header `id_header` differs from `request_id` belong to earlier requests of
  // the connection and are dropped.
  void send(std::string bytes, std::string id_header, std::string request_id, bool no_body,
            link_events events);

  void pause_reading() { m_paused = true; }
  void resume_reading();
  void close();

  // True if another request may be sent: the last answer was whole, and nothing followed it.
  [[nodiscard]] bool reusable() const { return m_open && m_reusable && !m_busy; }
  // How long the upstream keeps an idle connection, as its last answer said; absent if it said nothing.
  [[nodiscard]] std::optional<seconds> keep_alive_limit() const { return m_keep_alive_limit; }
  [[nodiscard]] const std::string& upstream_id() const { return m_upstream_id; }

  // Called once when an idle connection ends.
  std::function<void()> on_idle_end;

private:
  void wait_readable();
  void on_readable();
  void consume(std::string_view bytes);
  void take_head(message_head&& head);
  void on_message_end(bool bytes_follow);
  void on_connection_end(bool reset, std::string_view reason);
  void fail(std::string_view reason);

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_connect_timer;
  std::string m_upstream_id;
  std::function<void(std::string_view)> m_connected;
  message_parser m_parser;
  std::string m_outgoing;
  std::string m_id_header;
  std::string m_request_id;
  link_events m_events;
  std::optional<seconds> m_keep_alive_limit;
  bool m_no_body = false;
  bool m_open = false;
  bool m_busy = false;      // A request is under way.
  bool m_written = false;   // All bytes of the request have been handed to the socket.
  bool m_skipping = false;  // The answer being read belongs to an earlier request.
  bool m_keep_alive = false;
  bool m_reusable = false;
  bool m_self_delimited = true;
  std::size_t m_bytes_before_head = 0;  // Of other answers, since the request was sent.
  bool m_head_taken = false;            // The head of the answer to the request has arrived.
  bool m_paused = false;
  bool m_waiting = false;
};

}  // namespace cuminpath::proxy
