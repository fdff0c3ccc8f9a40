// Recent load of the experts of a group, as a decaying sum, so that a shift of popularity shows within its
// half-life.
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

  // Adds tokens by layer and expert, flat. A list of another size starts the window anew.
  void add(std::span<const std::uint64_t> counts, time_point now);
  void clear() { m_sums.clear(); }

  // Tokens in the window.
  [[nodiscard]] double total(time_point now) const;
  [[nodiscard]] placement::layer_loads loads(std::uint32_t layers) const;

private:
  void decay(time_point now);

  milliseconds m_half_life;
  std::vector<double> m_sums;
  time_point m_at{};
};

}  // namespace cuminpath::balancer
