// A simulated group of engines on virtual time, with the faults that the platform announces: orders without a
// response that are executed seconds later, ranks that restart, idle periods without a forward pass.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/balancer/engine_port.h"
#include "core/common/random.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

class engine_group {
public:
  engine_group(std::uint32_t ranks, bool fencing) : m_ranks(ranks), m_fencing(fencing) {
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
      m_ranks[rank].status = {.group = "g", .epoch = 1, .rank = rank, .ranks = ranks, .open = true};
    }
  }

  [[nodiscard]] engine_status status(std::uint32_t rank) const;
  // Executes an order at once.
  order_result apply(std::uint32_t rank, const order& value, time_point now);
  // Executes an order at the time `at`, whatever has happened until then.
  void apply_at(std::uint32_t rank, const order& value, time_point at) {
    m_delayed_orders.emplace(at, std::pair(rank, value));
  }
  // Executes the delayed orders and finishes the copies that are due, then begins a pass if there is work.
  void tick(time_point now, bool has_work);
  // Restarts a rank: the group re-forms in a new epoch and all ranks lose their state.
  void restart();

  // Whether a pass began with different maps.
  [[nodiscard]] bool maps_differed() const { return m_maps_differed; }
  [[nodiscard]] std::uint64_t passes() const { return m_passes; }
  [[nodiscard]] std::uint64_t map_version() const { return m_ranks[0].status.map_version; }
  [[nodiscard]] bool held() const;

private:
  struct engine {
    engine_status status;
    std::uint64_t highest_version = 0;
    std::uint64_t highest_token = 0;
    std::uint64_t copying = 0;
    time_point copy_done_at{};
    rank_map prepared_map;
    rank_map map;
  };

  std::vector<engine> m_ranks;
  std::multimap<time_point, std::pair<std::uint32_t, order>> m_delayed_orders;
  bool m_fencing;
  bool m_maps_differed = false;
  std::uint64_t m_passes = 0;
};

}  // namespace cuminpath::balancer
