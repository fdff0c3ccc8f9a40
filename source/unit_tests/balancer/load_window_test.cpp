#include "core/balancer/load_window.h"

#include <gtest/gtest.h>

namespace cuminpath::balancer {
namespace {

constexpr time_point k_start{seconds{100}};

TEST(load_window, halves_the_load_in_each_half_life) {
  load_window window(milliseconds{200});
  window.add(std::vector<std::uint64_t>{100, 0, 50, 50}, k_start);
  EXPECT_DOUBLE_EQ(window.total(k_start), 200);
  EXPECT_NEAR(window.total(k_start + milliseconds{400}), 50, 1e-9);
  window.add(std::vector<std::uint64_t>{0, 100, 0, 0}, k_start + milliseconds{200});
  const auto loads = window.loads(2);
  EXPECT_NEAR(loads[0][0], 50, 1e-9);
  EXPECT_NEAR(loads[0][1], 100, 1e-9);
  EXPECT_NEAR(loads[1][0], 25, 1e-9);
}

TEST(load_window, resets_when_the_shape_changes) {
  load_window window(milliseconds{200});
  window.add(std::vector<std::uint64_t>{100, 0}, k_start);
  window.add(std::vector<std::uint64_t>{1, 1, 1}, k_start);
  EXPECT_DOUBLE_EQ(window.total(k_start), 3);
}

}  // namespace
}  // namespace cuminpath::balancer
