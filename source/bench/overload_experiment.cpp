// Experiment (c), second part: time until service is back to normal after an overload.
#include <algorithm>
#include <limits>

#include "bench/experiments.h"
#include "bench/fleet_run.h"

namespace cuminpath::bench {
namespace {

constexpr double k_from_s = 30;
constexpr double k_to_s = 60;
constexpr double k_end_s = 120;
// Service is back to normal once the share of requests within target has reached this part of its value
// before the overload for three consecutive seconds.
constexpr double k_normal_part = 0.95;

double time_to_normal(const std::vector<double>& within, const std::vector<double>& arrivals) {
  const auto share = [&](std::size_t from, std::size_t to) {
    double served = 0;
    double arrived = 0;
    for (std::size_t i = from; i < to; ++i) {
      served += within[i];
      arrived += arrivals[i];
    }
    return served / arrived;
  };
  const double normal_share = k_normal_part * share(10, static_cast<std::size_t>(k_from_s));
  for (auto i = static_cast<std::size_t>(k_to_s); i + 3 <= arrivals.size(); ++i) {
    if (share(i, i + 1) >= normal_share && share(i + 1, i + 2) >= normal_share &&
        share(i + 2, i + 3) >= normal_share) {
      return static_cast<double>(i) - k_to_s;
    }
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace

overload_summary overload(bool budget, bool admission, std::span<const std::uint64_t> seeds) {
  fleet_setup setup;
  setup.retry = {budget, 3, true, 2};
  setup.scheduler.feasibility = admission;
  const double run_s = setup.engine.prefill_s + 60 * setup.engine.token_s;
  const double capacity = setup.upstreams * setup.slots / run_s;
  const std::vector<stream> streams{{"live", "w", 0.6 * capacity, 0, k_end_s, 60, 20, 0},
                                    {"live", "w", 1.9 * capacity, k_from_s, k_to_s, 60, 20, 0}};
  std::vector<double> within(static_cast<std::size_t>(k_end_s));
  std::vector<double> arrivals(within.size());
  const config::priority_class live = sample_classes().front();
  overload_summary summary;
  double during = 0;
  double during_within = 0;
  for (const std::uint64_t seed : seeds) {
    const std::vector<arrival> trace = make_trace(streams, seed);
    const fleet_result result = run_fleet(setup, trace, seed);
    for (std::size_t i = 0; i < trace.size(); ++i) {
      const fleet_outcome& value = result.outcomes[i];
      const auto second = static_cast<std::size_t>(trace[i].at_s);
      const double is_within =
          within_target(live,
                        {.refused = false, .first_token_s = value.first_token_s, .total_s = value.total_s})
              ? 1
              : 0;
      arrivals[second] += 1;
      within[second] += is_within;
      if (trace[i].at_s >= k_from_s && trace[i].at_s < k_to_s) {
        during += 1;
        during_within += is_within;
        summary.attempts += value.attempts;
      }
    }
  }
  summary.attempts /= during;
  summary.within = during_within / during;
  summary.time_to_normal_s = time_to_normal(within, arrivals);
  return summary;
}

std::vector<table> overload_experiment() {
  table result{"overload",
               "load 0.6, for 30 s 2.5 of the slots; attempts time out without a first token in 2 s, every "
               "refusal or time-out is retried up to 3 attempts if the budget allows; seeds 11-15",
               {"variant", "attempts/requests", "within target", "time to normal s"},
               {}};
  const std::pair<const char*, std::pair<bool, bool>> variants[] = {
      {"no budget, no admission", {false, false}},
      {"budget, no admission", {true, false}},
      {"no budget, admission", {false, true}},
      {"budget, admission", {true, true}}};
  for (const auto& [name, options] : variants) {
    const overload_summary summary = overload(options.first, options.second, k_seeds);
    result.rows.push_back({name, summary.attempts, summary.within, summary.time_to_normal_s});
  }
  return {result};
}

}  // namespace cuminpath::bench
