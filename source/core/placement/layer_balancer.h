// Balances one layer of a group. Shares can be moved between existing replicas for free; a new replica costs
// one copy from the weight store.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/placement/expert_map.h"

namespace cuminpath::placement {

class layer_balancer {
public:
  // All spans must outlive the balancer. `slots_per_rank` as in group_shape.
  layer_balancer(layer_map map, std::span<const float> loads, std::span<const float> rank_speeds,
                 std::uint32_t slots_per_rank);

  // Moves shares between existing replicas until the slowest rank can't be relieved any more.
  void balance_shares();

  // Adds one replica where it relieves the slowest rank most, in a free slot or in place of a replica that
  // its expert can spare. False if no replica would help.
  bool add_best_replica();

  [[nodiscard]] double slowest() const;  // Time of the slowest rank.
  [[nodiscard]] double ideal()
      const;  // Time of each rank if the load were even: total load over total speed.
  [[nodiscard]] const layer_map& map() const { return m_map; }

private:
  struct candidate {
    std::uint32_t expert = 0;
    std::uint32_t rank = 0;          // Gets the new replica.
    std::uint32_t evicted = k_none;  // Expert that loses its replica on that rank.
    double result = 0;               // Time of the slower of the two ranks afterwards.
  };
  static constexpr std::uint32_t k_none = 0xffffffffU;

  [[nodiscard]] std::uint32_t slowest_rank() const;
  [[nodiscard]] std::vector<std::uint32_t> fastest_ranks(std::size_t count) const;
  [[nodiscard]] std::uint32_t cheapest_eviction(std::uint32_t rank) const;
  bool shift_share(std::uint32_t from_rank);
  void evict(std::uint32_t expert, std::uint32_t rank);
  void apply(const candidate& chosen, std::uint32_t from_rank);
  replica* find_replica(std::uint32_t expert, std::uint32_t rank);
  void move_load(std::uint32_t expert, std::uint32_t from_rank, std::uint32_t to_rank, double load);

  layer_map m_map;
  std::span<const float> m_loads;
  std::span<const float> m_speeds;
  std::uint32_t m_slots_per_rank;
  std::vector<double> m_times;                       // Of each rank.
  std::vector<std::vector<std::uint32_t>> m_hosted;  // Experts on each rank.
};

}  // namespace cuminpath::placement
