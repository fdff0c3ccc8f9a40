#include "core/balancer/load_window.h"

#include <cmath>
#include <numeric>

namespace cuminpath::balancer {
namespace {

double decay_factor(duration elapsed, milliseconds half_life) {
  return std::exp2(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(half_life));
}

}  // namespace

void load_window::decay(time_point now) {
  if (now > m_decayed_at) {
    const double factor = decay_factor(now - m_decayed_at, m_half_life);
    for (double& sum : m_sums) {
      sum *= factor;
    }
    m_decayed_at = now;
  }
}

void load_window::add(std::span<const std::uint64_t> counts, time_point now) {
  if (counts.size() != m_sums.size()) {
    m_sums.assign(counts.size(), 0.0);
    m_decayed_at = now;
  }
  decay(now);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    m_sums[i] += static_cast<double>(counts[i]);
  }
}

double load_window::total(time_point now) const {
  const double sum = std::accumulate(m_sums.begin(), m_sums.end(), 0.0);
  return now > m_decayed_at ? sum * decay_factor(now - m_decayed_at, m_half_life) : sum;
}

placement::layer_loads load_window::loads(std::uint32_t layers) const {
  placement::layer_loads out(layers);
  const std::size_t experts = layers == 0 ? 0 : m_sums.size() / layers;
  for (std::size_t layer = 0; layer < out.size(); ++layer) {
    const auto begin = m_sums.begin() + static_cast<std::ptrdiff_t>(layer * experts);
    out[layer].assign(begin, begin + static_cast<std::ptrdiff_t>(experts));
  }
  return out;
}

}  // namespace cuminpath::balancer
