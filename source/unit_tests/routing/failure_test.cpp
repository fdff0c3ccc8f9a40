// Checks the targets for failures, overload and cost in section 1.3 of docs/design.md.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "bench/experiments.h"

namespace cuminpath::bench {
namespace {

constexpr std::uint64_t k_gate_seeds[] = {11, 12};

// Guards against retries that multiply the load of a fleet of which half fails.
TEST(failure, attempts_stay_below_the_limit_while_half_of_the_upstreams_fail) {
  std::printf("seeds 11, 12\n");
  for (const double rate : {1.0, 0.5}) {
    const retry_summary value = run_half_failing(one_entry_at_peak(), rate, k_gate_seeds);
    EXPECT_LT(value.attempts, 1.1) << rate;
    EXPECT_GE(value.served, 0.95) << rate;
    EXPECT_GE(value.served_afterwards, 0.99) << rate;
  }
  // With 1.5 requests/s per entry, the initial content of the buckets has more influence; the bound holds
  // over the whole run.
  EXPECT_LT(run_half_failing(present_fleet(), 1, k_gate_seeds).attempts_whole_run, 1.1);
}

// Guards against an overload that is sustained by retries after its cause has ended.
TEST(failure, service_is_normal_within_seconds_after_an_overload) {
  std::printf("seeds 11, 12\n");
  EXPECT_LE(overload(true, true, k_gate_seeds).time_to_normal_s, 3);
}

// Guards against a decision cost that grows with the size of the fleet. Compares fleet sizes within one run.
TEST(failure, decision_cost_does_not_grow_with_the_number_of_upstreams) {
  const auto costs = decision_costs();
  const auto [min, max] =
      std::minmax_element(costs.begin(), costs.end(),
                          [](const auto& left, const auto& right) { return left.second < right.second; });
  EXPECT_LE(max->second, 2 * min->second);
}

}  // namespace
}  // namespace cuminpath::bench
