// A group of engines on virtual time, with the faults that the platform announces: orders without an answer
// that are carried out seconds later, ranks that restart, idle times without a pass.
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
  // Carries an order out at once.
  order_result apply(std::uint32_t rank, const order& value, time_point now);
  // Carries an order out when its time has come, whatever has happened meanwhile.
  void apply_later(std::uint32_t rank, const order& value, time_point at) {
    m_late.emplace(at, std::pair(rank, value));
  }
  // Late orders and copies that are due; then begins a pass if there is work.
  void tick(time_point now, bool work);
  // A rank starts anew: the group forms in a new epoch and forgets everything.
  void restart();

  [[nodiscard]] bool mixed() const { return m_mixed; }  // A pass began with different maps.
  [[nodiscard]] std::uint64_t passes() const { return m_passes; }
  [[nodiscard]] std::uint64_t map_version() const { return m_ranks[0].status.map_version; }
  [[nodiscard]] bool held() const;

private:
  struct engine {
    engine_status status;
    std::uint64_t highest_version = 0;
    std::uint64_t highest_token = 0;
    std::uint64_t copying = 0;
    time_point copied_at{};
    rank_map prepared_map;
    rank_map map;
  };

  std::vector<engine> m_ranks;
  std::multimap<time_point, std::pair<std::uint32_t, order>> m_late;
  bool m_fencing;
  bool m_mixed = false;
  std::uint64_t m_passes = 0;
};

}  // namespace cuminpath::balancer
