// Decides when a balancer that has been told to stop leaves its group and ends.
#pragma once

#include <cstdint>

#include "core/common/time.h"

namespace cuminpath::balancer {

enum class stop_stage : std::uint8_t {
  finishing,  // Takes part in the switch under way.
  leaving,    // Tells the group that it leaves. Its rank is driven by the leader from then on.
  ended,
};

class planned_stop {
public:
  // `grace_period` is the time from the signal until the platform kills the process.
  planned_stop(time_point signalled_at, milliseconds grace_period);

  [[nodiscard]] time_point signalled_at() const { return m_signalled_at; }
  // From then on the balancer leaves although it is still needed. The next leader needs the rest of the grace
  // period for a switch that could not be ended.
  [[nodiscard]] time_point finish_by() const { return m_finish_by; }

  // Advances the stop. `needed` tells whether the switch under way depends on this balancer. Called once for
  // each report that the balancer can send while it leaves.
  stop_stage advance(bool needed, time_point now);

private:
  time_point m_signalled_at;
  time_point m_finish_by;
  std::uint32_t m_last_reports = 0;  // Sent since the balancer leaves.
};

}  // namespace cuminpath::balancer
