// Smooths expert loads and estimates how long their pattern lasts.
#pragma once

#include <optional>

#include "core/common/time.h"
#include "core/placement/expert_map.h"

namespace cuminpath::placement {

class drift_estimator {
public:
  // `smoothing` is the weight of the newest interval, in (0, 1].
  explicit drift_estimator(double smoothing = 0.5) : m_smoothing(smoothing) {}

  // Adds the token counts of an interval that ended at `now`.
  void add(time_point now, const expert_loads& counts);

  // Returns the smoothed counts, or nothing before the first interval.
  [[nodiscard]] const expert_loads& loads() const { return m_loads; }

  // Returns the expected time until a tenth of the tokens goes to other experts, because that much drift
  // cancels the gain of a plan. Between one interval and an hour; ten minutes until there are two intervals.
  [[nodiscard]] double expected_lifetime_s() const;

private:
  double m_smoothing;
  expert_loads m_loads;
  std::optional<time_point> m_last_interval_end;
  std::optional<double> m_change_per_s;
  double m_interval_s = 0;
};

}  // namespace cuminpath::placement
