#include "core/gateway/view_confirmation.h"

#include <gtest/gtest.h>

namespace cuminpath::gateway {
namespace {

constexpr time_point k_start{seconds{100}};

TEST(view_confirmation, a_view_that_nobody_confirms_becomes_stale_once) {
  view_confirmation view(k_start);
  view.confirm("g-1", k_start + seconds{1});
  EXPECT_FALSE(view.take_change(k_start + seconds{1} + view_confirmation::k_stale_after - milliseconds{1}));
  const time_point stale_from = k_start + seconds{1} + view_confirmation::k_stale_after;
  const auto change = view.take_change(stale_from);
  ASSERT_TRUE(change);
  EXPECT_TRUE(change->stale);
  EXPECT_EQ(change->age, view_confirmation::k_stale_after);
  EXPECT_EQ(view.source(), "g-1");
  EXPECT_FALSE(view.take_change(stale_from + seconds{1}));
}

TEST(view_confirmation, says_how_long_the_confirmation_was_missing) {
  view_confirmation view(k_start);
  ASSERT_TRUE(view.take_change(k_start + seconds{6}));
  view.confirm("store", k_start + seconds{8});
  const auto change = view.take_change(k_start + seconds{8});
  ASSERT_TRUE(change);
  EXPECT_FALSE(change->stale);
  EXPECT_EQ(change->age, seconds{8});
  EXPECT_FALSE(view.take_change(k_start + seconds{9}));
}

// A response tells of a moment before it arrives.
TEST(view_confirmation, says_how_long_the_confirmation_was_missing_when_it_arrives) {
  view_confirmation view(k_start);
  ASSERT_TRUE(view.take_change(k_start + seconds{6}));
  EXPECT_FALSE(view.take_change(k_start + seconds{8}));
  view.confirm("store", k_start + seconds{7});
  const auto change = view.take_change(k_start + seconds{8});
  ASSERT_TRUE(change);
  EXPECT_FALSE(change->stale);
  EXPECT_EQ(change->age, seconds{8});
}

}  // namespace
}  // namespace cuminpath::gateway
