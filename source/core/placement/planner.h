// Plans expert maps. Copies weights only if the step time saved over the expected lifetime of the load
// pattern is worth more than the loading.
#pragma once

#include <cstdint>
#include <span>

#include "core/placement/expert_map.h"

namespace cuminpath::placement {

struct planner_options {
  std::uint64_t expert_bytes = 0;         // Weights of one expert of one layer.
  double weight_store_bytes_per_s = 1e9;  // Of the group, from the weight store.
  // Fraction of the step rate that a group loses while it loads weights in the background.
  double loading_slowdown = 0.10;
  double pattern_lifetime_s = 600;  // Expected lifetime of the load pattern; see drift_estimator.h.
  double target_skew = 1.04;        // A layer with less skew than this gets no more copies.
  double switch_pause_s = 0.01;     // Step time lost by one map switch.
  // A copy must gain at least this multiple of its cost, because the prediction is uncertain.
  double gain_factor = 2.0;
};

struct plan {
  expert_map map;
  bool worthwhile = false;  // Whether a switch to `map` gains enough.
  std::uint64_t copies = 0;
  std::uint64_t bytes = 0;
  double skew_before = 1.0;  // Predicted for the given loads.
  double skew_after = 1.0;
  double gain_s = 0;  // Step time saved over the lifetime of the load pattern.
  double cost_s = 0;  // Step time lost by loading weights and by the switch.
};

// Plans an incremental change of the current map.
plan make_plan(const group_shape& shape, const expert_map& current, const expert_loads& loads,
               std::span<const float> rank_speeds, const planner_options& options);

// Returns a baseline that ignores the current map: spare slots go to the experts with the highest load per
// replica, then all replicas are packed from scratch, the largest first.
expert_map full_rebalance(const group_shape& shape, const expert_loads& loads,
                          std::span<const float> rank_speeds);

}  // namespace cuminpath::placement
