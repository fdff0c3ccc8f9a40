#include "core/balancer/pass_clock.h"

#include <gtest/gtest.h>

namespace cuminpath::balancer {
namespace {

TEST(pass_clock, measures_the_duration_of_steady_passes) {
  pass_clock clock;
  EXPECT_EQ(clock.mean().count(), 0);
  // Passes of 80 ms with a status read every 20 ms: several reads show the same pass.
  for (int ms = 0; ms < 2000; ms += 20) {
    clock.observe(1, static_cast<std::uint64_t>(ms / 80), time_point(milliseconds(ms)));
  }
  EXPECT_EQ(clock.mean().count(), 80);
}

TEST(pass_clock, ignores_idle_time_and_new_epochs) {
  pass_clock clock;
  clock.observe(1, 10, time_point(milliseconds(0)));
  clock.observe(1, 11, time_point(milliseconds(50)));
  clock.observe(1, 12, time_point(milliseconds(9000)));
  clock.observe(2, 5, time_point(milliseconds(9100)));
  clock.observe(2, 6, time_point(milliseconds(9150)));
  EXPECT_EQ(clock.mean().count(), 50);
}

}  // namespace
}  // namespace cuminpath::balancer
