#include "core/balancer/planned_stop.h"

#include <gtest/gtest.h>

namespace cuminpath::balancer {
namespace {

constexpr time_point k_start{seconds{100}};
constexpr milliseconds k_grace_period{8000};
constexpr milliseconds k_tick{20};

TEST(planned_stop, stays_while_it_is_needed) {
  planned_stop stop(k_start, k_grace_period);
  EXPECT_EQ(stop.advance(true, k_start), stop_stage::finishing);
  EXPECT_EQ(stop.advance(true, k_start + k_grace_period / 4), stop_stage::finishing);
  EXPECT_EQ(stop.advance(false, k_start + k_grace_period / 4 + k_tick), stop_stage::leaving);
}

TEST(planned_stop, leaves_at_half_of_the_grace_period_at_the_latest) {
  planned_stop stop(k_start, k_grace_period);
  EXPECT_EQ(stop.advance(true, stop.finish_by() - k_tick), stop_stage::finishing);
  EXPECT_EQ(stop.advance(true, stop.finish_by()), stop_stage::leaving);
  EXPECT_LE(stop.finish_by(), k_start + k_grace_period / 2);
}

TEST(planned_stop, repeats_the_last_report_before_it_ends) {
  planned_stop stop(k_start, k_grace_period);
  int reports = 0;
  time_point now = k_start;
  // Having left, it ends even if a late order makes it seem needed.
  for (; stop.advance(reports > 0, now) == stop_stage::leaving; now += k_tick) {
    ++reports;
  }
  EXPECT_GE(reports, 2);
  EXPECT_LE(now - k_start, milliseconds{200});
  EXPECT_EQ(stop.advance(true, now + k_tick), stop_stage::ended);
}

}  // namespace
}  // namespace cuminpath::balancer
