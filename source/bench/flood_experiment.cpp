// Experiment (a): service by priority class during overload.
#include <fmt/format.h>

#include "bench/experiments.h"

namespace cuminpath::bench {
namespace {

constexpr std::uint32_t k_slots = 16;
constexpr double k_from_s = 60;
constexpr double k_to_s = 180;

struct request_kind {
  const char* name;
  std::uint32_t tokens;
  double timeout_s;
};
constexpr request_kind k_urgent{"live", 60, 30};
constexpr request_kind k_middle{"booking", 40, 30};
constexpr request_kind k_low{"digest", 400, 600};

// Returns the requests per second that require the share `load` of the slot time.
double rate(const request_kind& value, double load) {
  const engine_profile engine;
  return load * k_slots / (engine.prefill_s + value.tokens * engine.token_s);
}

// Adds two streams of a class, from different workspaces.
void add_streams(std::vector<stream>& streams, const request_kind& value, double load, double from_s,
                 double to_s) {
  for (const char* workspace : {"narmada", "talleres"}) {
    streams.push_back(
        {value.name, workspace, rate(value, load / 2), from_s, to_s, value.tokens, value.timeout_s, 0});
  }
}

overload_by_class_summary run(const agent_policy& policy, const std::vector<stream>& streams,
                              std::span<const std::uint64_t> seeds) {
  agent_setup setup;
  setup.classes = sample_classes();
  setup.slots = k_slots;
  setup.window_from_s = k_from_s;
  setup.window_to_s = k_to_s;
  overload_by_class_summary summary;
  std::map<std::string, double> arrivals;
  std::map<std::string, double> served;
  const double slot_time = k_slots * (k_to_s - k_from_s) * static_cast<double>(seeds.size());
  for (const std::uint64_t seed : seeds) {
    const std::vector<arrival> trace = make_trace(streams, seed);
    const agent_result result = run_agent(setup, policy, trace);
    for (std::size_t i = 0; i < trace.size(); ++i) {
      if (trace[i].at_s < k_from_s || trace[i].at_s >= k_to_s) {
        continue;
      }
      const std::string& name = trace[i].priority_class;
      arrivals[name] += 1;
      summary.demand[name] += (setup.engine.prefill_s + trace[i].tokens * setup.engine.token_s) / slot_time;
      for (const config::priority_class& row : setup.classes) {
        served[name] += row.name == name && within_target(row, result.outcomes[i]) ? 1 : 0;
      }
    }
    for (const auto& [name, value] : result.slot_s) {
      summary.slot_share[name] += value / slot_time;
    }
    summary.preemptions +=
        static_cast<double>(result.preemptions) / (k_to_s - k_from_s) / static_cast<double>(seeds.size());
  }
  double total_worth = 0;
  for (const config::priority_class& row : setup.classes) {
    summary.within[row.name] = served[row.name] / arrivals[row.name];
    summary.worth += row.worth * served[row.name];
    total_worth += row.worth * arrivals[row.name];
  }
  summary.worth *= 100 / total_worth;
  return summary;
}

std::vector<cell> to_row(const std::string& name, const overload_by_class_summary& value) {
  std::vector<cell> row{name};
  for (const char* name_of_class : {"live", "booking", "digest"}) {
    row.emplace_back(value.within.at(name_of_class));
  }
  row.emplace_back(value.worth);
  for (const char* name_of_class : {"live", "booking", "digest"}) {
    row.emplace_back(value.slot_share.at(name_of_class));
  }
  row.emplace_back(value.preemptions);
  return row;
}

std::vector<std::pair<std::string, agent_policy>> variants() {
  using scheduling::scheduler_options;
  std::vector<std::pair<std::string, agent_policy>> list{
      {"first come, first served", first_come_first_served{}},
      {"strict priority without floors", strict_priority{}},
      {"wait for a slot", scheduler_options{.urgent = scheduling::wait_for_slot{}}}};
  for (const double share : {0.125, 0.25, 0.5}) {
    list.emplace_back(fmt::format("reserve {:.3f} of the slots", share),
                      scheduler_options{.urgent = scheduling::reserve_slots{share}});
  }
  for (const double fraction : {0.0, 0.1, 0.3, 0.6}) {
    list.emplace_back(
        fmt::format("preempt, patience {:.1f}", fraction),
        scheduler_options{.urgent = scheduling::preempt_running{.min_wait_fraction = fraction}});
  }
  list.emplace_back("preempt after 1 s of run",
                    scheduler_options{.urgent = scheduling::preempt_running{.min_run = seconds(1)}});
  list.emplace_back("preempt, no floors", scheduler_options{.floors = false});
  list.emplace_back("preempt, no feasibility", scheduler_options{.feasibility = false});
  return list;
}

}  // namespace

std::vector<config::priority_class> sample_classes() {
  return {{.name = "live", .priority = 0, .first_token_target = milliseconds(910), .worth = 10},
          {.name = "booking", .priority = 1, .total_target = seconds(5), .worth = 5, .floor = 0.15},
          {.name = "digest", .priority = 2, .total_target = seconds(120), .worth = 1, .floor = 0.10}};
}

overload_by_class_summary low_class_overload(const agent_policy& policy,
                                             std::span<const std::uint64_t> seeds) {
  std::vector<stream> streams;
  add_streams(streams, k_urgent, 0.25, 0, k_to_s);
  add_streams(streams, k_middle, 0.15, 0, k_to_s);
  add_streams(streams, k_low, 0.30, 0, k_from_s);
  add_streams(streams, k_low, 3.0, k_from_s, k_to_s);
  return run(policy, streams, seeds);
}

overload_by_class_summary low_class_overload_then_load_spike(const agent_policy& policy, double urgent_load,
                                                             std::span<const std::uint64_t> seeds) {
  std::vector<stream> streams;
  add_streams(streams, k_urgent, urgent_load / 10, 0, k_from_s);
  add_streams(streams, k_urgent, urgent_load, k_from_s, k_to_s);
  add_streams(streams, k_middle, 0.15, 0, k_to_s);
  // The overload of the lowest class starts 40 s before the load spike, which is enough to fill every slot
  // and the queue.
  add_streams(streams, k_low, 3.0, k_from_s - 40, k_to_s);
  return run(policy, streams, seeds);
}

std::vector<table> flood_experiment() {
  const std::vector<std::string> columns{"variant",       "live",         "booking",
                                         "digest",        "worth %",      "slots live",
                                         "slots booking", "slots digest", "preempted/s"};
  table low{"flood_low",
            "tenfold flood of digest (3.0 of the slots); live asks for 0.25, booking for 0.15; share served "
            "within target, slot share; 16 slots, 120 s, seeds 11-15",
            columns,
            {}};
  table urgent{
      "flood_low_then_urgent",
      "flood of digest (3.0) for 40 s, then tenfold flood of live (0.55) beside it; booking asks for "
      "0.15; 16 slots, 120 s, seeds 11-15",
      columns,
      {}};
  for (const auto& [name, policy] : variants()) {
    low.rows.push_back(to_row(name, low_class_overload(policy, k_seeds)));
    urgent.rows.push_back(to_row(name, low_class_overload_then_load_spike(policy, 0.55, k_seeds)));
  }
  table sweep{"flood_urgent_load",
              "as flood_low_then_urgent with the default policy, by load of the flood of live",
              columns,
              {}};
  for (const double load : {0.40, 0.55, 0.65, 0.75, 1.0, 2.0}) {
    sweep.rows.push_back(
        to_row(fmt::format("live asks for {:.2f}", load),
               low_class_overload_then_load_spike(scheduling::scheduler_options{}, load, k_seeds)));
  }
  return {low, urgent, sweep};
}

}  // namespace cuminpath::bench
