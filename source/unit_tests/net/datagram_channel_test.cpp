#include "core/net/datagram_channel.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <asio/io_context.hpp>

#include "core/common/time.h"

namespace cuminpath::net {
namespace {

// Guards against a peer that sends without pause and so keeps all other work of the process waiting.
TEST(datagram_channel, receives_a_bounded_number_of_datagrams_in_one_turn_and_all_in_the_end) {
  constexpr std::size_t k_datagrams = 200;
  asio::io_context context;
  std::size_t received = 0;
  const auto receiver = std::move(
      datagram_channel::open(context, "127.0.0.1:0", [&](std::string_view) { ++received; }).value());
  const auto sender = std::move(datagram_channel::open(context, "127.0.0.1:0", [](auto) {}).value());
  const std::string address = receiver->address();
  for (std::size_t i = 0; i < k_datagrams; ++i) {
    sender->send("x", std::span(&address, 1));
  }
  std::size_t most_in_one_turn = 0;
  while (received < k_datagrams) {
    const std::size_t before = received;
    ASSERT_EQ(context.run_one_for(seconds{10}), 1U) << received;
    most_in_one_turn = std::max(most_in_one_turn, received - before);
  }
  EXPECT_LT(most_in_one_turn, k_datagrams / 2);
}

}  // namespace
}  // namespace cuminpath::net
