// Plans expert maps for engines in which the ranks that hold an expert share its tokens evenly. A plan can
// only add and drop replicas. The number of copies is limited, so that the map can be switched soon after the
// popularity of the experts has shifted.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace cuminpath::placement {

// map[layer][rank] lists the experts that the rank holds.
using rank_map = std::vector<std::vector<std::vector<std::uint32_t>>>;
// Tokens of each expert (inner) of each layer (outer) in one interval.
using layer_loads = std::vector<std::vector<double>>;

struct even_share_options {
  std::uint32_t slots_per_rank = 1;          // Experts of one layer that a rank can hold.
  std::uint32_t max_new_per_rank_layer = 1;  // Experts of one layer that a rank may copy for one plan.
  std::uint32_t max_copies_per_rank = 4;     // Over all layers; bounds the time until the map switch.
  // Fraction of a layer's balanced time by which a change must lower the time of that layer, whatever the
  // number of layers. With a few hundred tokens for each expert, the counts are not exact enough to tell
  // smaller gains from noise.
  double min_gain = 0.004;
};

struct even_share_plan {
  rank_map map;
  std::uint32_t copies = 0;
  double cost_before = 0;  // Sum over layers of the load of the most loaded rank.
  double cost_after = 0;
  double balanced_cost = 0;  // The same if every layer were balanced.
};

// Plans a new map from the current one. Every expert must be held by at least one rank. The plan is empty if
// `current` has other layers than `loads`, other ranks in one layer than in another, an expert without a
// load, or an expert twice on a rank.
even_share_plan plan_even_shares(const rank_map& current, const layer_loads& loads,
                                 const even_share_options& options);

// Returns a map with expert E on rank E modulo the number of ranks.
rank_map interleaved_map(std::uint32_t layers, std::uint32_t ranks, std::uint32_t experts);

// Returns the sum over layers of the load of the most loaded rank, divided by that of a balanced map. 1.0
// means balanced.
double load_skew(const rank_map& map, const layer_loads& loads);

}  // namespace cuminpath::placement
