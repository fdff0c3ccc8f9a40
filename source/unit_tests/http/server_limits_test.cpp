// A server whose process has no descriptor left, and callers that hold its connections and memory.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <deque>

#include "core/http/client.h"
#include "core/http/server.h"
#include "core/net/socket_options.h"
#include "unit_tests/support/run_until.h"

namespace cuminpath::http {
namespace {

using support::run_until;

constexpr std::size_t k_max_connections = 8;
constexpr std::size_t k_max_body_bytes = 64U << 10U;
constexpr std::size_t k_max_incomplete_bytes = 4 * k_max_body_bytes;
constexpr std::size_t k_crowd = 40;
constexpr milliseconds k_settling_time{700};

// Lowers the soft limit of descriptors of this process, and restores it when it is destroyed.
class lowered_descriptor_limit {
public:
  explicit lowered_descriptor_limit(rlim_t limit) {
    EXPECT_EQ(getrlimit(RLIMIT_NOFILE, &m_previous), 0);
    const rlimit lowered{.rlim_cur = limit, .rlim_max = m_previous.rlim_max};
    EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
  }
  ~lowered_descriptor_limit() { EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &m_previous), 0); }
  lowered_descriptor_limit(const lowered_descriptor_limit&) = delete;
  lowered_descriptor_limit& operator=(const lowered_descriptor_limit&) = delete;

private:
  rlimit m_previous{};
};

class server_limits_test : public ::testing::Test {
protected:
  void serve(const server_options& options) {
    m_server = std::move(
        server::start(m_context, options, [](const request& value, const std::shared_ptr<responder>& to) {
          to->respond({.body = std::to_string(value.body.size())});
        }).value());
  }

  client::call_result call(request value) {
    std::optional<client::call_result> done;
    m_client.call("http://" + m_server->address(), std::move(value), {.timeout = milliseconds{5000}},
                  [&done](client::call_result response) { done = std::move(response); });
    EXPECT_TRUE(run_until(m_context, [&done] { return done.has_value(); }));
    return done.value_or(client::call_result{});
  }

  // Opens connections, sends `bytes` on each and leaves them open. A server may close them meanwhile.
  void add_callers(std::size_t count, const std::string& bytes) {
    for (std::size_t i = 0; i < count; ++i) {
      auto& socket = m_callers.emplace_back(m_context);
      socket.async_connect(*net::parse_endpoint(m_server->address()), [&](std::error_code failure) {
        if (!failure) {
          asio::async_write(socket, asio::buffer(bytes), [](std::error_code, std::size_t) {});
        }
      });
    }
  }
  void run_for(milliseconds time) {
    m_context.restart();
    m_context.run_for(time);
  }

  asio::io_context m_context;
  client m_client{m_context};
  std::unique_ptr<server> m_server;
  std::deque<asio::ip::tcp::socket> m_callers;
};

// A server that had no descriptor for one connection accepted none until the end of the process.
TEST_F(server_limits_test, accepts_again_after_a_failed_accept) {
  serve({});
  ASSERT_FALSE(call({}).failure);
  asio::ip::tcp::socket waiting(m_context);
  waiting.open(asio::ip::tcp::v4());
  {
    const lowered_descriptor_limit lowered(3);
    waiting.connect(*net::parse_endpoint(m_server->address()));
    run_for(milliseconds{300});
    EXPECT_LE(m_server->connection_count(), 1U);
  }
  client other(m_context);
  std::optional<client::call_result> done;
  other.call("http://" + m_server->address(), {}, {.timeout = milliseconds{5000}},
             [&done](client::call_result response) { done = std::move(response); });
  ASSERT_TRUE(run_until(m_context, [&done] { return done.has_value(); }));
  EXPECT_FALSE(done->failure);
}

// Connections that are opened and left took descriptors and buffers of the process without a bound.
TEST_F(server_limits_test, bounds_connections_and_still_serves) {
  serve({.max_connections = k_max_connections});
  add_callers(k_crowd, "GET / HTTP/1.1\r\nHost: t\r\nX-Unfinished: ");
  run_for(k_settling_time);
  EXPECT_LE(m_server->connection_count(), k_max_connections);
  EXPECT_FALSE(call({}).failure);
}

// Bodies that stop just short of their end were kept without a bound on their sum.
TEST_F(server_limits_test, bounds_bytes_being_received_and_still_serves) {
  serve({.max_body_bytes = k_max_body_bytes, .max_incomplete_bytes = k_max_incomplete_bytes});
  const std::string bytes =
      "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: " + std::to_string(k_max_body_bytes) + "\r\n\r\n" +
      std::string(k_max_body_bytes - 16, 'x');
  add_callers(k_crowd, bytes);
  run_for(k_settling_time);
  EXPECT_LE(m_server->connection_count() * k_max_body_bytes, k_max_incomplete_bytes + k_max_body_bytes);
  const auto response = call({.method = "POST", .body = std::string(k_max_body_bytes, 'y')});
  ASSERT_FALSE(response.failure);
  EXPECT_EQ(response.value.body, std::to_string(k_max_body_bytes));
}

}  // namespace
}  // namespace cuminpath::http
