#include "core/gateway/admission.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace cuminpath::gateway {
namespace {

TEST(admission, less_urgent_priorities_leave_capacity_for_urgent_requests) {
  const double urgent = max_utilization({.priority = 0, .engine = true});
  const double middle = max_utilization({.priority = 1, .engine = true});
  const double lowest = max_utilization({.priority = 2, .engine = true});
  EXPECT_GT(urgent, middle);
  EXPECT_GT(middle, lowest);
  EXPECT_EQ(max_utilization({.priority = 9, .engine = true}), lowest);
}

TEST(admission, the_rest_of_a_stream_may_use_the_places_of_urgent_requests) {
  EXPECT_EQ(max_utilization({.priority = 2, .engine = true, .resumes = true}),
            max_utilization({.priority = 0, .engine = true}));
}

TEST(admission, new_requests_leave_places_to_streams_that_wait) {
  const upstream_table::service_totals totals{.upstreams = 2, .slots = 8, .outstanding = 6};
  EXPECT_TRUE(leaves_places(totals, 1));
  EXPECT_FALSE(leaves_places(totals, 2));
}

TEST(admission, retry_after_grows_with_the_overload_within_the_limit_of_callers) {
  random_source random(3);
  const admission_request request{.priority = 2, .engine = true, .time_left = milliseconds{9000}};
  const upstream_table::service_totals full{.upstreams = 10, .slots = 100, .outstanding = 100};
  const upstream_table::service_totals overloaded{.upstreams = 10, .slots = 100, .outstanding = 300};
  milliseconds full_sum{0};
  milliseconds overloaded_sum{0};
  for (int i = 0; i < 100; ++i) {
    const auto short_wait = retry_after(full, milliseconds{1000}, request, random);
    const auto long_wait = retry_after(overloaded, milliseconds{1000}, request, random);
    EXPECT_GT(short_wait.count(), 0);
    EXPECT_LE(long_wait.count(), 3000);
    full_sum += short_wait;
    overloaded_sum += long_wait;
  }
  EXPECT_GT(overloaded_sum, 2 * full_sum);
}

TEST(admission, callers_of_an_unavailable_service_retry_after_its_recovery_time) {
  constexpr time_point k_start{seconds{100}};
  service_availability availability;
  EXPECT_FALSE(availability.unavailable(k_start));
  availability.on_served(k_start);
  availability.on_refused(k_start + milliseconds{100});
  EXPECT_FALSE(availability.unavailable(k_start + milliseconds{100}));
  availability.on_refused(k_start + milliseconds{500});
  EXPECT_TRUE(availability.unavailable(k_start + milliseconds{500}));
  availability.on_served(k_start + milliseconds{600});
  EXPECT_FALSE(availability.unavailable(k_start + milliseconds{600}));
  random_source random(3);
  const auto wait = retry_after({}, milliseconds{100},
                                {.time_left = milliseconds{8000}, .service_unavailable = true}, random);
  EXPECT_GE(wait, milliseconds{1000});
  EXPECT_LE(wait, milliseconds{2400});
}

TEST(admission, callers_retry_once_an_upstream_accepts_requests_again) {
  random_source random(1);
  const upstream_table::service_totals totals{.all_reject_for = milliseconds{4000}};
  for (int i = 0; i < 100; ++i) {
    const auto wait = retry_after(totals, milliseconds{100}, {.time_left = milliseconds{3000}}, random);
    EXPECT_GE(wait, milliseconds{4000});
    EXPECT_LE(wait, milliseconds{6000});
  }
}

TEST(admission, retries_precede_new_requests_of_their_priority_only) {
  retry_detector detector;
  EXPECT_FALSE(detector.observe(milliseconds{8000}));
  EXPECT_FALSE(detector.observe(milliseconds{8000}));
  EXPECT_TRUE(detector.observe(milliseconds{7700}));
  constexpr std::uint32_t k_slots = 600;
  const auto admitted = [](std::uint32_t priority, bool retry, std::uint32_t outstanding) {
    return keeps_passes_on_time({.upstreams = 100, .slots = k_slots, .outstanding = outstanding},
                                {.priority = priority,
                                 .engine = true,
                                 .max_pass_utilization = 0.75,
                                 .is_retry = retry,
                                 .slot_share = 1.0 / 6});
  };
  // Maximum number of outstanding requests at which each kind is admitted, from the first in order of
  // preference to the last.
  std::vector<std::uint32_t> limits;
  for (const auto& [priority, retry] : {std::pair(0U, true), std::pair(0U, false), std::pair(1U, true),
                                        std::pair(1U, false), std::pair(2U, true), std::pair(2U, false)}) {
    std::uint32_t outstanding = 0;
    while (outstanding < k_slots && admitted(priority, retry, outstanding + 1)) {
      ++outstanding;
    }
    limits.push_back(outstanding);
  }
  EXPECT_TRUE(std::is_sorted(limits.rbegin(), limits.rend()));
  EXPECT_EQ(std::adjacent_find(limits.begin(), limits.end()), limits.end());
  EXPECT_GE(limits.back(), 300U);  // Half of the slots are used however long the passes are.
  // No request is refused because of passes whose length is unknown.
  EXPECT_TRUE(
      keeps_passes_on_time({.upstreams = 1, .slots = 6, .outstanding = 60}, {.priority = 2, .engine = true}));
}

}  // namespace
}  // namespace cuminpath::gateway
