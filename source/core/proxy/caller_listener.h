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
  void accept_next();
  void accept_after_pause();
  // Accepts the connection that waits, if one of the open ones can be closed for it.
  void accept_in_place_of_another();
  [[nodiscard]] bool is_full() const;
  void add(asio::ip::tcp::socket socket, time_point now);
  void start_exchange(const std::shared_ptr<caller_connection>& caller, http::request request,
                      std::shared_ptr<const byte_blocks> body, time_point arrived);
  // Has callers without progress release what they hold until a read fits into the budget again. `except`
  // goes on in any case. Returns false if it does not fit.
  bool make_room(const caller_connection* except, time_point now);
  void carry_out(const caller_memory_budget::decision& decision, time_point now);
  void record_eviction(const caller_connection& caller, std::string_view action, std::string_view cause);
  // Time after which a refused caller may come again.
  milliseconds random_retry_after();
  // Returns memory that callers have released to the operating system.
  void release_free_memory(time_point now);
  [[nodiscard]] std::shared_ptr<exchange> active_exchange(const caller_connection* connection) const;

  proxy_state& m_state;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  std::unordered_map<const caller_connection*, served_connection> m_connections;
  std::vector<const caller_connection*> m_closed_connections;  // Released in the next tick.
  std::size_t m_active_requests = 0;
  std::size_t m_peak_memory = 0;  // Largest use of the budget since memory was last returned.
  time_point m_last_trim{};
};

}  // namespace cuminpath::proxy
