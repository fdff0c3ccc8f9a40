// Plans expert maps: moves load only when the step time saved over the expected life of the load pattern is
// worth more than the weights that have to be loaded.
#pragma once

#include <cstdint>
#include <span>

#include "core/placement/expert_map.h"

namespace cuminpath::placement {

struct planner_options {
  std::uint64_t expert_bytes = 0;         // Weights of one expert of one layer.
  double weight_store_bytes_per_s = 1e9;  // Rate that the weight store gives the group.
  // Part of the step rate that a group loses while weights are being loaded in the background.
  double loading_slowdown = 0.10;
  double drift_life_s = 600;     // Expected time for which the load pattern lasts; see drift_estimator.h.
  double target_skew = 1.04;     // No more copies are made in a layer below this.
  double switch_pause_s = 0.01;  // Step time lost by one switch of the map.
  // A copy must win back its cost this many times, because the prediction is uncertain.
  double gain_factor = 2.0;
};

struct plan {
  expert_map map;
  bool worthwhile = false;  // Whether to switch to `map` at all.
  std::uint64_t copies = 0;
  std::uint64_t bytes = 0;
  double skew_before = 1.0;  // Predicted for the given loads.
  double skew_after = 1.0;
  double gain_s = 0;  // Step time saved over the life of the load pattern.
  double cost_s = 0;  // Step time lost by loading and by the switch.
};

// Incremental plan from the current map.
plan make_plan(const group_shape& shape, const expert_map& current, const expert_loads& loads,
               std::span<const float> rank_speeds, const planner_options& options);

// Baseline that ignores the current map: spare slots go to the experts with the most load for each replica,
// then all replicas are packed anew, the largest first.
expert_map full_rebalance(const group_shape& shape, const expert_loads& loads,
                          std::span<const float> rank_speeds);

}  // namespace cuminpath::placement
