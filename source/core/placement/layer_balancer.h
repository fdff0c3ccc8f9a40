// Balances the load of one layer of a group. Moving shares between existing replicas costs nothing; a new
// replica costs one copy from the weight store.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/placement/expert_map.h"

namespace cuminpath::placement {

class layer_balancer {
public:
  // All spans must outlive the balancer. `slots_per_rank` has the meaning of
  // group_shape::slots_per_rank.
  layer_balancer(layer_map map, std::span<const float> loads, std::span<const float> rank_speeds,
                 std::uint32_t slots_per_rank);

  // Moves shares between existing replicas until the slowest rank can't be relieved any further.
  void balance_shares();

  // Adds the replica that relieves the slowest rank most, in a free slot or instead of a replica of an expert
  // that has others. Returns false if no replica would help.
  bool add_best_replica();

  [[nodiscard]] double slowest() const;  // Time of the slowest rank.
  // Returns the time of each rank if the layer were balanced: the total load divided by the total speed.
  [[nodiscard]] double ideal() const;
  [[nodiscard]] const layer_map& map() const { return m_map; }

private:
  struct candidate {
    std::uint32_t expert = 0;
    std::uint32_t rank = 0;               // Gets the new replica.
    std::uint32_t evicted = k_no_expert;  // Expert that loses its replica on that rank.
    double time_after = 0;                // Time afterwards of the slower of `rank` and the relieved rank.
  };
  static constexpr std::uint32_t k_no_expert = 0xffffffffU;

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
