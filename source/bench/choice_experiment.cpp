// Experiment (b): choice of the upstream at the present size, 16 upstreams and 18 entries.
#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <numeric>

#include "bench/experiments.h"
#include "bench/fleet_run.h"

namespace cuminpath::bench {
namespace {

constexpr double k_from_s = 20;
constexpr double k_to_s = 120;
constexpr double k_load = 0.65;
constexpr std::uint32_t k_prefixes = 200;

struct choice_summary {
  double first_token_p50_s = 0;
  double first_token_p99_s = 0;
  double total_p99_s = 0;
  double max_over_mean = 0;  // Load of the upstreams, without the slow one.
  double prefix_hits = 0;
  double cross_zone = 0;
};

choice_summary run(fleet_setup setup, const choice_policy& choice) {
  setup.choice = choice;
  setup.engine = {.prefill_s = 0.40, .cached_prefill_s = 0.05, .token_s = 0.025, .cached_prefixes = 24};
  // Admits every request, so that waiting shows in the latencies.
  setup.scheduler.feasibility = false;
  setup.window_from_s = k_from_s;
  setup.window_to_s = k_to_s;
  const double run_s = setup.engine.prefill_s + 60 * setup.engine.token_s;
  const std::vector<stream> streams{
      {"live", "w", k_load * setup.upstreams * setup.slots / run_s, 0, k_to_s, 60, 60, k_prefixes}};
  std::vector<double> first_token;
  std::vector<double> total;
  choice_summary summary;
  for (const std::uint64_t seed : k_seeds) {
    const std::vector<arrival> trace = make_trace(streams, seed);
    const fleet_result result = run_fleet(setup, trace, seed);
    for (std::size_t i = 0; i < trace.size(); ++i) {
      const fleet_outcome& value = result.outcomes[i];
      if (trace[i].at_s >= k_from_s) {
        first_token.push_back(value.first_token_s.value_or(std::numeric_limits<double>::infinity()));
        total.push_back(value.total_s.value_or(std::numeric_limits<double>::infinity()));
        summary.prefix_hits += value.cached ? 1 : 0;
        summary.cross_zone += value.cross_zone ? 1 : 0;
      }
    }
    std::vector<double> load = result.load;
    if (setup.slow_factor > 1) {
      load.erase(load.begin() + 5);
    }
    const double mean = std::accumulate(load.begin(), load.end(), 0.0) / static_cast<double>(load.size());
    summary.max_over_mean +=
        *std::max_element(load.begin(), load.end()) / mean / static_cast<double>(std::size(k_seeds));
  }
  summary.first_token_p50_s = percentile(first_token, 0.5);
  summary.first_token_p99_s = percentile(first_token, 0.99);
  summary.total_p99_s = percentile(total, 0.99);
  summary.prefix_hits /= static_cast<double>(first_token.size());
  summary.cross_zone /= static_cast<double>(first_token.size());
  return summary;
}

std::vector<std::pair<std::string, choice_policy>> variants() {
  using routing::load_estimate;
  using routing::router_options;
  std::vector<std::pair<std::string, choice_policy>> list{
      {"round robin", baseline_choice::round_robin},
      {"random", baseline_choice::random},
      {"least outstanding", baseline_choice::least_outstanding},
      {"prefix hash", baseline_choice::prefix_hash},
      {"two choices, last report", router_choice{router_options{.report_weight = 1}, false}},
      {"two choices, change since last report",
       router_choice{router_options{.estimate = load_estimate::reported_plus_change, .report_weight = 1},
                     false}},
      {"two choices", router_choice{router_options{}, false}},
      {"affinity, last report", router_choice{router_options{.report_weight = 1}, true}},
      {"affinity, report weight 0.3", router_choice{router_options{.report_weight = 0.3}, true}},
      {"affinity (default)", router_choice{router_options{}, true}},
      {"affinity, change since report",
       router_choice{router_options{.estimate = load_estimate::reported_plus_change}, true}},
      {"affinity, no slow penalty", router_choice{router_options{.slow_penalty = false}, true}}};
  for (const double bound : {1.1, 1.5, 2.0}) {
    list.emplace_back(fmt::format("affinity, bound {:.2f}", bound),
                      router_choice{router_options{.affinity_bound = bound}, true});
  }
  for (const double spill_over_load : {0.6, 1.0, -1.0}) {
    list.emplace_back(spill_over_load < 0 ? "affinity, zones ignored"
                                          : fmt::format("affinity, spill-over at {:.1f}", spill_over_load),
                      router_choice{router_options{.spill_over_load = spill_over_load}, true});
  }
  return list;
}

table run_all(const std::string& name, const std::string& description, const fleet_setup& setup) {
  table result{
      name,
      description,
      {"variant", "first token p50 s", "p99 s", "total p99 s", "max/mean load", "prefix hits", "cross zone"},
      {}};
  for (const auto& [variant, choice] : variants()) {
    const choice_summary value = run(setup, choice);
    result.rows.push_back({variant, value.first_token_p50_s, value.first_token_p99_s, value.total_p99_s,
                           value.max_over_mean, value.prefix_hits, value.cross_zone});
  }
  return result;
}

}  // namespace

std::vector<table> choice_experiment() {
  const std::string common =
      "16 replicas with 8 slots and a cache of 24 of 200 prefixes (popularity 1/rank), 18 entries, 3 zones, "
      "load 0.65 before cache hits, reports every 0.5 s, 100 s, seeds 11-15";
  fleet_setup plain;
  fleet_setup lagging;
  lagging.report_lag_s = 2;
  fleet_setup slow;
  slow.slow_factor = 3;
  return {run_all("choice", "reports lag 0.3 s; " + common, plain),
          run_all("choice_lagging", "reports lag 2 s; " + common, lagging),
          run_all("choice_slow", "one replica three times as slow (not in max/mean); " + common, slow)};
}

}  // namespace cuminpath::bench
