#include "core/balancer/map_relay.h"

#include <gtest/gtest.h>

#include <map>

namespace cuminpath::balancer {
namespace {

// How many copies of the map each rank gets.
std::map<std::uint32_t, int> copies(const std::vector<std::uint32_t>& ranks, std::uint32_t leader) {
  std::map<std::uint32_t, int> received;
  for (const std::uint32_t head : chain_heads(ranks, leader)) {
    for (std::optional<std::uint32_t> rank = head; rank; rank = next_in_chain(ranks, *rank)) {
      ++received[*rank];
    }
  }
  return received;
}

TEST(map_relay, every_rank_gets_the_map_once) {
  for (const std::uint32_t count : {2U, 8U, 9U, 32U, 61U}) {
    std::vector<std::uint32_t> ranks;
    for (std::uint32_t rank = 0; rank < count; ++rank) {
      ranks.push_back(rank);
    }
    const auto received = copies(ranks, 0);
    EXPECT_EQ(received.size(), count - 1);
    for (const auto& [rank, times] : received) {
      EXPECT_EQ(times, 1) << rank << " of " << count;
      EXPECT_NE(rank, 0U);
    }
    EXPECT_LE(chain_heads(ranks, 0).size(), k_map_chains);
  }
}

TEST(map_relay, ranks_without_a_balancer_are_passed_over) {
  const std::vector<std::uint32_t> ranks{1, 2, 8, 16, 24, 26};  // 0, 9 and 10 are gone, for instance.
  const auto received = copies(ranks, 1);
  EXPECT_EQ(received, (std::map<std::uint32_t, int>{{2, 1}, {8, 1}, {16, 1}, {24, 1}, {26, 1}}));
}

}  // namespace
}  // namespace cuminpath::balancer
