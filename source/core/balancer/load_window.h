// Recent load of the experts of a group as an exponentially decaying sum, so that a shift of popularity shows
// within its half-life.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/common/time.h"
#include "core/placement/even_share_planner.h"

namespace cuminpath::balancer {

class load_window {
public:
  explicit load_window(milliseconds half_life) : m_half_life(half_life) {}

  // Adds token counts, flattened by layer and then by expert. A list of another size resets the window.
  void add(std::span<const std::uint64_t> counts, time_point now);
  void clear() { m_sums.clear(); }

  // Returns the decayed number of tokens in the window.
  [[nodiscard]] double total(time_point now) const;
  [[nodiscard]] placement::layer_loads loads(std::uint32_t layers) const;

private:
  void decay(time_point now);

  milliseconds m_half_life;
  std::vector<double> m_sums;
  time_point m_decayed_at{};
};

}  // namespace cuminpath::balancer
