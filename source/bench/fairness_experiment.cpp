// Experiment (a), second part: a small workspace together with large ones in the same class.
#include <limits>

#include "bench/experiments.h"

namespace cuminpath::bench {
namespace {

constexpr double k_to_s = 300;

}  // namespace

fairness_summary small_workspace(const agent_policy& policy, bool with_large,
                                 std::span<const std::uint64_t> seeds) {
  agent_setup setup;
  setup.classes = sample_classes();
  std::vector<stream> streams{{"live", "small", 0.5, 0, k_to_s, 60, 30, 0}};
  if (with_large) {
    // Each requires one and a half times the slots.
    for (const char* workspace : {"large-1", "large-2"}) {
      streams.push_back({"live", workspace, 14.5, 0, k_to_s, 60, 30, 0});
    }
  }
  std::vector<double> first_token;
  std::vector<double> total;
  double served = 0;
  for (const std::uint64_t seed : seeds) {
    const std::vector<arrival> trace = make_trace(streams, seed);
    const agent_result result = run_agent(setup, policy, trace);
    for (std::size_t i = 0; i < trace.size(); ++i) {
      if (trace[i].workspace == "small") {
        const outcome& value = result.outcomes[i];
        first_token.push_back(value.first_token_s.value_or(std::numeric_limits<double>::infinity()));
        total.push_back(value.total_s.value_or(std::numeric_limits<double>::infinity()));
        served += value.total_s ? 1 : 0;
      }
    }
  }
  return {percentile(first_token, 0.99), percentile(total, 0.99), served / static_cast<double>(total.size())};
}

std::vector<table> fairness_experiment() {
  using scheduling::scheduler_options;
  const std::vector<std::pair<std::string, agent_policy>> variants{
      {"first come, first served", first_come_first_served{}},
      {"admission without fair queueing", scheduler_options{.fair_queueing = false}},
      {"fair queueing, wait for a slot", scheduler_options{.urgent = scheduling::wait_for_slot{}}},
      {"fair queueing, preemption between classes only",
       scheduler_options{.urgent = scheduling::preempt_running{.between_workspaces = false}}},
      {"fair queueing, preemption between workspaces", scheduler_options{}}};
  table result{"small_workspace",
               "small workspace (0.5 requests/s) beside two large ones (14.5 requests/s each, 3.0 of the "
               "slots together) in class live; 16 slots, 300 s, seeds 11-15",
               {"variant", "served", "first token p99 s", "ratio", "total p99 s", "ratio "},
               {}};
  for (const auto& [name, policy] : variants) {
    const fairness_summary alone = small_workspace(policy, false, k_seeds);
    const fairness_summary with_large_ones = small_workspace(policy, true, k_seeds);
    result.rows.push_back({name, with_large_ones.served, with_large_ones.first_token_p99_s,
                           with_large_ones.first_token_p99_s / alone.first_token_p99_s,
                           with_large_ones.total_p99_s, with_large_ones.total_p99_s / alone.total_p99_s});
  }
  return {result};
}

}  // namespace cuminpath::bench
