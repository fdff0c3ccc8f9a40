#include "core/gateway/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace cuminpath::gateway {
namespace {

// Weight of a pass in the moving average: a shift lasts for 0.5 to 2 s, four passes or more, and the average
// has covered three quarters of the way after the third pass that counts.
constexpr double k_average_weight = 0.4;
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
  if (!m_observed_at || now - *m_observed_at > k_observation_lifetime) {
    *this = {};
    m_pass.began = now;
  } else if (now - m_pass.began >= std::chrono::duration<double, std::milli>(idle_ms)) {
    // No pass is shorter than that of an idle engine, so a stream has one event in this time.
    begin_pass(now);
  }
  m_pass.sum_ms += sample;
  ++m_pass.events;
  m_observed_at = now;

  const double robust_ms = robust_sample_ms();
  m_current.at = now;
  if (m_previous_passes < m_previous_passes_ms.size()) {
    // Two passes do not tell which of them was a stall, so the longer one must not stay in the average.
    m_current.mean_ms = m_current.peak_ms = robust_ms;
    return;
  }
  const double decay = std::exp2(-std::chrono::duration<double>(now - m_before.at) / k_peak_half_life);
  m_current.mean_ms = (1 - k_average_weight) * m_before.mean_ms + k_average_weight * robust_ms;
  m_current.peak_ms = std::max(m_current.mean_ms, m_before.peak_ms * decay);
}

void concurrency_limiter::begin_pass(time_point now) {
  m_previous_passes_ms = {m_pass.mean_ms(), m_previous_passes_ms[0]};
  m_previous_passes = std::min<std::uint32_t>(m_previous_passes + 1, m_previous_passes_ms.size());
  m_pass = {.began = now};
  m_before = m_current;
}

double concurrency_limiter::robust_sample_ms() const {
  const double current = m_pass.mean_ms();
  const auto [newest, older] = m_previous_passes_ms;
  switch (m_previous_passes) {
    case 0:
      return current;
    case 1:
      return std::min(current, newest);
    default:  // The median.
      return std::max(std::min(newest, older), std::min(current, std::max(newest, older)));
  }
}

std::optional<double> concurrency_limiter::max_requests(milliseconds max_gap, const engine_cost& cost,
                                                        time_point now) const {
  if (!m_observed_at || now - *m_observed_at > k_observation_lifetime || max_gap.count() <= 0) {
    return std::nullopt;
  }
  const double available_ms =
      k_max_pass_share_of_gap * static_cast<double>(max_gap.count()) - idle_pass_ms(cost);
  return std::max(0.0,
                  std::max(0.0, available_ms) / std::max(m_current.peak_ms, 1e-3) - k_max_excess_over_mean);
}

}  // namespace cuminpath::gateway
