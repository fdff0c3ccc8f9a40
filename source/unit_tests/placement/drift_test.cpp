#include <gtest/gtest.h>

#include <vector>

#include "bench/placement/drift_trace.h"
#include "core/placement/drift_estimator.h"
#include "core/placement/planner.h"

namespace cuminpath::placement {
namespace {

constexpr group_shape k_shape{.ranks = 32, .layers = 1, .experts = 256, .slots_per_rank = 10};
constexpr std::uint64_t k_seed = 20260203;
constexpr int k_interval_s = 900;

struct day_result {
  double mean_skew = 0;
  std::uint64_t copies = 0;
};

template <class planner_type>
day_result run_day(planner_type next_map) {
  bench::drift_trace trace(bench::trace_kind::day, k_shape, k_seed);
  auto map = contiguous_map(k_shape);
  drift_estimator drift;
  day_result result;
  int intervals = 0;
  for (int second = 0; second < 24 * 3600; second += k_interval_s) {
    const auto counts = trace.counts(second / 3600.0);
    const std::vector<float> speeds = trace.rank_speeds(second / 3600.0);
    if (second > 0) {  // All variants start with the same map.
      result.mean_skew += step_skew(map, counts, speeds);
      ++intervals;
    }
    drift.add(time_point{seconds(second)}, counts);
    auto next = next_map(map, drift, speeds);
    result.copies += copies_needed(map, next);
    map = std::move(next);
  }
  result.mean_skew /= intervals;
  return result;
}

// Guards against a planner that does not follow the drift of a day, or that copies as much as a full
// rebalance to follow it. The limits are those of the stated targets: skew 1.10 and a fifth of the bytes.
TEST(drift, planner_limits_the_skew_with_few_bytes) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(k_seed));
  const auto fixed = run_day([](const expert_map& map, const drift_estimator&, const auto&) { return map; });
  const auto full = run_day([](const expert_map&, const drift_estimator& drift, const auto& speeds) {
    return full_rebalance(k_shape, drift.loads(), speeds);
  });
  const auto planned = run_day([](const expert_map& map, const drift_estimator& drift, const auto& speeds) {
    const auto new_plan = make_plan(k_shape, map, drift.loads(), speeds,
                                    {.expert_bytes = 44'000'000,
                                     .weight_store_bytes_per_s = 500e6,
                                     .pattern_lifetime_s = drift.expected_lifetime_s()});
    return new_plan.worthwhile ? new_plan.map : map;
  });
  EXPECT_GT(fixed.mean_skew, 1.5);
  EXPECT_LE(planned.mean_skew, 1.10);
  EXPECT_LE(planned.copies * 5, full.copies);
}

}  // namespace
}  // namespace cuminpath::placement
