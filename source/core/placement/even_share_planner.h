// Plans expert maps for engines in which the ranks that hold an expert share its tokens evenly. Only replicas
// can be added and dropped, and copies are limited, so that a plan is in force soon after popularity has
// shifted.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace cuminpath::placement {

// map[layer][rank] lists the experts held there.
using rank_map = std::vector<std::vector<std::vector<std::uint32_t>>>;
// Tokens of each expert (inner) of each layer (outer) in some interval.
using layer_loads = std::vector<std::vector<double>>;

struct even_share_options {
  std::uint32_t slots_per_rank = 1;          // Experts that a rank can hold of one layer.
  std::uint32_t max_new_per_rank_layer = 1;  // Experts of one layer that a rank may copy for one plan.
  std::uint32_t max_copies_per_rank = 4;     // Over all layers; bounds the time until the plan is in force.
  // Share of the even time of a layer by which a change must lower that layer's time, however many layers
  // there are. Counts of some hundred tokens for an expert are not exact enough to tell smaller gains from
  // noise.
  double min_gain = 0.004;
};

struct even_share_plan {
  rank_map map;
  std::uint32_t copies = 0;
  double cost_before = 0;  // Sum over layers of the load of the most loaded rank.
  double cost_after = 0;
  double ideal = 0;  // The same if every layer were even.
};

// `current` has the same layers as `loads`; every expert is held by at least one rank.
even_share_plan plan_even_shares(const rank_map& current, const layer_loads& loads,
                                 const even_share_options& options);

// Expert E on rank E modulo the ranks.
rank_map interleaved_map(std::uint32_t layers, std::uint32_t ranks, std::uint32_t experts);

// Sum over layers of the load of the most loaded rank, divided by that of an even distribution. 1.0 is even.
double skew(const rank_map& map, const layer_loads& loads);

}  // namespace cuminpath::placement
