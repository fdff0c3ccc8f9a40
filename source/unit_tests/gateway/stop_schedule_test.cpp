#include "core/gateway/stop_schedule.h"

#include <gtest/gtest.h>

namespace cuminpath::gateway {
namespace {

constexpr time_point k_signal{seconds{50}};
constexpr milliseconds k_grace_period{8000};
constexpr milliseconds k_ttl{1500};

stop_schedule make_schedule() {
  return {k_signal, k_grace_period, k_ttl};
}

late_request stream(time_point deadline, std::optional<duration> longest_service_time) {
  return {.deadline = deadline, .longest_service_time = longest_service_time, .streamed = true};
}

late_request whole(time_point deadline, std::optional<duration> longest_service_time) {
  return {.deadline = deadline, .longest_service_time = longest_service_time};
}

TEST(stop_schedule, leaves_time_to_send_the_last_responses_before_the_process_is_killed) {
  const auto stop = make_schedule();
  EXPECT_LT(stop.respond_by(), stop.exit_by());
  EXPECT_LT(stop.exit_by(), k_signal + k_grace_period);
  // Requests that are still running may be cut in the last sixth of the grace period only.
  EXPECT_GE(stop.respond_by(), k_signal + k_grace_period * 5 / 6);
  EXPECT_EQ(stop.exit_from(true), k_signal + 3 * k_ttl);
  EXPECT_EQ(stop.exit_from(false), k_signal + milliseconds{2625});
  // Requests that the platform counts as sent late must not be accepted by their usual length.
  EXPECT_LT(stop.exit_from(false), k_signal + seconds{3} - milliseconds{300});
}

TEST(stop_schedule, accepts_a_request_whose_deadline_is_in_time_at_any_moment) {
  const auto stop = make_schedule();
  EXPECT_TRUE(stop.accepts(stream(stop.respond_by(), std::nullopt), true, k_signal));
  EXPECT_TRUE(stop.accepts(stream(stop.respond_by(), std::nullopt), true, k_signal + seconds{7}));
  EXPECT_FALSE(stop.accepts(stream(stop.respond_by() + milliseconds{1}, std::nullopt), true, k_signal));
}

TEST(stop_schedule, accepts_a_request_that_usually_ends_in_time_only_while_callers_cannot_know_of_the_stop) {
  const auto stop = make_schedule();
  const time_point deadline = k_signal + seconds{9};
  EXPECT_TRUE(stop.accepts(stream(deadline, seconds{2}), true, k_signal + k_ttl - milliseconds{1}));
  EXPECT_FALSE(stop.accepts(stream(deadline, seconds{2}), true, k_signal + k_ttl));
  EXPECT_FALSE(stop.accepts(stream(deadline, seconds{7}), true, k_signal + seconds{1}));
  EXPECT_FALSE(stop.accepts(stream(deadline, std::nullopt), true, k_signal));
}

TEST(stop_schedule, accepts_such_a_request_for_longer_if_no_other_gateway_is_ready) {
  const auto stop = make_schedule();
  const time_point deadline = k_signal + seconds{9};
  EXPECT_TRUE(stop.accepts(stream(deadline, seconds{2}), false, stop.exit_from(false) - milliseconds{1}));
  EXPECT_FALSE(stop.accepts(stream(deadline, seconds{2}), false, stop.exit_from(false)));
  EXPECT_FALSE(stop.accepts(stream(deadline, seconds{6}), false, k_signal + k_ttl));
}

// Guards against short calls that are refused seconds before the end of the stop.
TEST(stop_schedule, accepts_a_short_request_that_is_not_streamed_until_callers_have_left) {
  const auto stop = make_schedule();
  const time_point deadline = k_signal + seconds{20};
  constexpr milliseconds k_short{100};
  EXPECT_TRUE(stop.accepts(whole(deadline, k_short), true, stop.exit_from(true) - milliseconds{1}));
  EXPECT_FALSE(stop.accepts(whole(deadline, k_short), true, stop.exit_from(true)));
  EXPECT_FALSE(stop.accepts(stream(deadline, k_short), true, k_signal + k_ttl));
  EXPECT_FALSE(stop.accepts(whole(deadline, std::nullopt), true, k_signal + k_ttl));
  // The successor of a gateway that is alone is needed soon.
  EXPECT_TRUE(stop.accepts(whole(deadline, k_short), false, stop.exit_from(false) - milliseconds{1}));
  EXPECT_FALSE(stop.accepts(whole(deadline, k_short), false, stop.exit_from(false)));
  // A quarter of the time that is left.
  const time_point now = k_signal + seconds{3};
  const duration longest = (stop.respond_by() - now) / 4;
  EXPECT_TRUE(stop.accepts(whole(deadline, longest), true, now));
  EXPECT_FALSE(stop.accepts(whole(deadline, longest + milliseconds{1}), true, now));
}

TEST(stop_schedule, a_short_grace_period_cuts_requests_in_its_last_sixth_only) {
  for (const milliseconds grace_period : {milliseconds{500}, milliseconds{2000}, milliseconds{4000}}) {
    const stop_schedule stop(k_signal, grace_period, k_ttl);
    EXPECT_GE(stop.respond_by(), k_signal + grace_period * 5 / 6);
    EXPECT_LT(stop.respond_by(), stop.exit_by());
    EXPECT_LT(stop.exit_by(), k_signal + grace_period);
    EXPECT_LE(stop.exit_from(true), stop.respond_by());
    EXPECT_LE(stop.exit_from(false), stop.exit_from(true));
  }
}

}  // namespace
}  // namespace cuminpath::gateway
