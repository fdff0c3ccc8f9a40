#include "bench/placement/drift_trace.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace cuminpath::bench {
namespace {

constexpr double k_tokens_per_layer = 2e6;  // Expected number per interval.
// Standard deviation of the natural logarithm of an expert's popularity. The most popular of 256 experts gets
// about 7 times the median.
constexpr double k_popularity_sigma = 0.7;
// Maximum amplitude of the daily sine that is added to the logarithm of the popularity.
constexpr double k_max_drift_amplitude = 0.8;
constexpr std::size_t k_stalled_rank = 5;
constexpr float k_stalled_speed = 0.5F;  // Relative to the other ranks.

}  // namespace

drift_trace::drift_trace(trace_kind kind, const placement::group_shape& shape, std::uint64_t seed)
    : m_kind(kind), m_shape(shape), m_random(seed) {
  std::normal_distribution<double> popularity(0.0, k_popularity_sigma);
  std::uniform_real_distribution<double> unit_interval(0.0, 1.0);
  const std::vector<double> empty(shape.experts, 0.0);
  m_log_popularity.assign(shape.layers, empty);
  m_amplitude = m_log_popularity;
  m_phase = m_log_popularity;
  m_source_after_flip.resize(shape.layers);
  for (std::size_t layer = 0; layer < shape.layers; ++layer) {
    for (std::size_t expert = 0; expert < shape.experts; ++expert) {
      m_log_popularity[layer][expert] = popularity(m_random);
      m_amplitude[layer][expert] = k_max_drift_amplitude * unit_interval(m_random);
      m_phase[layer][expert] = 2 * std::numbers::pi * unit_interval(m_random);
    }
    m_source_after_flip[layer].resize(shape.experts);
    std::iota(m_source_after_flip[layer].begin(), m_source_after_flip[layer].end(), std::size_t{0});
    std::shuffle(m_source_after_flip[layer].begin(), m_source_after_flip[layer].end(), m_random);
  }
}

placement::expert_loads drift_trace::counts(double hour) {
  placement::expert_loads loads(m_shape.layers, std::vector<float>(m_shape.experts));
  const bool flipped = m_kind == trace_kind::flip && hour >= 12;
  for (std::size_t layer = 0; layer < m_shape.layers; ++layer) {
    std::vector<double> weights(m_shape.experts);
    for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
      const auto popularity_source = flipped ? m_source_after_flip[layer][expert] : expert;
      weights[expert] =
          std::exp(m_log_popularity[layer][popularity_source] +
                   m_amplitude[layer][popularity_source] *
                       std::sin(hour / 24 * 2 * std::numbers::pi + m_phase[layer][popularity_source]));
    }
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (std::size_t expert = 0; expert < m_shape.experts; ++expert) {
      std::poisson_distribution<int> tokens(k_tokens_per_layer * weights[expert] / total);
      loads[layer][expert] = static_cast<float>(tokens(m_random));
    }
  }
  return loads;
}

std::vector<float> drift_trace::rank_speeds(double hour) const {
  std::vector<float> speeds(m_shape.ranks, 1.0F);
  if (m_kind == trace_kind::stall && hour >= 10 && hour < 12) {
    speeds[k_stalled_rank] = k_stalled_speed;
  }
  return speeds;
}

}  // namespace cuminpath::bench
