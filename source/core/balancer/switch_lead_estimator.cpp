#include "core/balancer/switch_lead_estimator.h"

#include <algorithm>
#include <vector>

namespace cuminpath::balancer {
namespace {

// Switches without unanswered orders take 70 to 100 ms. Counts as several earlier times, so that one slow
// switch after the start does not decide alone.
constexpr milliseconds k_initial_time{100};
constexpr std::size_t k_initial_times = 4;
// Two reports of statuses that are 20 ms old, and one order.
constexpr milliseconds k_min_lead{50};
// While the map is uneven, each pass can be too long for streams to be on time, so a later map costs more
// than one pause: with a lead of 388 ms maps came 0.3 to 0.7 s after all ranks were armed.
constexpr milliseconds k_max_lead{200};
constexpr std::size_t k_max_times = 8;
constexpr double k_quantile = 0.75;

}  // namespace

switch_lead_estimator::switch_lead_estimator() : m_times(k_initial_times, k_initial_time) {}

void switch_lead_estimator::observe(milliseconds hold_to_release) {
  m_times.push_back(hold_to_release);
  if (m_times.size() > k_max_times) {
    m_times.pop_front();
  }
}

milliseconds switch_lead_estimator::lead() const {
  std::vector<milliseconds> sorted(m_times.begin(), m_times.end());
  std::sort(sorted.begin(), sorted.end());
  const auto index = static_cast<std::size_t>(k_quantile * static_cast<double>(sorted.size()));
  return std::clamp(sorted[std::min(index, sorted.size() - 1)], k_min_lead, k_max_lead);
}

}  // namespace cuminpath::balancer
