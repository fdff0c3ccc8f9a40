#include "core/balancer/switch_lead_estimator.h"

#include <algorithm>
#include <vector>

namespace cuminpath::balancer {
namespace {

// Used until a switch has been observed. Switches without unanswered orders have taken 130 to 190 ms from
// `hold` to the pass of the switch.
constexpr milliseconds k_initial_lead{200};
// Two reports of statuses that are 20 ms old, and one order.
constexpr milliseconds k_min_lead{50};
// Popularity shifts every 2 to 4 s, so a map that comes later than this loses more than a short pause costs.
constexpr milliseconds k_max_lead{400};
// With a shift every 2 to 4 s, these cover about a minute.
constexpr std::size_t k_max_times = 20;
// Share of switches that should not pause the group. One slow switch in 20 does not raise the lead.
constexpr double k_quantile = 0.9;

}  // namespace

void switch_lead_estimator::observe(milliseconds hold_to_release) {
  m_times.push_back(hold_to_release);
  if (m_times.size() > k_max_times) {
    m_times.pop_front();
  }
}

milliseconds switch_lead_estimator::lead() const {
  if (m_times.empty()) {
    return k_initial_lead;
  }
  std::vector<milliseconds> sorted(m_times.begin(), m_times.end());
  std::sort(sorted.begin(), sorted.end());
  const auto index = static_cast<std::size_t>(k_quantile * static_cast<double>(sorted.size()));
  return std::clamp(sorted[std::min(index, sorted.size() - 1)], k_min_lead, k_max_lead);
}

}  // namespace cuminpath::balancer
