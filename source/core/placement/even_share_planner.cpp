#include "core/placement/even_share_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace cuminpath::placement {
namespace {

constexpr std::uint32_t k_no_expert = 0xffffffffU;
// Exponent of the norm that approximates the maximum. The maximum itself does not distinguish changes that
// relieve one of several ranks with the same load. power() must compute the same exponent.
constexpr double k_norm_exponent = 12;

// State of one layer while a plan is computed.
class layer {
public:
  layer(const std::vector<std::vector<std::uint32_t>>& held, std::span<const double> loads,
        const even_share_options& options)
      : m_loads(loads),
        m_options(&options),
        m_held(held),
        m_holders(loads.size()),
        m_held_before(held.size(), std::vector<bool>(loads.size())),
        m_new_copies(held.size()),
        m_times(held.size()),
        m_time_changes(held.size()) {
    for (std::uint32_t rank = 0; rank < m_held.size(); ++rank) {
      for (const std::uint32_t expert : m_held[rank]) {
        m_holders[expert].push_back(rank);
        m_held_before[rank][expert] = true;
      }
    }
    for (std::uint32_t expert = 0; expert < m_loads.size(); ++expert) {
      for (const std::uint32_t rank : m_holders[expert]) {
        m_times[rank] += m_loads[expert] / static_cast<double>(m_holders[expert].size());
      }
    }
  }

  struct change {
    std::uint32_t added = k_no_expert;    // Expert that `rank` gets, or none.
    std::uint32_t dropped = k_no_expert;  // Expert that `rank` drops, or none.
    std::uint32_t rank = 0;
    bool copies = false;  // The rank did not hold the added expert before the plan.
    double gain = 0;
  };

  // Returns the change that lowers the time of the most loaded rank most. `copies_left` is indexed by rank.
  [[nodiscard]] change best_change(std::span<const std::uint32_t> copies_left) const {
    const auto slowest =
        static_cast<std::uint32_t>(std::max_element(m_times.begin(), m_times.end()) - m_times.begin());
    const double scale = m_times[slowest];
    if (scale <= 0) {
      return {};
    }
    const double before = power_sum(m_times, scale);
    double min_power_sum = before;
    change best;
    const auto consider = [&](const change& candidate) {
      const double after = before + power_change(candidate, scale);
      if (after < min_power_sum) {
        min_power_sum = after;
        best = candidate;
      }
    };
    for (const std::uint32_t expert : m_held[slowest]) {
      if (m_holders[expert].size() > 1) {
        consider({.dropped = expert, .rank = slowest});
      }
      for (std::uint32_t rank = 0; rank < m_held.size(); ++rank) {
        if (holds(rank, expert) || m_times[rank] >= m_times[slowest]) {
          continue;
        }
        const bool copies = !m_held_before[rank][expert];
        if (copies && (copies_left[rank] == 0 || m_new_copies[rank] >= m_options->max_new_per_rank_layer)) {
          continue;
        }
        const bool full = m_held[rank].size() >= m_options->slots_per_rank;
        const std::uint32_t dropped = full ? cheapest_drop(rank) : k_no_expert;
        if (!full || dropped != k_no_expert) {
          consider({.added = expert, .dropped = dropped, .rank = rank, .copies = copies});
        }
      }
    }
    best.gain = scale * (std::pow(before, 1 / k_norm_exponent) -
                         std::pow(std::max(min_power_sum, 0.0), 1 / k_norm_exponent));
    return best;
  }

  void apply(const change& chosen) {
    for_each_time_change(chosen, [this](std::uint32_t rank, double added) { m_times[rank] += added; });
    if (chosen.dropped != k_no_expert) {
      std::erase(m_held[chosen.rank], chosen.dropped);
      std::erase(m_holders[chosen.dropped], chosen.rank);
      m_new_copies[chosen.rank] -= m_held_before[chosen.rank][chosen.dropped] ? 0 : 1;
    }
    if (chosen.added != k_no_expert) {
      m_held[chosen.rank].push_back(chosen.added);
      m_holders[chosen.added].push_back(chosen.rank);
      m_new_copies[chosen.rank] += chosen.copies ? 1 : 0;
    }
  }

  // Returns the time of each rank if the layer were balanced.
  [[nodiscard]] double balanced_time() const {
    return std::accumulate(m_loads.begin(), m_loads.end(), 0.0) / static_cast<double>(m_times.size());
  }
  [[nodiscard]] double slowest_time() const { return *std::max_element(m_times.begin(), m_times.end()); }
  [[nodiscard]] const std::vector<std::vector<std::uint32_t>>& held() const { return m_held; }

private:
  [[nodiscard]] static double power(double share) {
    const double cube = share * share * share;
    return cube * cube * cube * cube;  // std::pow() would take most of the planning time.
  }

  // Returns the norm of the times raised to its exponent, in units of `scale`.
  [[nodiscard]] static double power_sum(std::span<const double> times, double scale) {
    return std::accumulate(times.begin(), times.end(), 0.0,
                           [scale](double sum, double time) { return sum + power(time / scale); });
  }

  // Returns the difference that a change makes to power_sum(). A change affects only the times of the ranks
  // that hold its two experts.
  [[nodiscard]] double power_change(const change& candidate, double scale) const {
    double sum = 0;
    for_each_time_change(candidate, [&](std::uint32_t rank, double added) { m_time_changes[rank] += added; });
    for_each_time_change(candidate, [&](std::uint32_t rank, double /*added*/) {
      const double added = std::exchange(m_time_changes[rank], 0.0);
      if (added != 0) {
        sum += power((m_times[rank] + added) / scale) - power(m_times[rank] / scale);
      }
    });
    return sum;
  }

  [[nodiscard]] bool holds(std::uint32_t rank, std::uint32_t expert) const {
    const auto& holders = m_holders[expert];
    return std::find(holders.begin(), holders.end(), rank) != holders.end();
  }

  // Returns the expert of a full rank whose replica moves the least load to other ranks when it is dropped.
  [[nodiscard]] std::uint32_t cheapest_drop(std::uint32_t rank) const {
    std::uint32_t cheapest = k_no_expert;
    double min_moved = 0;
    for (const std::uint32_t expert : m_held[rank]) {
      const auto holders = static_cast<double>(m_holders[expert].size());
      if (holders < 2) {
        continue;
      }
      const double moved = m_loads[expert] / holders;
      if (cheapest == k_no_expert || moved < min_moved) {
        cheapest = expert;
        min_moved = moved;
      }
    }
    return cheapest;
  }

  // Calls `visit` with each rank whose time a change affects and with the difference. A rank can occur twice.
  template <class visitor>
  void for_each_time_change(const change& chosen, visitor visit) const {
    if (chosen.dropped != k_no_expert) {
      const auto& holders = m_holders[chosen.dropped];
      const auto count = static_cast<double>(holders.size());
      const double load = m_loads[chosen.dropped];
      for (const std::uint32_t holder : holders) {
        visit(holder, holder == chosen.rank ? -load / count : load / (count - 1) - load / count);
      }
    }
    if (chosen.added != k_no_expert) {
      const auto& holders = m_holders[chosen.added];
      const auto count = static_cast<double>(holders.size());
      const double load = m_loads[chosen.added];
      for (const std::uint32_t holder : holders) {
        visit(holder, load / (count + 1) - load / count);
      }
      visit(chosen.rank, load / (count + 1));
    }
  }

  std::span<const double> m_loads;
  const even_share_options* m_options;
  std::vector<std::vector<std::uint32_t>> m_held;     // By rank.
  std::vector<std::vector<std::uint32_t>> m_holders;  // By expert.
  std::vector<std::vector<bool>> m_held_before;       // By rank and expert.
  std::vector<std::uint32_t> m_new_copies;            // By rank; of this layer.
  std::vector<double> m_times;                        // By rank.
  mutable std::vector<double> m_time_changes;         // By rank; zero between calls.
};

bool holds_known_experts(std::vector<std::uint32_t> experts, std::size_t count) {
  std::sort(experts.begin(), experts.end());
  return (experts.empty() || experts.back() < count) &&
         std::adjacent_find(experts.begin(), experts.end()) == experts.end();
}

// Whether the tables of a layer can be filled from the map, which consists of what engines report.
bool is_consistent(const rank_map& map, const layer_loads& loads) {
  if (map.empty() || map.size() != loads.size()) {
    return false;
  }
  for (std::size_t i = 0; i < map.size(); ++i) {
    if (map[i].size() != map.front().size() ||
        !std::all_of(map[i].begin(), map[i].end(),
                     [&](const auto& experts) { return holds_known_experts(experts, loads[i].size()); })) {
      return false;
    }
  }
  return true;
}

}  // namespace

even_share_plan plan_even_shares(const rank_map& current, const layer_loads& loads,
                                 const even_share_options& options) {
  even_share_plan plan;
  if (!is_consistent(current, loads)) {
    return plan;
  }
  const auto ranks = current.front().size();
  std::vector<layer> layers;
  layers.reserve(current.size());
  for (std::size_t i = 0; i < current.size(); ++i) {
    layers.emplace_back(current[i], loads[i], options);
    plan.cost_before += layers.back().slowest_time();
    plan.balanced_cost += layers.back().balanced_time();
  }
  std::vector<std::uint32_t> copies_left(ranks, options.max_copies_per_rank);
  // Changes that gain too little are no candidates, so that they do not end the planning of other layers.
  const auto worthwhile_change = [&](const layer& planned) {
    const auto change = planned.best_change(copies_left);
    return change.gain > options.min_gain * planned.balanced_time() ? change : layer::change{};
  };
  std::vector<layer::change> best;
  best.reserve(layers.size());
  for (const layer& each : layers) {
    best.push_back(worthwhile_change(each));
  }
  // Bounds the loop, because a change without a copy could be reverted and repeated.
  const std::size_t max_changes = 4 * layers.size() * ranks * options.slots_per_rank;
  for (std::size_t changes = 0; changes < max_changes; ++changes) {
    const auto chosen = std::max_element(best.begin(), best.end(),
                                         [](const auto& a, const auto& b) { return a.gain < b.gain; });
    if (chosen->gain <= 0) {
      break;
    }
    const auto index = static_cast<std::size_t>(chosen - best.begin());
    const layer::change change = *chosen;
    layers[index].apply(change);
    if (change.copies) {
      ++plan.copies;
      --copies_left[change.rank];
    }
    const bool rank_exhausted = change.copies && copies_left[change.rank] == 0;
    for (std::size_t i = 0; i < layers.size(); ++i) {
      if (i == index || (rank_exhausted && best[i].copies && best[i].rank == change.rank)) {
        best[i] = worthwhile_change(layers[i]);
      }
    }
  }
  for (const layer& each : layers) {
    plan.map.push_back(each.held());
    plan.cost_after += each.slowest_time();
  }
  for (auto& ranks_of_layer : plan.map) {
    for (auto& experts : ranks_of_layer) {
      std::sort(experts.begin(), experts.end());
    }
  }
  return plan;
}

rank_map interleaved_map(std::uint32_t layers, std::uint32_t ranks, std::uint32_t experts) {
  std::vector<std::vector<std::uint32_t>> layer(ranks);
  for (std::uint32_t expert = 0; expert < experts; ++expert) {
    layer[expert % ranks].push_back(expert);
  }
  return rank_map(layers, layer);
}

double load_skew(const rank_map& map, const layer_loads& loads) {
  const even_share_options options;
  double slowest = 0;
  double balanced = 0;
  for (std::size_t i = 0; i < map.size() && i < loads.size(); ++i) {
    const layer each(map[i], loads[i], options);
    slowest += each.slowest_time();
    balanced += each.balanced_time();
  }
  return balanced > 0 ? slowest / balanced : 1.0;
}

}  // namespace cuminpath::placement
