#include "scenario/port_pool.h"

#include <gtest/gtest.h>

#include <set>

namespace cuminpath::scenario {
namespace {

// Two scenarios that run at the same time are two pools: a port that both hand out before either program
// listens ends one of them with "address in use".
TEST(port_pool, no_two_pools_hand_out_the_same_port) {
  constexpr int k_ports = 300;
  port_pool first;
  port_pool second;
  std::set<std::uint16_t> seen;
  for (int i = 0; i < k_ports; ++i) {
    EXPECT_TRUE(seen.insert(first.take()).second);
    EXPECT_TRUE(seen.insert(second.take()).second);
  }
}

TEST(port_pool, ports_come_back_with_the_end_of_a_pool) {
  for (int round = 0; round < 100; ++round) {
    port_pool pool;
    for (int i = 0; i < 200; ++i) {
      pool.take();
    }
  }
}

}  // namespace
}  // namespace cuminpath::scenario
