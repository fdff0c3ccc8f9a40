#include "core/routing/ejection.h"

#include <algorithm>
#include <cmath>

namespace cuminpath::routing {
namespace {

constexpr double k_failure_rate_weight = 0.1;
constexpr double k_recent_failure_decay_s = 10;
constexpr std::uint32_t k_max_doublings = 10;

}  // namespace

double ejection_state::recent_failures(time_point now) const {
  if (m_recent_failures == 0) {
    return 0;
  }
  const double age_s = std::chrono::duration<double>(now - m_recent_failures_at).count();
  return m_recent_failures * std::exp(-age_s / k_recent_failure_decay_s);
}

void ejection_state::on_success(time_point now, const ejection_options& options) {
  m_recent_failures = recent_failures(now) / 2;
  m_recent_failures_at = now;
  m_consecutive_failures = 0;
  m_failure_rate *= 1 - k_failure_rate_weight;
  m_samples = std::min(m_samples + 1, options.min_samples);
  if (!m_ejected) {
    // A long healthy period resets the doubling of the ejection time.
    if (m_failure_rate < k_failure_rate_weight / 10) {
      m_ejections = 0;
    }
    return;
  }
  if (++m_successful_trials >= options.trials_to_restore) {
    m_ejected = false;
    m_failure_rate = 0;
    m_samples = 0;
  }
}

void ejection_state::on_failure(time_point now, const ejection_options& options, bool may_eject) {
  m_recent_failures = recent_failures(now) + 1;
  m_recent_failures_at = now;
  ++m_consecutive_failures;
  m_failure_rate += k_failure_rate_weight * (1 - m_failure_rate);
  m_samples = std::min(m_samples + 1, options.min_samples);
  if (!options.enabled || ejected(now)) {
    return;
  }
  const bool consecutive =
      options.consecutive_failures > 0 && m_consecutive_failures >= options.consecutive_failures;
  const bool rate = m_samples >= options.min_samples && m_failure_rate >= options.failure_rate;
  if (on_trial(now) || (may_eject && (consecutive || rate))) {
    eject(now, options);
  }
}

void ejection_state::eject(time_point now, const ejection_options& options) {
  const auto ejection_time = options.base_duration * (1U << std::min(m_ejections, k_max_doublings));
  m_ejected_until = now + std::min<duration>(ejection_time, options.max_duration);
  m_ejections = std::min(m_ejections + 1, k_max_doublings);
  m_ejected = true;
  m_successful_trials = 0;
}

void ejection_state::on_started(time_point now) {
  if (on_trial(now)) {
    ++m_outstanding_trials;
  }
}

void ejection_state::on_ended() {
  // Requests sent before the ejection end here too, so the count of trials may be too low, but never
  // negative.
  if (m_outstanding_trials > 0) {
    --m_outstanding_trials;
  }
}

bool ejection_state::usable(time_point now, const ejection_options& options) const {
  if (!m_ejected) {
    return true;
  }
  return now >= m_ejected_until && m_outstanding_trials < options.max_concurrent_trials;
}

}  // namespace cuminpath::routing
