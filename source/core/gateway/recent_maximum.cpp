#include "core/gateway/recent_maximum.h"

#include <algorithm>

namespace cuminpath::gateway {

void recent_maximum::advance(time_point now) {
  if (now - m_period_start < m_period) {
    return;
  }
  m_previous = now - m_period_start < 2 * m_period ? m_current : std::nullopt;
  m_current.reset();
  m_period_start = now;
}

void recent_maximum::observe(duration value, time_point now) {
  advance(now);
  m_current = std::max(m_current.value_or(value), value);
}

std::optional<duration> recent_maximum::value(time_point now) const {
  recent_maximum present = *this;
  present.advance(now);
  // An absent value compares as the smallest.
  return std::max(present.m_current, present.m_previous);
}

}  // namespace cuminpath::gateway
