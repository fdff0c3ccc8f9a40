// Listener for caller connections. Runs an exchange for each request that arrives on them.
#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/proxy/caller_connection.h"
#include "core/proxy/proxy_state.h"

namespace cuminpath::proxy {

class exchange;

// Number of caller connections in each phase.
struct connection_counts {
  std::size_t idle = 0;
  std::size_t reading = 0;
  std::size_t responding = 0;
  std::size_t lingering = 0;
  std::size_t unsent_bytes = 0;  // Of all connections; not yet handed to the kernel.
};

// Accepts caller connections at one address and tracks them until they are closed.
class caller_listener {
public:
  explicit caller_listener(proxy_state& state);
  ~caller_listener();
  caller_listener(const caller_listener&) = delete;
  caller_listener& operator=(const caller_listener&) = delete;

  // Starts to listen on `address` (IP:PORT). Errors: invalid_input for a malformed address, unreachable if it
  // cannot be bound.
  result<void> listen(const std::string& address);
  // Returns the IP:PORT that the listener is bound to.
  [[nodiscard]] std::string address() const;

  // Begins or reschedules the planned stop of proxy_state::stop: every later response closes its connection,
  // also on connections accepted from now on, and requests end in time.
  void on_stop_scheduled();
  // Accepts no more connections, closes those that wait for a request, and refuses requests of which only a
  // part has arrived.
  void finish_stop(time_point now);
  // Whether no request is being served or read, and callers have received all responses.
  [[nodiscard]] bool drained() const;
  // Enforces the caller limits on all connections and releases the closed ones.
  void tick(time_point now);
  // Logs every request that is still being served, because the process ends.
  void log_unfinished_requests();

  [[nodiscard]] std::size_t connection_count() const { return m_connections.size(); }
  [[nodiscard]] connection_counts count_connections() const;
  // Returns the number of requests being served.
  [[nodiscard]] std::size_t active_request_count() const { return m_active_requests; }

private:
  struct served_connection {
    std::shared_ptr<caller_connection> connection;
    std::shared_ptr<exchange> active;  // Null while no request is being served.
  };

  void accept();
  void accept_after_pause();
  void add(asio::ip::tcp::socket socket, time_point now);
  void start_exchange(const std::shared_ptr<caller_connection>& caller, http::request request,
                      time_point arrived);
  [[nodiscard]] std::shared_ptr<exchange> active_exchange(const caller_connection* connection) const;

  proxy_state& m_state;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  std::unordered_map<const caller_connection*, served_connection> m_connections;
  std::vector<const caller_connection*> m_closed_connections;  // Released in the next tick.
  std::size_t m_active_requests = 0;
};

}  // namespace cuminpath::proxy
