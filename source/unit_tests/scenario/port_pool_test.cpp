#include "scenario/port_pool.h"

#include <gtest/gtest.h>

#include <set>

namespace cuminpath::scenario {
namespace {

// Guards against two scenarios that run at the same time, each with its own pool, and get the same port
// before either program listens on it: one of the programs would end with "address in use".
TEST(port_pool, two_pools_never_reserve_the_same_port) {
  constexpr int k_ports_per_pool = 300;
  port_pool first;
  port_pool second;
  std::set<std::uint16_t> reserved;
  for (int i = 0; i < k_ports_per_pool; ++i) {
    EXPECT_TRUE(reserved.insert(first.reserve()).second);
    EXPECT_TRUE(reserved.insert(second.reserve()).second);
  }
}

// The rounds together reserve more ports than the range has.
TEST(port_pool, destruction_of_a_pool_releases_its_ports) {
  for (int round = 0; round < 100; ++round) {
    port_pool pool;
    for (int i = 0; i < 200; ++i) {
      pool.reserve();
    }
  }
}

}  // namespace
}  // namespace cuminpath::scenario
