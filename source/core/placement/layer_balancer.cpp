#include "core/placement/layer_balancer.h"

#include <algorithm>
#include <limits>
#include <numeric>

#include "core/common/assert.h"

namespace cuminpath::placement {
namespace {

// A shift that saves less than this fraction of the ideal time is not worth an iteration.
constexpr double k_min_shift_fraction = 1e-4;
constexpr int k_max_shifts = 2000;
// Ranks that are tried for a new replica. Trying more of them rarely finds a better one.
constexpr std::size_t k_max_target_ranks = 6;

}  // namespace

layer_balancer::layer_balancer(layer_map map, std::span<const float> loads,
                               std::span<const float> rank_speeds, std::uint32_t slots_per_rank)
    : m_map(std::move(map)),
      m_loads(loads),
      m_speeds(rank_speeds),
      m_slots_per_rank(slots_per_rank),
      m_times(rank_times(m_map, loads, rank_speeds)),
      m_hosted(rank_speeds.size()) {
  for (std::uint32_t expert = 0; expert < m_map.experts.size(); ++expert) {
    for (const auto& item : m_map.experts[expert]) {
      m_hosted[item.rank].push_back(expert);
    }
  }
}

double layer_balancer::slowest() const {
  return *std::max_element(m_times.begin(), m_times.end());
}

double layer_balancer::ideal() const {
  const double load = std::accumulate(m_loads.begin(), m_loads.end(), 0.0);
  const double speed = std::accumulate(m_speeds.begin(), m_speeds.end(), 0.0);
  return load / speed;
}

std::uint32_t layer_balancer::slowest_rank() const {
  return static_cast<std::uint32_t>(std::max_element(m_times.begin(), m_times.end()) - m_times.begin());
}

std::vector<std::uint32_t> layer_balancer::fastest_ranks(std::size_t count) const {
  std::vector<std::uint32_t> ranks(m_times.size());
  std::iota(ranks.begin(), ranks.end(), 0U);
  count = std::min(count, ranks.size());
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end(),
                    [this](auto left, auto right) { return m_times[left] < m_times[right]; });
  ranks.resize(count);
  return ranks;
}

replica* layer_balancer::find_replica(std::uint32_t expert, std::uint32_t rank) {
  for (auto& item : m_map.experts[expert]) {
    if (item.rank == rank) {
      return &item;
    }
  }
  return nullptr;
}

void layer_balancer::move_load(std::uint32_t expert, std::uint32_t from_rank, std::uint32_t to_rank,
                               double load) {
  auto* from = find_replica(expert, from_rank);
  auto* to = find_replica(expert, to_rank);
  CUMINPATH_ASSERT(from != nullptr && to != nullptr);
  const auto total = static_cast<double>(m_loads[expert]);
  const auto share = total > 0 ? std::min(static_cast<float>(load / total), from->share) : from->share;
  from->share -= share;
  to->share += share;
  m_times[from_rank] -= static_cast<double>(share) * total / static_cast<double>(m_speeds[from_rank]);
  m_times[to_rank] += static_cast<double>(share) * total / static_cast<double>(m_speeds[to_rank]);
}

// Returns the load to move so that both ranks take the same time, limited to `available`.
static double load_to_equalize(double from_time, double to_time, double from_speed, double to_speed,
                               double available) {
  if (to_time >= from_time) {
    return 0;
  }
  return std::min(available, (from_time - to_time) / (1.0 / from_speed + 1.0 / to_speed));
}

bool layer_balancer::shift_share(std::uint32_t from_rank) {
  const double min_shift_time = ideal() * k_min_shift_fraction;
  std::uint32_t best_expert = k_no_expert;
  std::uint32_t best_rank = 0;
  double best_load = 0;
  for (const auto expert : m_hosted[from_rank]) {
    const auto* source = find_replica(expert, from_rank);
    const double available = static_cast<double>(source->share) * static_cast<double>(m_loads[expert]);
    for (const auto& other : m_map.experts[expert]) {
      const double load =
          load_to_equalize(m_times[from_rank], m_times[other.rank], static_cast<double>(m_speeds[from_rank]),
                           static_cast<double>(m_speeds[other.rank]), available);
      if (other.rank != from_rank && load > best_load) {
        best_expert = expert;
        best_rank = other.rank;
        best_load = load;
      }
    }
  }
  if (best_expert == k_no_expert || best_load / static_cast<double>(m_speeds[from_rank]) < min_shift_time) {
    return false;
  }
  move_load(best_expert, from_rank, best_rank, best_load);
  return true;
}

void layer_balancer::balance_shares() {
  // The slowest rank can often be relieved only after another rank has moved load away, so every rank is
  // tried, the slowest first.
  std::vector<std::uint32_t> ranks(m_times.size());
  std::iota(ranks.begin(), ranks.end(), 0U);
  int shifts = 0;
  for (bool moved = true; moved && shifts < k_max_shifts;) {
    moved = false;
    std::sort(ranks.begin(), ranks.end(),
              [this](auto left, auto right) { return m_times[left] > m_times[right]; });
    for (const auto rank : ranks) {
      if (shift_share(rank)) {
        moved = true;
        ++shifts;
      }
    }
  }
}

std::uint32_t layer_balancer::cheapest_eviction(std::uint32_t rank) const {
  std::uint32_t cheapest = k_no_expert;
  float min_load = std::numeric_limits<float>::max();
  for (const auto expert : m_hosted[rank]) {
    const auto& replicas = m_map.experts[expert];
    if (replicas.size() < 2) {
      continue;
    }
    for (const auto& item : replicas) {
      const float load = item.share * m_loads[expert];
      if (item.rank == rank && load < min_load) {
        min_load = load;
        cheapest = expert;
      }
    }
  }
  return cheapest;
}

void layer_balancer::evict(std::uint32_t expert, std::uint32_t rank) {
  auto& replicas = m_map.experts[expert];
  std::uint32_t receiver = k_no_expert;
  for (const auto& item : replicas) {
    if (item.rank != rank && (receiver == k_no_expert || m_times[item.rank] < m_times[receiver])) {
      receiver = item.rank;
    }
  }
  CUMINPATH_ASSERT(receiver != k_no_expert);
  move_load(expert, rank, receiver, static_cast<double>(m_loads[expert]));
  std::erase_if(replicas, [rank](const auto& item) { return item.rank == rank; });
  std::erase(m_hosted[rank], expert);
}

void layer_balancer::apply(const candidate& chosen, std::uint32_t from_rank) {
  if (chosen.evicted != k_no_expert) {
    evict(chosen.evicted, chosen.rank);
  }
  m_map.experts[chosen.expert].push_back({.rank = chosen.rank, .share = 0.0F});
  m_hosted[chosen.rank].push_back(chosen.expert);
  const auto* source = find_replica(chosen.expert, from_rank);
  const double available = static_cast<double>(source->share) * static_cast<double>(m_loads[chosen.expert]);
  move_load(
      chosen.expert, from_rank, chosen.rank,
      load_to_equalize(m_times[from_rank], m_times[chosen.rank], static_cast<double>(m_speeds[from_rank]),
                       static_cast<double>(m_speeds[chosen.rank]), available));
}

bool layer_balancer::add_best_replica() {
  const auto from_rank = slowest_rank();
  candidate best;
  best.time_after = m_times[from_rank] - ideal() * k_min_shift_fraction;
  bool found = false;
  for (const auto rank : fastest_ranks(k_max_target_ranks)) {
    const bool full = m_hosted[rank].size() >= m_slots_per_rank;
    const auto evicted = full ? cheapest_eviction(rank) : k_no_expert;
    if (rank == from_rank || (full && evicted == k_no_expert)) {
      continue;
    }
    for (const auto expert : m_hosted[from_rank]) {
      if (expert == evicted || find_replica(expert, rank) != nullptr) {
        continue;
      }
      const auto* source = find_replica(expert, from_rank);
      const double available = static_cast<double>(source->share) * static_cast<double>(m_loads[expert]);
      const double load =
          load_to_equalize(m_times[from_rank], m_times[rank], static_cast<double>(m_speeds[from_rank]),
                           static_cast<double>(m_speeds[rank]), available);
      const double after = m_times[from_rank] - load / static_cast<double>(m_speeds[from_rank]);
      if (after < best.time_after) {
        best = {.expert = expert, .rank = rank, .evicted = evicted, .time_after = after};
        found = true;
      }
    }
  }
  if (found) {
    apply(best, from_rank);
    balance_shares();
  }
  return found;
}

}  // namespace cuminpath::placement
