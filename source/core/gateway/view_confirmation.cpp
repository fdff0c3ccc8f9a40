#include "core/gateway/view_confirmation.h"

#include <algorithm>

namespace cuminpath::gateway {

void view_confirmation::confirm(std::string_view source, time_point at) {
  if (at < m_confirmed_at) {
    return;
  }
  m_longest_age = std::max(m_longest_age, age(at));
  m_confirmed_at = at;
  m_source = source;
}

milliseconds view_confirmation::age(time_point now) const {
  return std::chrono::duration_cast<milliseconds>(now - m_confirmed_at);
}

std::optional<view_confirmation::change> view_confirmation::take_change(time_point now) {
  const bool stale = age(now) >= k_stale_after;
  if (stale == m_stale) {
    m_longest_age = stale ? std::max(m_longest_age, age(now)) : milliseconds{0};
    return std::nullopt;
  }
  m_stale = stale;
  return change{stale, stale ? age(now) : m_longest_age};
}

}  // namespace cuminpath::gateway
