#include "core/gateway/recent_maximum.h"

#include <gtest/gtest.h>

namespace cuminpath::gateway {
namespace {

constexpr seconds k_period{10};

time_point at(int s) {
  return time_point(seconds(100 + s));
}

TEST(recent_maximum, is_absent_until_something_is_observed) {
  recent_maximum longest(k_period);
  EXPECT_FALSE(longest.value(at(0)));
  longest.observe(milliseconds{3}, at(0));
  EXPECT_EQ(longest.value(at(0)), milliseconds{3});
}

TEST(recent_maximum, keeps_the_largest_observation_for_at_least_one_period) {
  recent_maximum longest(k_period);
  longest.observe(milliseconds{9}, at(0));
  longest.observe(milliseconds{3}, at(9));
  EXPECT_EQ(longest.value(at(10)), milliseconds{9});
  longest.observe(milliseconds{4}, at(11));
  EXPECT_EQ(longest.value(at(12)), milliseconds{9});
  longest.observe(milliseconds{2}, at(21));
  EXPECT_EQ(longest.value(at(21)), milliseconds{4});
}

TEST(recent_maximum, forgets_everything_after_two_periods_without_an_observation) {
  recent_maximum longest(k_period);
  longest.observe(milliseconds{9}, at(0));
  EXPECT_FALSE(longest.value(at(20)));
}

}  // namespace
}  // namespace cuminpath::gateway
