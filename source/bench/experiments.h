// The experiments of scripts/bench, and the runs of them that the unit tests gate.
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

// The three classes of the users, with targets, worth and floors.
std::vector<config::priority_class> sample_classes();

struct flood_summary {
  std::map<std::string, double> within;      // Share of the arrivals of the flood served within target.
  std::map<std::string, double> slot_share;  // Share of the slot time of the flood.
  std::map<std::string, double> demand;      // Share of the slot time that the arrivals ask for.
  double worth = 0;                          // Worth served over worth arrived, in percent.
  double preemptions = 0;                    // For each second of the flood.
};

// Tenfold flood of the lowest class.
flood_summary low_flood(const agent_policy& policy, std::span<const std::uint64_t> seeds);
// Flood of the lowest class that has filled every slot, followed by a flood of the most urgent class that
// asks for `urgent_load` of the slot time.
flood_summary low_then_urgent_flood(const agent_policy& policy, double urgent_load,
                                    std::span<const std::uint64_t> seeds);
std::vector<table> flood_experiment();

struct fairness_summary {
  double first_token_p99_s = 0;  // Of the small workspace.
  double total_p99_s = 0;
  double served = 0;  // Share of its requests.
};
fairness_summary small_workspace(const agent_policy& policy, bool with_large,
                                 std::span<const std::uint64_t> seeds);
std::vector<table> fairness_experiment();

std::vector<table> choice_experiment();

struct retry_summary {
  double attempts = 0;         // For each request that arrived during the failure.
  double attempts_in_all = 0;  // For each request of the whole run.
  double served = 0;           // Share of the requests that arrived during the failure.
  double at_failing = 0;       // Attempts at failing upstreams for each of these requests.
  double served_afterwards = 0;
};
// Half of the upstreams fail this share of their attempts.
fleet_setup todays_size();
fleet_setup one_entry_at_peak();
retry_summary half_fail(fleet_setup setup, double rate, std::span<const std::uint64_t> seeds);
std::vector<table> retry_experiment();

struct overload_summary {
  double attempts = 0;  // For each request that arrived during the overload.
  double within = 0;    // Share of them served within target.
  double time_to_normal_s = 0;
};
overload_summary overload(bool budget, bool admission, std::span<const std::uint64_t> seeds);
std::vector<table> overload_experiment();

std::vector<table> ejection_experiment();
// Nanoseconds of a routing decision by number of upstreams known: 16, 900 and 12,000.
std::vector<std::pair<std::uint32_t, double>> decision_costs();
std::vector<table> cost_experiment();

}  // namespace cuminpath::bench
