// Outlier ejection of one upstream: healthy -> ejected for a time -> a bounded number of trial requests ->
// healthy.
#pragma once

#include <cstdint>

#include "core/common/time.h"

namespace cuminpath::routing {

struct ejection_options {
  bool enabled = true;
  // scripts/bench ejection compares these defaults with other values.
  std::uint32_t consecutive_failures = 2;  // 0 disables this condition.
  // Consecutive failures do not detect an upstream that fails every other request; the failure rate does.
  double failure_rate = 0.5;
  std::uint32_t min_samples = 8;
  // Each recent failure adds as much load as if all slots were in use.
  bool failure_penalty = true;
  // Doubles with each consecutive ejection, up to the maximum.
  milliseconds base_duration{10000};
  milliseconds max_duration{20000};
  std::uint32_t max_concurrent_trials = 1;
  std::uint32_t trials_to_restore = 2;
  // A fault with the same cause everywhere must not take the whole fleet out of service.
  double max_ejected_share = 0.7;
};

class ejection_state {
public:
  // `may_eject` is false while too large a share of the upstreams is ejected already.
  void on_success(time_point now, const ejection_options& options);
  void on_failure(time_point now, const ejection_options& options, bool may_eject);
  void on_started(time_point now);
  // Counterpart of on_started(); called whatever the outcome.
  void on_ended();

  // Returns the number of failures of the last seconds; it decays over time and is halved by each success. An
  // upstream that fails immediately has no load, so without a penalty it attracts requests until it is
  // ejected.
  [[nodiscard]] double recent_failures(time_point now) const;
  [[nodiscard]] bool ejected(time_point now) const { return m_ejected && now < m_ejected_until; }
  [[nodiscard]] bool on_trial(time_point now) const { return m_ejected && now >= m_ejected_until; }
  [[nodiscard]] bool usable(time_point now, const ejection_options& options) const;
  // Returns true if the upstream is ejected or on trial.
  [[nodiscard]] bool ejected_or_on_trial() const { return m_ejected; }

private:
  void eject(time_point now, const ejection_options& options);

  time_point m_ejected_until{};
  time_point m_recent_failures_at{};
  double m_recent_failures = 0;  // Value at m_recent_failures_at; decays since then.
  double m_failure_rate = 0;     // Moving average over about ten requests.
  std::uint32_t m_samples = 0;
  std::uint32_t m_consecutive_failures = 0;
  std::uint32_t m_ejections = 0;  // Consecutive ejections; bounded by the limit on doublings.
  std::uint32_t m_outstanding_trials = 0;
  std::uint32_t m_successful_trials = 0;
  bool m_ejected = false;
};

}  // namespace cuminpath::routing
