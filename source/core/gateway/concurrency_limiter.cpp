#include "core/gateway/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace cuminpath::gateway {
namespace {

// Weight of a sample in the moving average. A gateway with five streams receives five events of each pass, so
// the average follows within three passes.
constexpr double k_average_weight = 0.1;
// The largest average decays by half in this time. Expert popularity shifts every two to four seconds on days
// of high load.
constexpr std::chrono::duration<double> k_peak_half_life{8};
// Without events for this long, the length of passes is unknown.
constexpr milliseconds k_observation_lifetime{1000};
// A gap longer than this many passes of an idle engine is ignored: it comes from a preempted or resumed
// stream.
constexpr double k_max_gap_passes = 8;
// Number of requests that the engine with the most requests in a group has above the mean; all ranks wait for
// it.
constexpr double k_max_excess_over_mean = 1;
// Share of the maximum gap that a pass may take; reading prompts makes some passes longer than others.
constexpr double k_max_pass_share_of_gap = 0.9;

double idle_pass_ms(const engine_cost& cost) {
  return cost.step_ms * cost.steps_per_pass;
}

}  // namespace

void concurrency_limiter::observe(duration gap, double running, const engine_cost& cost, time_point now) {
  const double gap_ms = std::chrono::duration<double, std::milli>(gap).count();
  const double idle_ms = idle_pass_ms(cost);
  if (idle_ms <= 0 || gap_ms > k_max_gap_passes * idle_ms) {
    return;
  }
  const double sample = std::max(0.0, gap_ms - idle_ms) / (running + k_max_excess_over_mean);
  const bool recent = m_observed_at && now - *m_observed_at <= k_observation_lifetime;
  const double decayed_peak_ms =
      recent ? m_peak_ms * std::exp2(-std::chrono::duration<double>(now - *m_observed_at) / k_peak_half_life)
             : 0;
  m_mean_ms = recent ? (1 - k_average_weight) * m_mean_ms + k_average_weight * sample : sample;
  m_peak_ms = std::max(m_mean_ms, decayed_peak_ms);
  m_observed_at = now;
}

std::optional<double> concurrency_limiter::max_requests(milliseconds max_gap, const engine_cost& cost,
                                                        time_point now) const {
  if (!m_observed_at || now - *m_observed_at > k_observation_lifetime || max_gap.count() <= 0) {
    return std::nullopt;
  }
  const double available_ms =
      k_max_pass_share_of_gap * static_cast<double>(max_gap.count()) - idle_pass_ms(cost);
  return std::max(0.0, std::max(0.0, available_ms) / std::max(m_peak_ms, 1e-3) - k_max_excess_over_mean);
}

}  // namespace cuminpath::gateway
