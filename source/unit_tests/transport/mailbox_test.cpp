#include "core/transport/mailbox.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <optional>

#include "unit_tests/support/run_until.h"

namespace cuminpath::transport {
namespace {

using support::run_until;

struct peer {
  std::vector<wire::envelope> received;
  std::vector<link_loss> losses;
  std::unique_ptr<mailbox> box;

  peer(asio::io_context& context, std::string name, std::uint64_t number,
       std::string address = "127.0.0.1:0") {
    box = std::move(
        mailbox::open(context,
                      {.name = std::move(name), .address = std::move(address), .number = incarnation{number}},
                      {.received = [this](wire::envelope value) { received.push_back(std::move(value)); },
                       .lost = [this](std::string_view, link_loss loss) { losses.push_back(loss); }})
            .value());
  }
};

// Guards against lost, reordered or split-up messages on a healthy link.
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

// Guards against a dead or restarted peer that goes unnoticed.
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

  peer again(context, "second", 3, address);
  first.losses.clear();
  again.box->send(first.box->address(), wire::subscribe_load{});
  again.box->flush({}, 0);
  ASSERT_TRUE(run_until(context, [&] { return !first.losses.empty(); }));
  EXPECT_EQ(first.losses.back(), link_loss::peer_restarted);
}

}  // namespace
}  // namespace cuminpath::transport
