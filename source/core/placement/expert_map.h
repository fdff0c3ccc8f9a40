// Defines which ranks of a group hold which experts, and which share of an expert's tokens each rank handles.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/common/json.h"

namespace cuminpath::placement {

struct group_shape {
  std::uint32_t ranks = 1;
  std::uint32_t layers = 1;
  std::uint32_t experts = 1;         // Of one layer.
  std::uint32_t slots_per_rank = 1;  // Experts of one layer that a rank can hold.
};

struct replica {
  std::uint32_t rank = 0;
  float share = 1.0F;  // Of the expert's tokens; the shares of an expert add up to 1.
};

struct layer_map {
  std::vector<std::vector<replica>> experts;  // Every expert has at least one replica.
};

struct expert_map {
  std::vector<layer_map> layers;
};

// Tokens of each expert (inner) of each layer (outer) in one interval.
using expert_loads = std::vector<std::vector<float>>;

// Returns a map with one replica of each expert, in contiguous blocks. Spare slots stay empty.
expert_map contiguous_map(const group_shape& shape);

// Checks that the map is valid for the group. Errors: invalid_input with the first rule that the map breaks.
result<void> check(const expert_map& map, const group_shape& shape);

// Returns the time of each rank in one layer, in load units: tokens divided by the relative speed of the
// rank.
std::vector<double> rank_times(const layer_map& layer, std::span<const float> loads,
                               std::span<const float> rank_speeds);

// Returns the skew of the step time: the sum over layers of the slowest rank's time, divided by the sum of
// the mean times, because all ranks wait for the slowest one in every layer. 1.0 means balanced.
double step_skew(const expert_map& map, const expert_loads& loads, std::span<const float> rank_speeds);

// Returns the number of replicas in `to` whose rank does not hold the expert in `from`. Each of them must be
// loaded from the weight store.
std::uint64_t copies_needed(const expert_map& from, const expert_map& to);

// Rounds all shares to the resolution of the JSON form so that those of each expert add up to exactly 1.
// Otherwise the rounding errors of successive plans accumulate until a share is out of range.
void quantize_shares(expert_map& map);

// Writes shares in units of 1/10000; see quantize_shares().
json to_json(const expert_map& map);
// Parses the form that to_json() writes. Errors: invalid_input. The caller must pass the result to check().
result<expert_map> from_json(const json& document);
// Returns the SHA-256 of the canonical JSON text.
std::string digest(const expert_map& map);

}  // namespace cuminpath::placement
