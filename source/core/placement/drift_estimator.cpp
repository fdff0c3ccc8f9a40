#include "core/placement/drift_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cuminpath::placement {
namespace {

constexpr double k_default_lifetime_s = 600;
constexpr double k_max_lifetime_s = 3600;
constexpr double k_max_tolerated_change = 0.1;

// Returns the fraction of the tokens that goes to other experts than before. Counting noise alone gives about
// 0.8 / sqrt(tokens per expert), which is subtracted.
double change_between(const expert_loads& before, const expert_loads& after) {
  double moved = 0;
  double noise = 0;
  double layers = 0;
  for (std::size_t layer = 0; layer < after.size(); ++layer) {
    const double total_before = std::accumulate(before[layer].begin(), before[layer].end(), 0.0);
    const double total_after = std::accumulate(after[layer].begin(), after[layer].end(), 0.0);
    if (total_before <= 0 || total_after <= 0) {
      continue;
    }
    layers += 1;
    noise += 0.8 / std::sqrt(total_after / static_cast<double>(after[layer].size()));
    for (std::size_t expert = 0; expert < after[layer].size(); ++expert) {
      moved += std::abs(static_cast<double>(after[layer][expert]) / total_after -
                        static_cast<double>(before[layer][expert]) / total_before) /
               2;
    }
  }
  return layers > 0 ? std::max(0.0, (moved - noise) / layers) : 0.0;
}

}  // namespace

void drift_estimator::add(time_point now, const expert_loads& counts) {
  const bool comparable = m_last_interval_end.has_value() && m_loads.size() == counts.size();
  if (!comparable) {
    m_loads = counts;
    m_last_interval_end = now;
    return;
  }
  m_interval_s = std::max(1e-3, std::chrono::duration<double>(now - *m_last_interval_end).count());
  // The smoothed loads are about 1 / smoothing intervals old.
  const double change = change_between(m_loads, counts) / (m_interval_s / m_smoothing);
  m_change_per_s = m_change_per_s ? (*m_change_per_s * (1 - m_smoothing) + change * m_smoothing) : change;
  for (std::size_t layer = 0; layer < counts.size(); ++layer) {
    for (std::size_t expert = 0; expert < counts[layer].size(); ++expert) {
      auto& smoothed = m_loads[layer][expert];
      smoothed += static_cast<float>(m_smoothing) * (counts[layer][expert] - smoothed);
    }
  }
  m_last_interval_end = now;
}

double drift_estimator::expected_lifetime_s() const {
  if (!m_change_per_s) {
    return k_default_lifetime_s;
  }
  const double lifetime_s = *m_change_per_s > 0 ? k_max_tolerated_change / *m_change_per_s : k_max_lifetime_s;
  return std::clamp(lifetime_s, std::min(m_interval_s, k_max_lifetime_s), k_max_lifetime_s);
}

}  // namespace cuminpath::placement
