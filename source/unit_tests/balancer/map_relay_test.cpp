#include "core/balancer/map_relay.h"

#include <gtest/gtest.h>

#include <map>
#include <numeric>

namespace cuminpath::balancer {
namespace {

struct spread {
  std::map<std::uint32_t, int> copies;  // By rank.
  int depth = 0;                        // Steps to the last rank.
};

spread spread_map(std::span<const std::uint32_t> ranks, std::uint32_t leader) {
  const auto order = relay_order(ranks, leader);
  spread out;
  std::vector<std::uint32_t> step{leader};
  while (!step.empty()) {
    std::vector<std::uint32_t> next;
    for (const std::uint32_t rank : step) {
      const auto targets = relay_targets(order, rank);
      EXPECT_LE(targets.size(), k_map_copies);
      for (const std::uint32_t target : targets) {
        ++out.copies[target];
        next.push_back(target);
      }
    }
    out.depth += next.empty() ? 0 : 1;
    step = std::move(next);
  }
  return out;
}

TEST(map_relay, every_rank_gets_the_map_once_within_few_steps) {
  for (const auto& [count, depth] : {std::pair(2U, 1), std::pair(8U, 2), std::pair(32U, 3), std::pair(96U, 4),
                                     std::pair(300U, 5), std::pair(1200U, 7)}) {
    std::vector<std::uint32_t> ranks(count - 1);
    std::iota(ranks.begin(), ranks.end(), 1U);
    const auto out = spread_map(ranks, 0);
    EXPECT_EQ(out.copies.size(), count - 1);
    for (const auto& [rank, copies] : out.copies) {
      EXPECT_EQ(copies, 1) << rank << " of " << count;
      EXPECT_NE(rank, 0U);
    }
    EXPECT_EQ(out.depth, depth) << count;
  }
}

TEST(map_relay, only_ranks_in_the_order_pass_the_map_on) {
  const std::vector<std::uint32_t> ranks{1, 2, 8, 16, 24, 26};  // Others have no balancer.
  const auto out = spread_map(ranks, 2);
  EXPECT_EQ(out.copies, (std::map<std::uint32_t, int>{{1, 1}, {8, 1}, {16, 1}, {24, 1}, {26, 1}}));
  EXPECT_TRUE(relay_targets(relay_order(ranks, 2), 9).empty());
  EXPECT_TRUE(relay_targets({}, 1).empty());
}

}  // namespace
}  // namespace cuminpath::balancer
