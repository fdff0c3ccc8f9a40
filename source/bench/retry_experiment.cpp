// Experiment (c), first part: half of the upstreams fail.
#include "bench/experiments.h"
#include "bench/fleet_run.h"

namespace cuminpath::bench {
namespace {

constexpr double k_from_s = 30;
constexpr double k_to_s = 60;
constexpr double k_end_s = 90;

struct variant {
  const char* name;
  choice_policy choice;
  bool budget;
  bool reported;
};

}  // namespace

fleet_setup present_fleet() {
  return {};
}

fleet_setup one_entry_at_peak() {
  fleet_setup setup;
  setup.entries = 1;
  setup.slots = 12;  // 0.35 of 16 * 12 slots are 40.7 requests per second, the peak of an entry.
  return setup;
}

retry_summary run_half_failing(fleet_setup setup, double rate, std::span<const std::uint64_t> seeds) {
  setup.failure.upstreams = 8;
  setup.failure.rate = rate;
  setup.failure.from_s = k_from_s;
  setup.failure.to_s = k_to_s;
  const double run_s = setup.engine.prefill_s + 60 * setup.engine.token_s;
  // The other half of the upstreams can run this load alone.
  const std::vector<stream> streams{
      {"live", "w", 0.35 * setup.upstreams * setup.slots / run_s, 0, k_end_s, 60, 30, 0}};
  double requests = 0;
  double attempts = 0;
  double served = 0;
  double at_failing = 0;
  double after_requests = 0;
  double after_served = 0;
  double all_attempts = 0;
  double all_requests = 0;
  for (const std::uint64_t seed : seeds) {
    const std::vector<arrival> trace = make_trace(streams, seed);
    const fleet_result result = run_fleet(setup, trace, seed);
    for (std::size_t i = 0; i < trace.size(); ++i) {
      const fleet_outcome& value = result.outcomes[i];
      all_attempts += value.attempts;
      all_requests += 1;
      if (trace[i].at_s >= k_from_s && trace[i].at_s < k_to_s) {
        requests += 1;
        attempts += value.attempts;
        at_failing += value.attempts_at_failing;
        served += value.total_s ? 1 : 0;
      } else if (trace[i].at_s >= k_to_s) {
        after_requests += 1;
        after_served += value.total_s ? 1 : 0;
      }
    }
  }
  return {attempts / requests, all_attempts / all_requests, served / requests, at_failing / requests,
          after_served / after_requests};
}

std::vector<table> retry_experiment() {
  routing::router_options no_ejection;
  no_ejection.ejection.enabled = false;
  no_ejection.ejection.failure_penalty = false;
  const variant variants[] = {
      {"round robin, no budget", baseline_choice::round_robin, false, false},
      {"round robin, budget", baseline_choice::round_robin, true, false},
      {"two choices without ejection, no budget", router_choice{no_ejection, true}, false, false},
      {"two choices without ejection, budget", router_choice{no_ejection, true}, true, false},
      {"ejection, no budget", router_choice{}, false, false},
      {"ejection, budget", router_choice{}, true, false},
      {"ejection, budget, agents report it", router_choice{}, true, true},
  };
  std::vector<table> tables;
  const auto add = [&](const std::string& name, const std::string& description, const fleet_setup& base,
                       double rate) {
    table result{
        name,
        description + "; 8 of 16 upstreams fail for 30 s, load 0.35, at most 3 attempts, seeds 11-15",
        {"variant", "attempts/requests", "whole run", "served", "at failing/requests", "served afterwards"},
        {}};
    for (const variant& value : variants) {
      fleet_setup setup = base;
      setup.choice = value.choice;
      setup.retry.budget = value.budget;
      setup.failure.reported = value.reported;
      const retry_summary summary = run_half_failing(setup, rate, k_seeds);
      result.rows.push_back({value.name, summary.attempts, summary.attempts_whole_run, summary.served,
                             summary.at_failing, summary.served_afterwards});
    }
    tables.push_back(result);
  };
  add("retry_peak", "one entry at its peak of 40 requests/s, every attempt fails", one_entry_at_peak(), 1);
  add("retry_peak_half", "one entry at its peak, every other attempt fails", one_entry_at_peak(), 0.5);
  add("retry_today", "18 entries, 1.5 requests/s each, every attempt fails", present_fleet(), 1);
  add("retry_today_half", "18 entries, 1.5 requests/s each, every other attempt fails", present_fleet(), 0.5);
  return tables;
}

}  // namespace cuminpath::bench
