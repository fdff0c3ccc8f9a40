// Measures expert placement over a day of drift: step-time skew, bytes moved and step time lost, for the
// planner beside a static map and a full rebalance at each interval.
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
constexpr double k_skew_limit = 1.10;
constexpr std::uint64_t k_expert_bytes = 44'000'000;  // 7168 x 2048 x 3 matrices of one byte each.
constexpr double k_weight_store_bytes_per_s = 500e6;  // For one group.

placement::planner_options default_options() {
  return {.expert_bytes = k_expert_bytes, .weight_store_bytes_per_s = k_weight_store_bytes_per_s};
}

struct keep_map {};
struct rebalance_fully {};
struct rebalance_when_skewed {};  // Fully, but only above k_skew_limit.
struct plan_incrementally {};
using strategy = std::variant<keep_map, rebalance_fully, rebalance_when_skewed, plan_incrementally>;

struct totals {
  std::vector<double> skews;
  std::uint64_t bytes = 0;
  std::uint32_t switches = 0;
  double lost_s = 0;           // Step time lost to loading and switching.
  double longest_plan_ms = 0;  // Processor-dependent; not part of the comparison.
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

void adopt(group_state& group, placement::expert_map map, totals& sums) {
  const auto bytes = placement::copies_needed(group.map, map) * k_expert_bytes;
  sums.bytes += bytes;
  sums.lost_s += loading_loss_s(bytes);
  ++sums.switches;
  group.map = std::move(map);
}

void decide(keep_map, group_state&, std::span<const float>, totals&) {}

void decide(rebalance_fully, group_state& group, std::span<const float> speeds, totals& sums) {
  adopt(group, placement::full_rebalance(k_shape, group.drift.loads(), speeds), sums);
}

void decide(rebalance_when_skewed, group_state& group, std::span<const float> speeds, totals& sums) {
  if (placement::step_skew(group.map, group.drift.loads(), speeds) > k_skew_limit) {
    decide(rebalance_fully{}, group, speeds, sums);
  }
}

void decide(plan_incrementally, group_state& group, std::span<const float> speeds, totals& sums) {
  auto options = default_options();
  options.pattern_lifetime_s = group.drift.expected_lifetime_s();
  auto made = placement::make_plan(k_shape, group.map, group.drift.loads(), speeds, options);
  if (made.worthwhile) {
    adopt(group, std::move(made.map), sums);
  }
}

totals run(trace_kind kind, const strategy& chosen, std::uint64_t seed) {
  drift_trace trace(kind, k_shape, seed);
  group_state group;
  totals sums;
  std::vector<float> speeds(k_shape.ranks, 1.0F);
  for (double second = 0; second < k_hours * 3600; second += k_interval_s) {
    const auto counts = trace.counts(second / 3600);
    const auto actual_speeds = trace.rank_speeds(second / 3600);
    sums.skews.push_back(placement::step_skew(group.map, counts, actual_speeds));
    // Decisions see what was measured in the interval that has just ended.
    speeds = actual_speeds;
    group.drift.add(time_point{std::chrono::duration_cast<duration>(std::chrono::duration<double>(second))},
                    counts);
    const auto start = std::chrono::steady_clock::now();
    std::visit([&](auto kind_of) { decide(kind_of, group, speeds, sums); }, chosen);
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - start;
    sums.longest_plan_ms = std::max(sums.longest_plan_ms, took.count());
  }
  return sums;
}

double quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

void report(std::string_view trace, std::string_view name, const totals& sums, bool as_json) {
  // The first interval runs on the map that every variant starts with.
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
                 std::string(name).c_str(), sums.longest_plan_ms, k_shape.layers);
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
    for (const auto& [chosen, name] : variants) {
      report(trace, name, run(kind, chosen, k_seed), as_json);
    }
  }
  return 0;
}
