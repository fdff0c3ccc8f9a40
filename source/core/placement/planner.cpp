#include "core/placement/planner.h"

#include <algorithm>
#include <numeric>
#include <queue>

#include "core/placement/layer_balancer.h"

namespace cuminpath::placement {
namespace {

// A layer map that is reached with a number of copies.
struct layer_option {
  layer_map map;
  std::uint32_t copies = 0;
  double slowest = 0;
};

// Returns the options of a layer in order of copies. The first has none: it only moves shares, which costs
// nothing.
std::vector<layer_option> layer_options(const group_shape& shape, const layer_map& current,
                                        std::span<const float> loads, std::span<const float> speeds,
                                        double target_skew) {
  layer_balancer balancer(current, loads, speeds, shape.slots_per_rank);
  balancer.balance_shares();
  std::vector<layer_option> options{{balancer.map(), 0, balancer.slowest()}};
  // No map needs more copies than there are slots, even if replicas are replaced repeatedly.
  const std::uint32_t max_copies = shape.ranks * shape.slots_per_rank;
  const double target = balancer.ideal() * target_skew;
  for (std::uint32_t copies = 1; copies <= max_copies && balancer.slowest() > target; ++copies) {
    if (!balancer.add_best_replica()) {
      break;
    }
    if (balancer.slowest() < options.back().slowest) {
      options.push_back({balancer.map(), copies, balancer.slowest()});
    }
  }
  return options;
}

// Returns the option with the highest net gain. Compares whole sequences instead of single copies, because a
// copy often gains nothing without the next one.
const layer_option& best_option(const std::vector<layer_option>& options, double gain_per_time,
                                double cost_per_copy) {
  const double initial_time = options.front().slowest;
  return *std::max_element(options.begin(), options.end(), [&](const auto& left, const auto& right) {
    const auto net = [&](const layer_option& option) {
      return (initial_time - option.slowest) * gain_per_time - option.copies * cost_per_copy;
    };
    return net(left) < net(right);
  });
}

// Returns the sum over the layers of the slowest rank's time.
double total_slowest_time(const expert_map& map, const expert_loads& loads, std::span<const float> speeds) {
  double total = 0;
  for (std::size_t layer = 0; layer < map.layers.size(); ++layer) {
    const auto times = rank_times(map.layers[layer], loads[layer], speeds);
    total += *std::max_element(times.begin(), times.end());
  }
  return total;
}

// Distributes the spare slots to the experts with the highest load per replica.
std::vector<std::uint32_t> replica_counts(const group_shape& shape, std::span<const float> loads) {
  std::vector<std::uint32_t> counts(shape.experts, 1);
  const auto spare = shape.ranks * shape.slots_per_rank - shape.experts;
  const auto load_per_replica = [&](std::uint32_t expert) {
    return loads[expert] / static_cast<float>(counts[expert]);
  };
  using item = std::pair<float, std::uint32_t>;
  std::priority_queue<item> queue;
  for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
    queue.emplace(load_per_replica(expert), expert);
  }
  for (std::uint32_t added = 0; added < spare && !queue.empty(); ++added) {
    const auto expert = queue.top().second;
    queue.pop();
    if (++counts[expert] < shape.ranks) {
      queue.emplace(load_per_replica(expert), expert);
    }
  }
  return counts;
}

// Assigns replicas to ranks, the largest first, each to the ranks with the lowest time.
layer_map pack_replicas(const group_shape& shape, std::span<const float> loads,
                        std::span<const float> speeds) {
  const auto counts = replica_counts(shape, loads);
  std::vector<std::uint32_t> order(shape.experts);
  std::iota(order.begin(), order.end(), 0U);
  std::stable_sort(order.begin(), order.end(), [&](auto left, auto right) {
    return loads[left] / static_cast<float>(counts[left]) > loads[right] / static_cast<float>(counts[right]);
  });
  layer_map map;
  map.experts.resize(shape.experts);
  std::vector<double> times(shape.ranks, 0.0);
  std::vector<std::uint32_t> used_slots(shape.ranks, 0);
  std::vector<std::uint32_t> ranks(shape.ranks);
  std::iota(ranks.begin(), ranks.end(), 0U);
  for (const auto expert : order) {
    const double load = static_cast<double>(loads[expert]) / counts[expert];
    std::sort(ranks.begin(), ranks.end(), [&](auto left, auto right) { return times[left] < times[right]; });
    for (const auto rank : ranks) {
      auto& replicas = map.experts[expert];
      if (replicas.size() < counts[expert] && used_slots[rank] < shape.slots_per_rank) {
        replicas.push_back({rank, 0.0F});
        times[rank] += load / static_cast<double>(speeds[rank]);
        ++used_slots[rank];
      }
    }
    for (auto& item : map.experts[expert]) {
      item.share = 1.0F / static_cast<float>(map.experts[expert].size());
    }
  }
  return map;
}

}  // namespace

plan make_plan(const group_shape& shape, const expert_map& current, const expert_loads& loads,
               std::span<const float> rank_speeds, const planner_options& options) {
  plan new_plan;
  new_plan.skew_before = step_skew(current, loads, rank_speeds);
  const double before = total_slowest_time(current, loads, rank_speeds);
  // Saving the whole step time over the lifetime of the pattern would gain the whole lifetime.
  const double gain_per_time = before > 0 ? options.pattern_lifetime_s / before : 0.0;
  const double copy_cost_s =
      static_cast<double>(options.expert_bytes) / options.weight_store_bytes_per_s * options.loading_slowdown;
  double after = 0;
  for (std::size_t layer = 0; layer < current.layers.size(); ++layer) {
    const auto candidates =
        layer_options(shape, current.layers[layer], loads[layer], rank_speeds, options.target_skew);
    const auto& chosen = best_option(candidates, gain_per_time, copy_cost_s * options.gain_factor);
    after += chosen.slowest;
    new_plan.map.layers.push_back(chosen.map);
  }
  quantize_shares(new_plan.map);
  new_plan.copies = copies_needed(current, new_plan.map);
  new_plan.bytes = new_plan.copies * options.expert_bytes;
  new_plan.skew_after = step_skew(new_plan.map, loads, rank_speeds);
  new_plan.gain_s = (before - after) * gain_per_time;
  new_plan.cost_s = static_cast<double>(new_plan.copies) * copy_cost_s + options.switch_pause_s;
  new_plan.worthwhile = new_plan.gain_s > new_plan.cost_s * options.gain_factor;
  return new_plan;
}

expert_map full_rebalance(const group_shape& shape, const expert_loads& loads,
                          std::span<const float> rank_speeds) {
  expert_map map;
  for (const auto& layer : loads) {
    map.layers.push_back(pack_replicas(shape, layer, rank_speeds));
  }
  return map;
}

}  // namespace cuminpath::placement
