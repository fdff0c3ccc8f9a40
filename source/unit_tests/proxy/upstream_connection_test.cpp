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

constexpr std::string_view k_other_response = "HTTP/1.1 503 X\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view k_own_response = "HTTP/1.1 200 X\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view k_part_of_response = "HTTP/1.1 200 X\r\nX-Id: a\r\n\r\npart";

// A request with a large body. A late response to an earlier request arrives while it is written, so that the
// connection is readable before the last write.
class upstream_connection_with_large_request : public ::testing::Test {
protected:
  void send(std::size_t body_size) {
    asio::ip::tcp::acceptor acceptor(m_context, {asio::ip::address_v4::loopback(), 0});
    bool connected = false;
    m_connection->connect(acceptor.local_endpoint(), milliseconds{1000},
                          [&](std::string_view failure) { connected = failure.empty(); });
    m_peer = acceptor.accept();
    while (!connected) {
      ASSERT_EQ(m_context.run_one_for(milliseconds{1000}), 1U);
    }
    m_context.poll();
    const std::string head = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n";
    m_request_size = head.size() + body_size;
    m_connection->send(head, std::make_shared<byte_blocks>(std::string(body_size, 'x')), "X-Id", "a", false,
                       {.body = [this](std::string_view part) { m_body += part; },
                        .end = [this] { m_ended = true; },
                        .failed = [this](std::string_view reason) { m_failure = reason; }});
    asio::write(m_peer, asio::buffer(k_other_response));
  }
  void respond() {
    asio::write(m_peer, asio::buffer(k_own_response));
    while (!m_ended && m_failure.empty()) {
      ASSERT_EQ(m_context.run_one_for(milliseconds{1000}), 1U);
    }
    EXPECT_EQ(m_failure, "");
  }
  // Sends the beginning of a response without a length, and ends the connection once that has been read.
  void respond_in_part(bool reset) {
    asio::write(m_peer, asio::buffer(k_part_of_response));
    while (m_body.empty()) {
      ASSERT_EQ(m_context.run_one_for(milliseconds{1000}), 1U);
    }
    m_peer.set_option(asio::socket_base::linger(reset, 0));
    if (reset) {
      m_peer.close();
    } else {
      m_peer.shutdown(asio::socket_base::shutdown_send);
    }
    while (!m_ended && m_failure.empty()) {
      ASSERT_EQ(m_context.run_one_for(milliseconds{1000}), 1U);
    }
  }

  asio::io_context m_context;
  std::shared_ptr<upstream_connection> m_connection = std::make_shared<upstream_connection>(m_context, "i-1");
  asio::ip::tcp::socket m_peer{m_context};
  std::size_t m_request_size = 0;
  std::string m_body;
  bool m_ended = false;
  std::string m_failure;
};

// Guards against a connection that is closed instead of being used again because the response was read before
// the event loop came to the completion of the last write. One write takes 64 KB.
TEST_F(upstream_connection_with_large_request,
       is_reusable_if_the_response_is_read_right_after_the_last_write) {
  send(64U << 10U);
  const time_point end = clock::now() + seconds{2};
  while (m_peer.available() < m_request_size) {
    ASSERT_LT(clock::now(), end);
    m_context.run_one_for(milliseconds{20});
  }
  respond();
  EXPECT_TRUE(m_connection->reusable());
}

// Guards against a connection that carries a second request behind a part of the first one. The body is
// larger than what the socket buffers hold.
TEST_F(upstream_connection_with_large_request,
       is_not_reusable_if_the_response_is_read_before_the_last_write) {
  send(32U << 20U);
  respond();
  EXPECT_LT(m_peer.available(), m_request_size);
  EXPECT_FALSE(m_connection->reusable());
}

// Guards against bytes that are lost or repeated where a write takes only a part of a block.
TEST_F(upstream_connection_with_large_request, arrives_as_a_whole_at_an_upstream_that_reads_slowly) {
  send(32U << 20U);
  std::vector<char> buffer(1U << 20U);
  std::size_t received = 0;
  const time_point end = clock::now() + seconds{5};
  while (received < m_request_size && clock::now() < end) {
    if (m_peer.available() == 0) {
      m_context.run_one_for(milliseconds{20});
      continue;
    }
    received += m_peer.read_some(asio::buffer(buffer));
  }
  EXPECT_EQ(received, m_request_size);
  respond();
  EXPECT_EQ(m_peer.available(), 0U);
  EXPECT_TRUE(m_connection->reusable());
}

// Guards against a part of a body that passes for a whole one. The write that fails takes the error of the
// socket away, and the next read returns an orderly end.
TEST_F(upstream_connection_with_large_request, is_a_failure_if_a_reset_ends_a_body_without_a_length) {
  send(32U << 20U);
  respond_in_part(true);
  EXPECT_FALSE(m_ended);
  EXPECT_NE(m_failure, "");
}

// A peer that closes before it has the whole request has not ended its response, either.
TEST_F(upstream_connection_with_large_request, is_a_failure_if_the_peer_closes_before_it_has_the_request) {
  send(32U << 20U);
  respond_in_part(false);
  EXPECT_FALSE(m_ended);
  EXPECT_NE(m_failure, "");
}

// Guards against a kept connection whose end is not noticed, because reading was paused for a slow caller
// when its last response ended.
TEST_F(upstream_connection_test, that_was_paused_at_the_end_of_a_response_is_read_while_it_is_idle) {
  asio::ip::tcp::acceptor acceptor(m_context, {asio::ip::address_v4::loopback(), 0});
  const auto connection = std::make_shared<upstream_connection>(m_context, "i-1");
  asio::ip::tcp::socket peer(m_context);
  bool kept = false;
  bool idle_close = false;
  connection->on_idle_close = [&] { idle_close = true; };
  connection->connect(acceptor.local_endpoint(), milliseconds{1000}, [&](std::string_view failure) {
    ASSERT_EQ(failure, "");
    peer = acceptor.accept();
    connection->send("GET / HTTP/1.1\r\n\r\n", nullptr, "X-Id", "a", false,
                     {.body = [&](std::string_view /*part*/) { connection->pause_reading(); },
                      .end =
                          [&] {
                            kept = connection->reusable();
                            peer.close();
                          }});
    asio::write(peer, asio::buffer(std::string_view("HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nbody")));
  });
  m_context.run_for(milliseconds{200});
  EXPECT_TRUE(kept);
  EXPECT_TRUE(idle_close);
  EXPECT_FALSE(connection->reusable());
  connection->close();
}

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
