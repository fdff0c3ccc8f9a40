// The address that callers connect to: accepts connections and serves a request of each at a time.
#pragma once

#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/proxy/caller_connection.h"
#include "core/proxy/proxy_state.h"

namespace cuminpath::proxy {

class caller_port {
public:
  explicit caller_port(proxy_state& state);

  // Errors: invalid_input for a malformed address, unreachable if it cannot be bound.
  result<void> listen(const std::string& address);
  // IP:PORT that it listens on.
  [[nodiscard]] std::string address() const;

  // From now on each answer says that its connection closes.
  void close_after_answers();
  // Closes connections that break the limits of callers and forgets those that have ended.
  void tick(time_point now);

  [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
  // Requests being served.
  [[nodiscard]] std::size_t requests() const { return m_requests; }

private:
  void accept();
  void add(asio::ip::tcp::socket socket, time_point now);

  proxy_state& m_state;
  asio::ip::tcp::acceptor m_acceptor;
  std::unordered_map<const caller_connection*, std::shared_ptr<caller_connection>> m_connections;
  std::vector<const caller_connection*> m_ended;  // Forgotten in the next tick.
  std::size_t m_requests = 0;
  bool m_closing = false;
};

}  // namespace cuminpath::proxy
