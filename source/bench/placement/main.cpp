// Measures expert placement over a day of popularity drift: step-time skew, bytes copied and step time lost.
// Compares the planner with a static map and with a full rebalance, at each interval or only above a skew
// limit.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <numeric>
#include <string>
#include <string_view>
#include <variant>

#include "bench/placement/drift_trace.h"
#include "core/placement/drift_estimator.h"
#include "core/placement/planner.h"

namespace cuminpath::bench {
namespace {

constexpr placement::group_shape k_shape{.ranks = 32, .layers = 8, .experts = 256, .slots_per_rank = 10};
constexpr double k_interval_s = 300;
constexpr double k_hours = 24;
constexpr double k_max_skew = 1.10;
constexpr std::uint64_t k_expert_bytes = 44'000'000;  // 3 matrices of 7168 x 2048, one byte per value.
constexpr double k_weight_store_bytes_per_s = 500e6;  // Per group.

placement::planner_options default_options() {
  return {.expert_bytes = k_expert_bytes, .weight_store_bytes_per_s = k_weight_store_bytes_per_s};
}

struct keep_map {};
struct rebalance_fully {};
struct rebalance_when_skewed {};  // As rebalance_fully, but only while the skew exceeds k_max_skew.
struct plan_incrementally {};
using strategy = std::variant<keep_map, rebalance_fully, rebalance_when_skewed, plan_incrementally>;

struct totals {
  std::vector<double> skews;
  std::uint64_t bytes = 0;
  std::uint32_t switches = 0;
  double lost_s = 0;       // Step time lost to loading and switching.
  double max_plan_ms = 0;  // Depends on the processor; not part of the comparison.
};

struct group_state {
  placement::expert_map map = placement::contiguous_map(k_shape);
  placement::drift_estimator drift;
};

double loading_loss_s(std::uint64_t bytes) {
  const auto options = default_options();
  return static_cast<double>(bytes) / options.weight_store_bytes_per_s * options.loading_slowdown +
         options.switch_pause_s;
}

void switch_map(group_state& group, placement::expert_map map, totals& sums) {
  const auto bytes = placement::copies_needed(group.map, map) * k_expert_bytes;
  sums.bytes += bytes;
  sums.lost_s += loading_loss_s(bytes);
  ++sums.switches;
  group.map = std::move(map);
}

void decide(keep_map, group_state&, std::span<const float>, totals&) {}

void decide(rebalance_fully, group_state& group, std::span<const float> speeds, totals& sums) {
  switch_map(group, placement::full_rebalance(k_shape, group.drift.loads(), speeds), sums);
}

void decide(rebalance_when_skewed, group_state& group, std::span<const float> speeds, totals& sums) {
  if (placement::step_skew(group.map, group.drift.loads(), speeds) > k_max_skew) {
    decide(rebalance_fully{}, group, speeds, sums);
  }
}

void decide(plan_incrementally, group_state& group, std::span<const float> speeds, totals& sums) {
  auto options = default_options();
  options.pattern_lifetime_s = group.drift.expected_lifetime_s();
  auto new_plan = placement::make_plan(k_shape, group.map, group.drift.loads(), speeds, options);
  if (new_plan.worthwhile) {
    switch_map(group, std::move(new_plan.map), sums);
  }
}

totals run(trace_kind kind, const strategy& variant, std::uint64_t seed) {
  drift_trace trace(kind, k_shape, seed);
  group_state group;
  totals sums;
  std::vector<float> speeds(k_shape.ranks, 1.0F);
  for (double second = 0; second < k_hours * 3600; second += k_interval_s) {
    const auto counts = trace.counts(second / 3600);
    const auto actual_speeds = trace.rank_speeds(second / 3600);
    sums.skews.push_back(placement::step_skew(group.map, counts, actual_speeds));
    // Decisions use the measurements of the interval that has just ended.
    speeds = actual_speeds;
    group.drift.add(time_point{std::chrono::duration_cast<duration>(std::chrono::duration<double>(second))},
                    counts);
    const auto start = std::chrono::steady_clock::now();
    std::visit([&](auto chosen_strategy) { decide(chosen_strategy, group, speeds, sums); }, variant);
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - start;
    sums.max_plan_ms = std::max(sums.max_plan_ms, elapsed.count());
  }
  return sums;
}

double quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

void report(std::string_view trace, std::string_view name, const totals& sums, bool as_json) {
  // Leaves out the first interval, which runs on the initial map in every variant.
  const std::vector<double> skews(sums.skews.begin() + 1, sums.skews.end());
  const double mean = std::accumulate(skews.begin(), skews.end(), 0.0) / static_cast<double>(skews.size());
  const char* format =
      as_json ? "{\"trace\":\"%s\",\"variant\":\"%s\",\"skew_mean\":%.4f,\"skew_p95\":%.4f,\"skew_max\":%.4f,"
                "\"gigabytes\":%.2f,\"switches\":%u,\"lost_s\":%.1f}\n"
              : "%-6s %-18s %9.3f %9.3f %9.3f %10.1f %8u %8.1f\n";
  std::printf(format, std::string(trace).c_str(), std::string(name).c_str(), mean, quantile(skews, 0.95),
              quantile(skews, 1.0), static_cast<double>(sums.bytes) / 1e9, sums.switches, sums.lost_s);
  if (!as_json) {
    std::fprintf(stderr, "# %s/%s: longest decision %.1f ms for %u layers\n", std::string(trace).c_str(),
                 std::string(name).c_str(), sums.max_plan_ms, k_shape.layers);
  }
}

}  // namespace
}  // namespace cuminpath::bench

int main(int argc, char** argv) {
  using namespace cuminpath::bench;
  constexpr std::uint64_t k_seed = 20260203;
  const bool as_json = argc > 1 && std::string_view(argv[1]) == "--json";
  if (!as_json) {
    std::printf("%-6s %-18s %9s %9s %9s %10s %8s %8s\n", "trace", "variant", "skew mean", "skew p95",
                "skew max", "GB moved", "switches", "lost s");
  }
  const std::pair<trace_kind, const char*> traces[] = {
      {trace_kind::day, "day"}, {trace_kind::flip, "flip"}, {trace_kind::stall, "stall"}};
  const std::pair<strategy, const char*> variants[] = {{keep_map{}, "static"},
                                                       {rebalance_fully{}, "full rebalance"},
                                                       {rebalance_when_skewed{}, "full above 1.10"},
                                                       {plan_incrementally{}, "planner"}};
  for (const auto& [kind, trace] : traces) {
    for (const auto& [variant, name] : variants) {
      report(trace, name, run(kind, variant, k_seed), as_json);
    }
  }
  return 0;
}
