// Test fixture: the proxy of a gateway on loopback, between a raw caller and scripted upstreams.
#pragma once

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/proxy/caller_listener.h"
#include "core/proxy/proxy_state.h"

namespace cuminpath::proxy {

// Path of the status of scripted upstreams.
constexpr std::string_view k_status_path = "/status";

// What a scripted upstream does after it has received a request.
struct upstream_action {
  std::string bytes;
  // crash: closes the connection and accepts no more.
  enum class after : std::uint8_t { keep, close, reset, crash } then = after::keep;
  std::string late_bytes = {};  // Sent when the next request arrives, before its response.
  milliseconds delay{0};        // Between the bytes and what follows them.
};

// Accepts connections and handles each complete request as its script says.
class scripted_upstream {
public:
  using script = std::function<upstream_action(std::size_t number, const std::string& request)>;
  scripted_upstream(asio::io_context& context, script handler);
  // Closes its connections.
  ~scripted_upstream();
  scripted_upstream(const scripted_upstream&) = delete;
  scripted_upstream& operator=(const scripted_upstream&) = delete;

  [[nodiscard]] std::string address() const;
  // Refuses further connections. address() must not be called afterwards.
  void stop_accepting() { m_acceptor.close(); }
  // Lets the kernel buffer few bytes of a request that is not read. Applies to connections accepted later.
  void limit_receive_buffer();
  // Sends further bytes on the connection of the last request.
  void send_to_last(const std::string& bytes);
  // Acts once while the next request with a body is still incomplete.
  void act_during_next(upstream_action action) { m_early_action = std::move(action); }
  [[nodiscard]] const std::vector<std::string>& requests() const { return m_requests; }
  // Number of connections that the proxy has closed.
  [[nodiscard]] std::size_t closed() const { return m_closed; }
  // Number of those that were reset, which discards bytes that the network has not delivered yet.
  [[nodiscard]] std::size_t resets() const { return m_resets; }
  [[nodiscard]] std::size_t accepted() const { return m_accepted; }

private:
  struct connection;
  void accept();
  void read(const std::shared_ptr<connection>& peer);
  void act(const std::shared_ptr<connection>& peer, const upstream_action& action);
  void act_after_bytes(const std::shared_ptr<connection>& peer, upstream_action::after then);

  asio::ip::tcp::acceptor m_acceptor;
  script m_script;
  std::vector<std::string> m_requests;
  std::vector<std::weak_ptr<connection>> m_connections;
  std::shared_ptr<connection> m_last;  // The connection of the last request.
  std::optional<upstream_action> m_early_action;
  std::size_t m_closed = 0;
  std::size_t m_resets = 0;
  std::size_t m_accepted = 0;
};

// Accepts one connection and, once the first bytes of the request arrive, sends bytes until the connection
// ends.
class endless_upstream {
public:
  endless_upstream(asio::io_context& context, const std::string& prefix, std::string repeated);

  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::size_t sent() const;
  [[nodiscard]] bool ended() const;  // The proxy has closed the connection.

private:
  struct state;
  static void write(const std::shared_ptr<state>& to);

  asio::ip::tcp::acceptor m_acceptor;
  std::shared_ptr<state> m_state;
};

class proxy_fixture : public ::testing::Test {
protected:
  proxy_fixture();

  // Makes the service "s" an engine whose upstreams are checked after a broken connection.
  void use_engine();
  // Adds an upstream to the service "s".
  scripted_upstream& add_upstream(std::string id, scripted_upstream::script script);
  // Runs the event loop until the condition holds. Returns false if it does not within 5 s.
  bool run_until(const std::function<bool()>& condition);

  // Sends `bytes` on a new connection and collects the response until the connection ends or `done` returns
  // true.
  struct exchange_result {
    std::string bytes;
    bool ended = false;  // The gateway has closed the connection.
  };
  exchange_result call(const std::string& bytes, const std::function<bool(const std::string&)>& done);
  // Returns true for a complete response: the head with the number of body bytes that it states, or with all
  // chunks.
  static bool is_complete(const std::string& bytes);

  static std::string request(std::string_view method, std::string_view path, std::string_view id,
                             std::string_view extra_headers = "");
  static std::string response_text(std::string_view id, std::string_view body,
                                   std::string_view extra_headers = "", int status = 200);

  asio::io_context m_context;
  proxy_state m_state{m_context};
  caller_listener m_listener{m_state};
  std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
  std::vector<gateway::upstream_record> m_records;
};

}  // namespace cuminpath::proxy
