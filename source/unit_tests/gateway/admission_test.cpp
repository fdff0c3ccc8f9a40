#include "core/gateway/admission.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace cuminpath::gateway {
namespace {

TEST(admission, urgent_work_finds_places_that_lower_ranks_leave) {
  const double urgent = max_fill({.rank = 0, .engine = true});
  const double middle = max_fill({.rank = 1, .engine = true});
  const double lowest = max_fill({.rank = 2, .engine = true});
  EXPECT_GT(urgent, middle);
  EXPECT_GT(middle, lowest);
  EXPECT_EQ(max_fill({.rank = 9, .engine = true}), lowest);
}

TEST(admission, retry_after_grows_with_the_excess_and_stays_within_what_callers_honour) {
  random_source random(3);
  const admission_request request{.rank = 2, .engine = true, .time_left = milliseconds{9000}};
  const upstream_table::service_totals calm{.upstreams = 10, .slots = 100, .outstanding = 100};
  const upstream_table::service_totals flooded{.upstreams = 10, .slots = 100, .outstanding = 300};
  milliseconds calm_sum{0};
  milliseconds flooded_sum{0};
  for (int i = 0; i < 100; ++i) {
    const auto short_wait = retry_after(calm, milliseconds{1000}, request, random);
    const auto long_wait = retry_after(flooded, milliseconds{1000}, request, random);
    EXPECT_GT(short_wait.count(), 0);
    EXPECT_LE(long_wait.count(), 3000);
    calm_sum += short_wait;
    flooded_sum += long_wait;
  }
  EXPECT_GT(flooded_sum, 2 * calm_sum);
}

TEST(admission, callers_of_a_service_that_is_away_come_back_when_it_can_be_there) {
  constexpr time_point k_start{seconds{100}};
  service_outlook outlook;
  EXPECT_FALSE(outlook.away(k_start));
  outlook.on_served(k_start);
  outlook.on_refused(k_start + milliseconds{100});
  EXPECT_FALSE(outlook.away(k_start + milliseconds{100}));
  outlook.on_refused(k_start + milliseconds{500});
  EXPECT_TRUE(outlook.away(k_start + milliseconds{500}));
  outlook.on_served(k_start + milliseconds{600});
  EXPECT_FALSE(outlook.away(k_start + milliseconds{600}));
  random_source random(3);
  const auto wait =
      retry_after({}, milliseconds{100}, {.time_left = milliseconds{8000}, .service_away = true}, random);
  EXPECT_GE(wait, milliseconds{1000});
  EXPECT_LE(wait, milliseconds{2400});
}

TEST(admission, callers_come_back_once_an_upstream_takes_requests_again) {
  random_source random(1);
  const upstream_table::service_totals totals{.all_turn_away_for = milliseconds{4000}};
  for (int i = 0; i < 100; ++i) {
    const auto wait = retry_after(totals, milliseconds{100}, {.time_left = milliseconds{3000}}, random);
    EXPECT_GE(wait, milliseconds{4000});
    EXPECT_LE(wait, milliseconds{6000});
  }
}

TEST(admission, callers_who_come_back_go_before_new_ones_of_their_rank_only) {
  return_watch watch;
  EXPECT_FALSE(watch.observe(milliseconds{8000}));
  EXPECT_FALSE(watch.observe(milliseconds{8000}));
  EXPECT_TRUE(watch.observe(milliseconds{7700}));
  const auto admitted = [](std::uint32_t rank, bool returned, std::uint32_t outstanding) {
    return keeps_passes_short(
        {.upstreams = 100, .slots = 600, .outstanding = outstanding},
        {.rank = rank, .engine = true, .pass_fill = 0.75, .returned = returned, .place = 1.0 / 6});
  };
  // The most requests for which each is admitted, in the order of who goes first.
  std::vector<std::uint32_t> most;
  for (const auto& [rank, returned] : {std::pair(0U, true), std::pair(0U, false), std::pair(1U, true),
                                       std::pair(1U, false), std::pair(2U, true), std::pair(2U, false)}) {
    std::uint32_t outstanding = 0;
    while (admitted(rank, returned, outstanding + 1)) {
      ++outstanding;
    }
    most.push_back(outstanding);
  }
  EXPECT_TRUE(std::is_sorted(most.rbegin(), most.rend()));
  EXPECT_EQ(std::adjacent_find(most.begin(), most.end()), most.end());
  EXPECT_GE(most.back(), 300U);  // Half of the places are filled whatever the passes.
  // Nothing is known of passes: nobody is refused for them.
  EXPECT_TRUE(
      keeps_passes_short({.upstreams = 1, .slots = 6, .outstanding = 60}, {.rank = 2, .engine = true}));
}

}  // namespace
}  // namespace cuminpath::gateway
