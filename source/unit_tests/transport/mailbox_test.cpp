#include "core/transport/mailbox.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <optional>

#include "unit_tests/support/run_until.h"

namespace cuminpath::transport {
namespace {

using support::run_until;

// Whether a process can listen on an address of the loopback network.
bool is_free(asio::io_context& context, const std::string& address) {
  const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
  asio::ip::tcp::acceptor acceptor(context, endpoint.protocol());
  asio::error_code failure;
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind(endpoint, failure);
  if (!failure) {
    acceptor.listen(1, failure);
  }
  return !failure;
}

// Reserves a port without listening on it, so that connections to it are reset.
class reserved_port {
public:
  reserved_port(asio::io_context& context, const std::string& address) : m_socket(context) {
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    m_socket.open(endpoint.protocol());
    m_socket.set_option(asio::socket_base::reuse_address(true));
    // The mailbox closes its listener on a separate thread.
    bool bound = false;
    asio::error_code failure;
    run_until(context, [&] {
      if (!bound) {
        m_socket.bind(endpoint, failure);
        bound = !failure;
      }
      return bound;
    });
    EXPECT_TRUE(bound) << address << ": " << failure.message();
  }

private:
  asio::ip::tcp::acceptor m_socket;
};

struct peer {
  std::vector<wire::envelope> received;
  std::vector<link_loss> losses;
  std::unique_ptr<mailbox> box;

  peer(asio::io_context& context, std::string name, std::uint64_t number,
       std::string address = "127.0.0.1:0") {
    box = std::move(
        mailbox::open(context,
                      {.name = std::move(name),
                       .address = std::move(address),
                       .local_incarnation = incarnation{number}},
                      {.on_envelope = [this](wire::envelope value) { received.push_back(std::move(value)); },
                       .on_link_lost = [this](std::string_view, link_loss loss) { losses.push_back(loss); }})
            .value());
  }
};

// Guards against messages that are lost, reordered or split into several envelopes on a healthy link.
TEST(mailbox, delivers_in_order_in_one_envelope) {
  asio::io_context context;
  peer first(context, "first", 1);
  peer second(context, "second", 2);
  for (std::uint32_t i = 0; i < 100; ++i) {
    first.box->send(second.box->address(), wire::subscribe_load{.lease_ms = i});
  }
  first.box->flush(configuration_version{4}, 9);
  ASSERT_TRUE(run_until(context, [&] { return !second.received.empty(); }));
  const auto& value = second.received.front();
  EXPECT_EQ(value.sender, "first");
  EXPECT_EQ(value.sender_address, first.box->address());
  EXPECT_EQ(value.version, configuration_version{4});
  ASSERT_EQ(value.messages.size(), 100U);
  EXPECT_EQ(std::get<wire::subscribe_load>(value.messages[99]).lease_ms, 99U);
}

// Guards against a closed or restarted peer that is not reported.
TEST(mailbox, reports_a_closed_and_a_restarted_peer) {
  asio::io_context context;
  peer first(context, "first", 1);
  std::optional<peer> second(std::in_place, context, "second", 2);
  const auto address = second->box->address();
  first.box->send(address, wire::subscribe_load{});
  first.box->flush({}, 0);
  second->box->send(first.box->address(), wire::subscribe_load{});
  second->box->flush({}, 0);
  ASSERT_TRUE(run_until(context, [&] { return !second->received.empty() && !first.received.empty(); }));
  second.reset();
  ASSERT_TRUE(run_until(context, [&] { return !first.losses.empty(); }));
  EXPECT_EQ(first.losses.front(), link_loss::connection_closed);

  // The socket is closed in the background.
  ASSERT_TRUE(run_until(context, [&] { return is_free(context, address); }));
  peer restarted(context, "second", 3, address);
  first.losses.clear();
  restarted.box->send(first.box->address(), wire::subscribe_load{});
  restarted.box->flush({}, 0);
  // The ends of both old connections are reported as well, before or after the new incarnation.
  EXPECT_TRUE(run_until(context, [&] {
    return std::count(first.losses.begin(), first.losses.end(), link_loss::peer_restarted) == 1;
  }));
}

// Guards against a receiver that waits forever for messages that were on a connection when it broke. The
// receiver sends nothing to the peer, so only the end of the incoming connection shows the loss.
TEST(mailbox, reports_the_end_of_an_incoming_connection) {
  asio::io_context context;
  peer first(context, "first", 1);
  std::optional<peer> second(std::in_place, context, "second", 2);
  second->box->send(first.box->address(), wire::subscribe_load{});
  second->box->flush({}, 0);
  ASSERT_TRUE(run_until(context, [&] { return !first.received.empty(); }));
  second.reset();
  ASSERT_TRUE(run_until(context, [&] { return !first.losses.empty(); }));
  EXPECT_EQ(first.losses.front(), link_loss::connection_closed);
}

// Guards against a request that reaches its peer long after the caller's deadline: while it waits for a
// connection, the remaining time in it does not decrease.
TEST(mailbox, drops_messages_that_no_connection_accepts_in_time) {
  asio::io_context context;
  std::optional<peer> second(std::in_place, context, "second", 2);
  const auto address = second->box->address();
  second.reset();
  std::optional<reserved_port> reserved(std::in_place, context, address);
  peer first(context, "first", 1);
  first.box->send(address, wire::subscribe_load{.lease_ms = 1});
  first.box->flush({}, 0);
  ASSERT_TRUE(run_until(context, [&] { return !first.losses.empty(); }));
  EXPECT_EQ(first.losses.front(), link_loss::not_accepted);
  EXPECT_EQ(first.box->counters().queued_bytes, 0U);

  reserved.reset();
  peer restarted(context, "second", 3, address);
  first.box->send(address, wire::subscribe_load{.lease_ms = 2});
  first.box->flush({}, 0);
  ASSERT_TRUE(run_until(context, [&] { return !restarted.received.empty(); }));
  EXPECT_EQ(std::get<wire::subscribe_load>(restarted.received.front().messages.front()).lease_ms, 2U);
}

// Guards against callbacks of nng that use a mailbox or a link after its destruction.
TEST(mailbox, can_be_destroyed_while_messages_arrive) {
  constexpr std::uint64_t k_rounds = 30;
  asio::io_context context;
  wire::response_chunk chunk;
  chunk.data = std::string(10000, 'x');
  peer sender(context, "sender", 1);
  for (std::uint64_t round = 0; round < k_rounds; ++round) {
    std::optional<peer> receiver(std::in_place, context, "receiver", 2 + round);
    const auto address = receiver->box->address();
    for (int i = 0; i < 20; ++i) {
      sender.box->send(address, chunk);
      sender.box->flush({}, 0);
    }
    ASSERT_TRUE(run_until(context, [&] { return !receiver->received.empty(); }));
    receiver.reset();
    if (round % 2 == 0) {
      sender.box->close_link(address);
    }
  }
}

}  // namespace
}  // namespace cuminpath::transport
