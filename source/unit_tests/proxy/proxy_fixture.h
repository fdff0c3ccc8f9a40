// A gateway's proxy on loopback between a raw caller and scripted upstreams.
#pragma once

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/proxy/caller_port.h"
#include "core/proxy/proxy_state.h"

namespace cuminpath::proxy {

// What an upstream does with a request.
struct reaction {
  std::string bytes;
  enum class after : std::uint8_t { keep, close, reset } then = after::keep;
  std::string late_bytes = {};  // Sent with the next request, before its own answer.
};

// Accepts connections and answers each whole request as its script says.
class scripted_upstream {
public:
  using script = std::function<reaction(std::size_t number, const std::string& request)>;
  scripted_upstream(asio::io_context& context, script answer);

  [[nodiscard]] std::string address() const;
  [[nodiscard]] const std::vector<std::string>& requests() const { return m_requests; }
  // Connections whose caller has closed them.
  [[nodiscard]] std::size_t closed() const { return m_closed; }
  // Those that were reset, so that bytes which the network still held back are lost.
  [[nodiscard]] std::size_t resets() const { return m_resets; }
  [[nodiscard]] std::size_t accepted() const { return m_accepted; }

private:
  struct connection;
  void accept();
  void read(const std::shared_ptr<connection>& from);

  asio::ip::tcp::acceptor m_acceptor;
  script m_script;
  std::vector<std::string> m_requests;
  std::size_t m_closed = 0;
  std::size_t m_resets = 0;
  std::size_t m_accepted = 0;
};

// Accepts one connection and, from the first bytes of the request on, sends bytes until the connection ends.
class flooding_upstream {
public:
  flooding_upstream(asio::io_context& context, const std::string& begin, std::string again);

  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::size_t sent() const;
  [[nodiscard]] bool ended() const;  // The caller has closed the connection.

private:
  struct state;
  static void write(const std::shared_ptr<state>& to);

  asio::ip::tcp::acceptor m_acceptor;
  std::shared_ptr<state> m_state;
};

class proxy_fixture : public ::testing::Test {
protected:
  proxy_fixture();

  // Adds an upstream to the service "s".
  scripted_upstream& add_upstream(std::string id, scripted_upstream::script answer);
  // Runs the loop until the condition holds; false after 5 s.
  bool run_until(const std::function<bool()>& condition);

  // Sends bytes on a fresh connection and collects what comes back until the connection ends or `enough` says
  // so.
  struct exchange_result {
    std::string bytes;
    bool ended = false;  // The gateway closed the connection.
  };
  exchange_result call(const std::string& bytes, const std::function<bool(const std::string&)>& enough);
  // A whole answer: head and as many bytes as it says, or all of its chunks.
  static bool whole(const std::string& bytes);

  static std::string request(std::string_view method, std::string_view path, std::string_view id,
                             std::string_view more = "");
  static std::string answer(std::string_view id, std::string_view body, std::string_view more = "",
                            int status = 200);

  asio::io_context m_context;
  proxy_state m_state{m_context};
  caller_port m_port{m_state};
  std::vector<std::unique_ptr<scripted_upstream>> m_upstreams;
  std::vector<gateway::upstream_record> m_records;
};

}  // namespace cuminpath::proxy
