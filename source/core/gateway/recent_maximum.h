// The largest of the durations that were observed recently.
#pragma once

#include <optional>

#include "core/common/time.h"

namespace cuminpath::gateway {

// Forgets an observation after between one and two periods.
class recent_maximum {
public:
  explicit recent_maximum(duration period = seconds{15}) : m_period(period) {}

  void observe(duration value, time_point now);
  // Absent if nothing was observed recently.
  [[nodiscard]] std::optional<duration> value(time_point now) const;

private:
  void advance(time_point now);

  duration m_period;
  time_point m_period_start{};
  std::optional<duration> m_current;
  std::optional<duration> m_previous;
};

}  // namespace cuminpath::gateway
