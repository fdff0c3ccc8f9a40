// Simulates one scheduler or baseline with one fake engine over a trace.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "bench/fake_engine.h"
#include "bench/trace.h"
#include "core/scheduling/scheduler.h"

namespace cuminpath::bench {

// Baselines, which queue every request.
struct first_come_first_served {};
struct strict_priority {};
using agent_policy = std::variant<scheduling::scheduler_options, first_come_first_served, strict_priority>;

struct agent_setup {
  std::vector<config::priority_class> classes;
  std::vector<config::workspace> workspaces;
  std::uint32_t slots = 16;
  engine_profile engine;
  double window_from_s = 0;  // Start of the interval in which slot time is measured.
  double window_to_s = 0;
};

struct outcome {
  bool refused = false;
  std::optional<double> first_token_s;  // Since the arrival.
  std::optional<double> total_s;
};

struct agent_result {
  std::vector<outcome> outcomes;         // One per arrival.
  std::map<std::string, double> slot_s;  // Slot time in the window by class.
  std::uint64_t preemptions = 0;
};

agent_result run_agent(const agent_setup& setup, const agent_policy& policy, std::span<const arrival> trace);

// Returns true if the request was served within the latency targets of its class.
bool within_target(const config::priority_class& value, const outcome& result);

// Returns the smallest value that at least the share `p` of the values does not exceed. Callers pass infinity
// for requests that were not served.
double percentile(std::vector<double> values, double p);

}  // namespace cuminpath::bench
