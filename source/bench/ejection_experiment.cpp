// Experiment (c), third part: variants of ejection.
#include "bench/experiments.h"
#include "bench/fleet_run.h"

namespace cuminpath::bench {
namespace {

constexpr double k_from_s = 30;
constexpr double k_to_s = 90;
constexpr double k_end_s = 150;

struct ejection_summary {
  double at_failing = 0;
  double attempts = 0;
  double served = 0;
  double return_s = 0;
};

// Returns the seconds from the end of the failure until the failing upstreams have received nine tenths of
// their regular share of the attempts for two consecutive seconds.
double return_time(const std::vector<std::pair<double, double>>& starts, double regular_share) {
  for (auto i = static_cast<std::size_t>(k_to_s); i + 2 <= starts.size(); ++i) {
    const auto share = [&](std::size_t k) { return starts[k].first / starts[k].second; };
    if (share(i) >= 0.9 * regular_share && share(i + 1) >= 0.9 * regular_share) {
      return static_cast<double>(i) - k_to_s;
    }
  }
  return k_end_s - k_to_s;
}

ejection_summary run(const routing::ejection_options& options, std::uint32_t failing, double rate) {
  fleet_setup setup;
  routing::router_options router;
  router.ejection = options;
  setup.choice = router_choice{router, true};
  setup.failure = {failing, rate, k_from_s, k_to_s};
  const double run_s = setup.engine.prefill_s + 60 * setup.engine.token_s;
  const std::vector<stream> streams{
      {"live", "w", 0.35 * setup.upstreams * setup.slots / run_s, 0, k_end_s, 60, 30, 0}};
  ejection_summary summary;
  double requests = 0;
  std::vector<std::pair<double, double>> starts;
  for (const std::uint64_t seed : k_seeds) {
    const std::vector<arrival> trace = make_trace(streams, seed);
    const fleet_result result = run_fleet(setup, trace, seed);
    starts.resize(std::max(starts.size(), result.starts.size()));
    for (std::size_t i = 0; i < result.starts.size(); ++i) {
      starts[i].first += result.starts[i].first;
      starts[i].second += result.starts[i].second;
    }
    for (std::size_t i = 0; i < trace.size(); ++i) {
      if (trace[i].at_s >= k_from_s && trace[i].at_s < k_to_s) {
        const fleet_outcome& value = result.outcomes[i];
        requests += 1;
        summary.attempts += value.attempts;
        summary.at_failing += value.attempts_at_failing;
        summary.served += value.total_s ? 1 : 0;
      }
    }
  }
  summary.attempts /= requests;
  summary.at_failing /= requests;
  summary.served /= requests;
  summary.return_s = return_time(starts, static_cast<double>(failing) / setup.upstreams);
  return summary;
}

}  // namespace

std::vector<table> ejection_experiment() {
  using routing::ejection_options;
  const std::pair<const char*, ejection_options> variants[] = {
      {"none", {.enabled = false, .failure_penalty = false}},
      {"failure penalty only", {.enabled = false}},
      {"ejection without failure penalty", {.failure_penalty = false}},
      {"default", {}},
      {"failures in a row only", {.failure_rate = 2}},
      {"failure rate only", {.consecutive_failures = 0}},
      {"3 failures in a row", {.consecutive_failures = 3}},
      {"ejected 2 s to 30 s", {.base_duration = seconds(2), .max_duration = seconds(30)}},
      {"ejected 5 s to 10 s", {.base_duration = seconds(5), .max_duration = seconds(10)}},
      {"one trial restores", {.trials_to_restore = 1}},
      {"three trials restore", {.trials_to_restore = 3}},
      {"trials without bound", {.max_concurrent_trials = 1000}},
      {"at most 0.3 ejected", {.max_ejected_share = 0.3}}};
  std::vector<table> tables;
  for (const auto& [failing, rate] : {std::pair(8U, 1.0), std::pair(8U, 0.5), std::pair(1U, 1.0)}) {
    table result{"ejection_" + std::to_string(failing) + (rate == 1 ? "_fail_all" : "_fail_half"),
                 std::to_string(failing) + " of 16 upstreams fail " + (rate == 1 ? "all" : "half of their") +
                     " attempts for 60 s; load 0.35, budget, 18 entries, seeds 11-15",
                 {"variant", "at failing/requests", "attempts/requests", "served", "return s"},
                 {}};
    for (const auto& [name, options] : variants) {
      const ejection_summary value = run(options, failing, rate);
      result.rows.push_back({name, value.at_failing, value.attempts, value.served, value.return_s});
    }
    tables.push_back(result);
  }
  return tables;
}

}  // namespace cuminpath::bench
