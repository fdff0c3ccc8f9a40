#include "core/gateway/pass_limit.h"

#include <algorithm>
#include <cmath>

namespace cuminpath::gateway {
namespace {

// A gateway with five streams sees five events of each pass; their mean follows within three passes.
constexpr double k_weight = 0.1;
// The largest average fades by half in this time. Popularity shifts every two to four seconds on heavy days.
constexpr std::chrono::duration<double> k_peak_half_life{8};
// Without events for this long, nothing is known of the passes.
constexpr milliseconds k_forget_after{1000};
// A pause of this many passes without any request comes from a preempted or resumed stream.
constexpr double k_longest_gap = 8;
// Requests that the fullest engine of a group has more than the mean; all ranks wait for it.
constexpr double k_above_mean = 1;
// Part of the longest pause that a pass may take; reading of prompts makes some passes longer than others.
constexpr double k_share_of_pause = 0.9;

double idle_pass_ms(const engine_cost& cost) {
  return cost.step_ms * cost.steps_per_pass;
}

}  // namespace

void pass_limit::observe(duration gap, double running, const engine_cost& cost, time_point now) {
  const double gap_ms = std::chrono::duration<double, std::milli>(gap).count();
  const double idle_ms = idle_pass_ms(cost);
  if (idle_ms <= 0 || gap_ms > k_longest_gap * idle_ms) {
    return;
  }
  const double sample = std::max(0.0, gap_ms - idle_ms) / (running + k_above_mean);
  const bool known = m_observed && now - *m_observed <= k_forget_after;
  const double faded =
      known ? m_peak_ms * std::exp2(-std::chrono::duration<double>(now - *m_observed) / k_peak_half_life) : 0;
  m_mean_ms = known ? (1 - k_weight) * m_mean_ms + k_weight * sample : sample;
  m_peak_ms = std::max(m_mean_ms, faded);
  m_observed = now;
}

std::optional<double> pass_limit::room(milliseconds longest, const engine_cost& cost, time_point now) const {
  if (!m_observed || now - *m_observed > k_forget_after || longest.count() <= 0) {
    return std::nullopt;
  }
  const double left_ms = k_share_of_pause * static_cast<double>(longest.count()) - idle_pass_ms(cost);
  return std::max(0.0, std::max(0.0, left_ms) / std::max(m_peak_ms, 1e-3) - k_above_mean);
}

}  // namespace cuminpath::gateway
