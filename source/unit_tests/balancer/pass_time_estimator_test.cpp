#include "core/balancer/pass_time_estimator.h"

#include <gtest/gtest.h>

namespace cuminpath::balancer {
namespace {

TEST(pass_time_estimator, measures_the_duration_of_steady_passes) {
  pass_time_estimator estimator;
  EXPECT_EQ(estimator.mean().count(), 0);
  // Passes of 80 ms with a status read every 20 ms: several reads show the same pass.
  for (int ms = 0; ms < 2000; ms += 20) {
    estimator.observe(1, static_cast<std::uint64_t>(ms / 80), time_point(milliseconds(ms)));
  }
  EXPECT_EQ(estimator.mean().count(), 80);
}

TEST(pass_time_estimator, ignores_idle_time_and_new_epochs) {
  pass_time_estimator estimator;
  estimator.observe(1, 10, time_point(milliseconds(0)));
  estimator.observe(1, 11, time_point(milliseconds(50)));
  estimator.observe(1, 12, time_point(milliseconds(9000)));
  estimator.observe(2, 5, time_point(milliseconds(9100)));
  estimator.observe(2, 6, time_point(milliseconds(9150)));
  EXPECT_EQ(estimator.mean().count(), 50);
}

}  // namespace
}  // namespace cuminpath::balancer
