#include "core/balancer/map_relay.h"

#include <gtest/gtest.h>

#include <map>
#include <numeric>

namespace cuminpath::balancer {
namespace {

struct relay_outcome {
  std::map<std::uint32_t, int> copies;  // By rank.
  int depth = 0;                        // Hops to the last rank.
};

relay_outcome relay_map(std::span<const std::uint32_t> ranks, std::uint32_t leader) {
  const auto order = relay_order(ranks, leader);
  relay_outcome out;
  std::vector<std::uint32_t> level{leader};
  while (!level.empty()) {
    std::vector<std::uint32_t> next_level;
    for (const std::uint32_t rank : level) {
      const auto targets = relay_targets(order, rank);
      EXPECT_LE(targets.size(), k_relay_fanout);
      for (const std::uint32_t target : targets) {
        ++out.copies[target];
        next_level.push_back(target);
      }
    }
    out.depth += next_level.empty() ? 0 : 1;
    level = std::move(next_level);
  }
  return out;
}

TEST(map_relay, every_rank_receives_the_map_once_within_few_hops) {
  for (const auto& [count, depth] : {std::pair(2U, 1), std::pair(8U, 2), std::pair(32U, 3), std::pair(96U, 4),
                                     std::pair(300U, 5), std::pair(1200U, 7)}) {
    std::vector<std::uint32_t> ranks(count - 1);
    std::iota(ranks.begin(), ranks.end(), 1U);
    const auto out = relay_map(ranks, 0);
    EXPECT_EQ(out.copies.size(), count - 1);
    for (const auto& [rank, copies] : out.copies) {
      EXPECT_EQ(copies, 1) << rank << " of " << count;
      EXPECT_NE(rank, 0U);
    }
    EXPECT_EQ(out.depth, depth) << count;
  }
}

TEST(map_relay, only_ranks_in_the_order_relay_the_map) {
  const std::vector<std::uint32_t> ranks{1, 2, 8, 16, 24, 26};  // The other ranks have no balancer.
  const auto out = relay_map(ranks, 2);
  EXPECT_EQ(out.copies, (std::map<std::uint32_t, int>{{1, 1}, {8, 1}, {16, 1}, {24, 1}, {26, 1}}));
  EXPECT_TRUE(relay_targets(relay_order(ranks, 2), 9).empty());
  EXPECT_TRUE(relay_targets({}, 1).empty());
}

}  // namespace
}  // namespace cuminpath::balancer
