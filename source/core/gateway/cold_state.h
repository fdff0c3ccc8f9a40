// Whether an upstream is cold: it has started shortly before, and handles few requests until it has warmed
// up. When in doubt it counts as cold.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/common/time.h"

namespace cuminpath::gateway {

// What the configuration and the settings of the gateway say about cold upstreams of a service.
struct cold_policy {
  milliseconds cold_start{0};   // For how long an upstream is cold after a start during traffic.
  std::uint32_t max_per_s = 0;  // Requests that all gateways may send to it in a second; 0 if not limited.

  bool operator==(const cold_policy&) const = default;
};

class cold_state {
public:
  // The upstream, or its row, states for how long it stays cold from now on. A shorter time than one stated
  // before does not count: rows and responses can overtake each other.
  void on_statement(milliseconds cold_for, time_point now) { m_until = std::max(m_until, now + cold_for); }
  // It may have started just now, without a statement.
  void on_possible_start(time_point now) { m_possible_start = now; }
  // It does not respond. If that is because it restarts, its row may arrive after its first responses.
  void on_unreachable() { m_unreachable = true; }
  void on_reachable(time_point now) {
    if (m_unreachable) {
      m_unreachable = false;
      on_possible_start(now);
    }
  }

  [[nodiscard]] time_point until(const cold_policy& policy) const {
    return m_possible_start == time_point{} ? m_until
                                            : std::max(m_until, m_possible_start + policy.cold_start);
  }
  [[nodiscard]] bool cold(const cold_policy& policy, time_point now) const {
    return policy.max_per_s > 0 &&
           (now < until(policy) || (m_unreachable && policy.cold_start > milliseconds{0}));
  }

private:
  time_point m_until{};
  time_point m_possible_start{};
  bool m_unreachable = false;
};

}  // namespace cuminpath::gateway
