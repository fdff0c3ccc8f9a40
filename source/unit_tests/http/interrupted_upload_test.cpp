// Checks what the client makes of a response without a length that ends while the request is being written.

#include <gtest/gtest.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "core/common/time.h"
#include "core/http/client.h"
#include "unit_tests/support/run_until.h"

namespace cuminpath::http {
namespace {

constexpr std::size_t k_upload_bytes = 8U << 20U;
constexpr int k_receive_buffer_bytes = 4096;
// Whether a write or a read meets the error of the connection differs from one upload to the next.
constexpr int k_uploads = 20;

struct interruption {
  const char* name;
  bool reset;
  milliseconds delay;  // After the part of the body.
};

class upload_test : public ::testing::Test {
protected:
  // Accepts one connection, answers the first bytes of its request with a part of a body and ends it.
  void serve() {
    m_acceptor.async_accept(m_peer, [this](std::error_code error) {
      ASSERT_FALSE(error);
      m_peer.async_read_some(asio::buffer(m_buffer), [this](std::error_code failure, std::size_t) {
        ASSERT_FALSE(failure);
        asio::write(m_peer, asio::buffer(m_response));
        m_timer.expires_after(m_end.delay);
        m_timer.async_wait([this](std::error_code) { end_connection(); });
      });
    });
  }
  void end_connection() {
    std::error_code ignored;
    m_peer.set_option(asio::socket_base::linger(m_end.reset, 0), ignored);
    m_peer.close(ignored);
  }

  client::call_result upload() {
    std::optional<client::call_result> done;
    m_client.call("http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()),
                  {.method = "POST", .body = std::string(k_upload_bytes, 'x')}, {},
                  [&done](client::call_result response) { done = std::move(response); });
    EXPECT_TRUE(support::run_until(m_context, [&done] { return done.has_value(); }));
    return done.value_or(client::call_result{});
  }

  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor{m_context, {asio::ip::address_v4::loopback(), 0}};
  asio::ip::tcp::socket m_peer{m_context};
  asio::steady_timer m_timer{m_context};
  std::array<char, 1024> m_buffer{};
  client m_client{m_context};
  std::string_view m_response = "HTTP/1.1 200 OK\r\n\r\npart";
  interruption m_end{};
};

// Guards against a whole refusal that is reported as a failure because of the rest of the request.
TEST_F(upload_test, an_early_refusal_with_a_length_is_whole) {
  m_end.delay = milliseconds{200};
  for (const std::string_view response :
       {"HTTP/1.1 413 Content Too Large\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}) {
    m_response = response;
    serve();
    const auto done = upload();
    ASSERT_FALSE(done.failure) << done.failure->message;
    EXPECT_EQ(done.value.body, "body");
    m_context.restart();
    m_context.run();  // Until the connection has ended.
  }
}

class interrupted_upload_test : public upload_test, public ::testing::WithParamInterface<interruption> {
protected:
  void SetUp() override { m_end = GetParam(); }
};

TEST_P(interrupted_upload_test, is_a_failure) {
  m_acceptor.set_option(asio::socket_base::receive_buffer_size(k_receive_buffer_bytes));
  for (int i = 0; i < k_uploads; ++i) {
    serve();
    const auto done = upload();
    ASSERT_TRUE(done.failure);
    EXPECT_TRUE(done.failure->sent);
  }
}

INSTANTIATE_TEST_SUITE_P(each_ending, interrupted_upload_test,
                         ::testing::Values(interruption{"reset_at_once", true, milliseconds{0}},
                                           interruption{"reset_after_the_client_has_read", true,
                                                        milliseconds{3}},
                                           interruption{"reset_later", true, milliseconds{100}},
                                           interruption{"close_at_once", false, milliseconds{0}},
                                           interruption{"close_later", false, milliseconds{100}}),
                         [](const auto& named) { return std::string(named.param.name); });

}  // namespace
}  // namespace cuminpath::http
