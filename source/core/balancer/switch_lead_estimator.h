// Estimates how far ahead the pass of a switch must be set so that the group does not pause for it.
#pragma once

#include <deque>

#include "core/common/time.h"

namespace cuminpath::balancer {

class switch_lead_estimator {
public:
  switch_lead_estimator();

  // Records the time from the decision to hold a rank until the leader has seen that rank released.
  void observe(milliseconds hold_to_release);
  // Returns the time between that decision and the pass of the switch: a high quantile of recent times,
  // within fixed bounds.
  [[nodiscard]] milliseconds lead() const;

private:
  std::deque<milliseconds> m_times;  // The most recent ones.
};

}  // namespace cuminpath::balancer
