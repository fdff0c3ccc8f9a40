#include "core/proxy/upstream_connection.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/write.hpp>

namespace cuminpath::proxy {
namespace {

// What a connection reports of one request.
struct outcome {
  int status = 0;
  std::string body;
  bool ended = false;
  std::string failure;
};

class upstream_connection_test : public ::testing::Test {
protected:
  // Sends a request after the peer has sent `bytes` and reset the connection.
  outcome send_after_reset(const std::string& bytes) {
    asio::ip::tcp::acceptor acceptor(m_context, {asio::ip::address_v4::loopback(), 0});
    const auto connection = std::make_shared<upstream_connection>(m_context, "i-1");
    outcome seen;
    connection->connect(acceptor.local_endpoint(), milliseconds{1000}, [&](std::string_view failure) {
      ASSERT_EQ(failure, "");
      auto peer = acceptor.accept();
      asio::write(peer, asio::buffer(bytes));
      peer.set_option(asio::socket_base::linger(true, 0));
      peer.close();
      connection->send("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", nullptr, "X-Id", "a", false,
                       {.head = [&](message_head&& head) { seen.status = head.status; },
                        .body = [&](std::string_view part) { seen.body += part; },
                        .end = [&] { seen.ended = true; },
                        .failed = [&](std::string_view reason) { seen.failure = reason; }});
    });
    m_context.run_for(milliseconds{1000});
    return seen;
  }

  asio::io_context m_context;
};

TEST_F(upstream_connection_test, an_answer_that_arrived_before_a_failed_write_is_read) {
  const auto seen = send_after_reset("HTTP/1.1 503 X\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nfull");
  EXPECT_EQ(seen.status, 503);
  EXPECT_EQ(seen.body, "full");
  EXPECT_TRUE(seen.ended);
  EXPECT_EQ(seen.failure, "");
}

TEST_F(upstream_connection_test, a_part_of_an_answer_before_a_failed_write_is_a_failure) {
  for (const std::string bytes :
       {"", "HTTP/1.1 503 X\r\nX-Id: a\r\n", "HTTP/1.1 503 X\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nful",
        "HTTP/1.1 200 X\r\nX-Id: a\r\n\r\nends with a reset"}) {
    const auto seen = send_after_reset(bytes);
    EXPECT_FALSE(seen.ended) << bytes;
    EXPECT_NE(seen.failure, "") << bytes;
    m_context.restart();
  }
}

}  // namespace
}  // namespace cuminpath::proxy
