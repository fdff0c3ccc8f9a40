#include "core/placement/expert_map.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "core/common/hash.h"

namespace cuminpath::placement {
namespace {

constexpr float k_share_tolerance = 1e-3F;
constexpr std::int64_t k_max_ranks = 65535;
// A whole share in the units of the JSON form. Shares are integers there, so that digests are exact.
constexpr std::int64_t k_share_units = 10000;

error invalid_map(std::string message) {
  return make_error(error_code::invalid_input, std::move(message));
}

std::string describe_expert(std::size_t layer, std::size_t expert) {
  return "layer " + std::to_string(layer) + ", expert " + std::to_string(expert);
}

result<void> check_layer(const layer_map& map, std::size_t layer, const group_shape& shape) {
  if (map.experts.size() != shape.experts) {
    return invalid_map("layer " + std::to_string(layer) + " has another number of experts than the group");
  }
  std::vector<std::uint32_t> used(shape.ranks, 0);
  for (std::size_t expert = 0; expert < map.experts.size(); ++expert) {
    const auto& replicas = map.experts[expert];
    float total = 0;
    std::vector<std::uint32_t> ranks;
    for (const auto& item : replicas) {
      if (item.rank >= shape.ranks) {
        return invalid_map(describe_expert(layer, expert) + ": no such rank");
      }
      if (!(item.share >= 0.0F && item.share <= 1.0F + k_share_tolerance)) {
        return invalid_map(describe_expert(layer, expert) + ": share is out of range");
      }
      total += item.share;
      ++used[item.rank];
      ranks.push_back(item.rank);
    }
    std::sort(ranks.begin(), ranks.end());
    if (std::adjacent_find(ranks.begin(), ranks.end()) != ranks.end()) {
      return invalid_map(describe_expert(layer, expert) + ": two replicas on one rank");
    }
    if (std::abs(total - 1.0F) > k_share_tolerance) {
      return invalid_map(describe_expert(layer, expert) + ": shares do not add up to 1");
    }
  }
  if (std::any_of(used.begin(), used.end(), [&](auto count) { return count > shape.slots_per_rank; })) {
    return invalid_map("layer " + std::to_string(layer) + ": a rank holds more experts than it has slots");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool in_range(const json& value, std::int64_t max) {
  return value.is_number_integer() && value >= 0 && value <= max;
}

bool holds(const std::vector<replica>& replicas, std::uint32_t rank) {
  return std::any_of(replicas.begin(), replicas.end(),
                     [rank](const auto& item) { return item.rank == rank; });
}

}  // namespace

expert_map contiguous_map(const group_shape& shape) {
  layer_map layer;
  layer.experts.resize(shape.experts);
  for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
    const auto rank = static_cast<std::uint32_t>(std::uint64_t{expert} * shape.ranks / shape.experts);
    layer.experts[expert] = {replica{.rank = rank, .share = 1.0F}};
  }
  return expert_map{std::vector<layer_map>(shape.layers, layer)};
}

result<void> check(const expert_map& map, const group_shape& shape) {
  if (map.layers.size() != shape.layers) {
    return invalid_map("the map has another number of layers than the group");
  }
  for (std::size_t layer = 0; layer < map.layers.size(); ++layer) {
    if (auto checked = check_layer(map.layers[layer], layer, shape); !checked) {
      return checked;
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::vector<double> rank_times(const layer_map& layer, std::span<const float> loads,
                               std::span<const float> rank_speeds) {
  std::vector<double> times(rank_speeds.size(), 0.0);
  for (std::size_t expert = 0; expert < layer.experts.size(); ++expert) {
    for (const auto& item : layer.experts[expert]) {
      times[item.rank] += static_cast<double>(loads[expert]) * static_cast<double>(item.share) /
                          static_cast<double>(rank_speeds[item.rank]);
    }
  }
  return times;
}

double step_skew(const expert_map& map, const expert_loads& loads, std::span<const float> rank_speeds) {
  double slowest = 0;
  double mean = 0;
  for (std::size_t layer = 0; layer < map.layers.size(); ++layer) {
    const auto times = rank_times(map.layers[layer], loads[layer], rank_speeds);
    slowest += *std::max_element(times.begin(), times.end());
    mean += std::accumulate(times.begin(), times.end(), 0.0) / static_cast<double>(times.size());
  }
  return mean > 0 ? slowest / mean : 1.0;
}

std::uint64_t copies_needed(const expert_map& from, const expert_map& to) {
  std::uint64_t copies = 0;
  for (std::size_t layer = 0; layer < to.layers.size(); ++layer) {
    for (std::size_t expert = 0; expert < to.layers[layer].experts.size(); ++expert) {
      for (const auto& item : to.layers[layer].experts[expert]) {
        copies += holds(from.layers[layer].experts[expert], item.rank) ? 0U : 1U;
      }
    }
  }
  return copies;
}

void quantize_shares(expert_map& map) {
  constexpr auto k_float_share_units = static_cast<float>(k_share_units);
  for (auto& layer : map.layers) {
    for (auto& replicas : layer.experts) {
      std::int64_t remaining = k_share_units;
      replica* largest = nullptr;
      for (auto& item : replicas) {
        const auto share =
            std::clamp<std::int64_t>(std::lround(item.share * k_float_share_units), 0, k_share_units);
        item.share = static_cast<float>(share) / k_float_share_units;
        remaining -= share;
        largest = largest == nullptr || item.share > largest->share ? &item : largest;
      }
      if (largest != nullptr) {
        largest->share += static_cast<float>(remaining) / k_float_share_units;
      }
    }
  }
}

json to_json(const expert_map& map) {
  json layers = json::array();
  for (const auto& layer : map.layers) {
    json experts = json::array();
    for (const auto& replicas : layer.experts) {
      json list = json::array();
      for (const auto& item : replicas) {
        list.push_back(json::array({item.rank, std::lround(item.share * static_cast<float>(k_share_units))}));
      }
      experts.push_back(std::move(list));
    }
    layers.push_back(std::move(experts));
  }
  return json{{"layers", std::move(layers)}};
}

result<expert_map> from_json(const json& document) {
  expert_map map;
  if (!document.is_object() || !document.contains("layers") || !document["layers"].is_array()) {
    return invalid_map("an expert map is an object with the array \"layers\"");
  }
  for (const auto& experts : document["layers"]) {
    if (!experts.is_array()) {
      return invalid_map("a layer is an array of experts");
    }
    auto& layer = map.layers.emplace_back();
    for (const auto& list : experts) {
      if (!list.is_array()) {
        return invalid_map("an expert is an array of replicas");
      }
      auto& replicas = layer.experts.emplace_back();
      for (const auto& item : list) {
        if (!item.is_array() || item.size() != 2 || !in_range(item[0], k_max_ranks) ||
            !in_range(item[1], k_share_units)) {
          return invalid_map("a replica is [rank, share in 1/10000]");
        }
        replicas.push_back(
            {item[0].get<std::uint32_t>(), item[1].get<float>() / static_cast<float>(k_share_units)});
      }
    }
  }
  return map;
}

std::string digest(const expert_map& map) {
  return sha256_hex(to_json(map).dump());
}

}  // namespace cuminpath::placement
