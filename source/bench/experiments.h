// The experiments of scripts/bench, and those of their runs whose results the unit tests check against
// targets.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "bench/agent_run.h"
#include "bench/fleet_run.h"
#include "bench/report.h"

namespace cuminpath::bench {

inline constexpr std::uint64_t k_seeds[] = {11, 12, 13, 14, 15};

// Returns the three priority classes of the users, with latency targets, worth and floors.
std::vector<config::priority_class> sample_classes();

// Results of an overload.
struct overload_by_class_summary {
  std::map<std::string, double> within;      // Share of the arrivals served within target, by class.
  std::map<std::string, double> slot_share;  // Share of the slot time, by class.
  std::map<std::string, double> demand;      // Share of the slot time that the arrivals require, by class.
  double worth = 0;        // Worth of the served requests relative to all arrivals, in percent.
  double preemptions = 0;  // Per second of the overload.
};

// Runs a tenfold overload of the lowest class.
overload_by_class_summary low_class_overload(const agent_policy& policy,
                                             std::span<const std::uint64_t> seeds);
// Runs an overload of the lowest class that fills every slot, followed by a load spike of the most urgent
// class that requires `urgent_load` of the slot time.
overload_by_class_summary low_class_overload_then_load_spike(const agent_policy& policy, double urgent_load,
                                                             std::span<const std::uint64_t> seeds);
std::vector<table> flood_experiment();

// Results of the small workspace.
struct fairness_summary {
  double first_token_p99_s = 0;
  double total_p99_s = 0;
  double served = 0;  // Share of its requests that were served.
};
// Runs a small workspace alone, or together with two large ones in the same class.
fairness_summary small_workspace(const agent_policy& policy, bool with_large,
                                 std::span<const std::uint64_t> seeds);
std::vector<table> fairness_experiment();

std::vector<table> choice_experiment();

struct retry_summary {
  double attempts = 0;            // Per request that arrived during the failure.
  double attempts_whole_run = 0;  // Per request of the whole run.
  double served = 0;              // Share of the requests that arrived during the failure and were served.
  double at_failing = 0;         // Attempts at failing upstreams per request that arrived during the failure.
  double served_afterwards = 0;  // Share of the requests that arrived after the failure and were served.
};
// The present size of the deployment.
fleet_setup present_fleet();
// A single entry at its peak request rate.
fleet_setup one_entry_at_peak();
// Runs a failure during which half of the upstreams fail the share `rate` of their attempts.
retry_summary run_half_failing(fleet_setup setup, double rate, std::span<const std::uint64_t> seeds);
std::vector<table> retry_experiment();

struct overload_summary {
  double attempts = 0;          // Per request that arrived during the overload.
  double within = 0;            // Share of these requests that were served within target.
  double time_to_normal_s = 0;  // From the end of the overload.
};
// Runs an overload with or without the retry budget and the admission of only feasible requests.
overload_summary overload(bool budget, bool admission, std::span<const std::uint64_t> seeds);
std::vector<table> overload_experiment();

std::vector<table> ejection_experiment();
// Returns the nanoseconds of a routing decision for 16, 900 and 12,000 known upstreams.
std::vector<std::pair<std::uint32_t, double>> decision_costs();
std::vector<table> cost_experiment();

}  // namespace cuminpath::bench
