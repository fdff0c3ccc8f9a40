#include "core/balancer/pass_clock.h"

namespace cuminpath::balancer {
namespace {

// Weight of the newest reading; it covers some passes, so the mean follows within half a second.
constexpr double k_weight = 0.4;
// An idle group makes no passes. A longer pause says nothing about them.
constexpr milliseconds k_longest_reading{1000};

}  // namespace

void pass_clock::observe(std::uint64_t epoch, std::uint64_t step, time_point at) {
  if (m_last && m_last->epoch == epoch && step == m_last->step) {
    return;
  }
  if (m_last && m_last->epoch == epoch && step > m_last->step && at - m_last->at <= k_longest_reading) {
    const double sample = std::chrono::duration<double, std::milli>(at - m_last->at).count() /
                          static_cast<double>(step - m_last->step);
    m_mean_ms = m_mean_ms == 0 ? sample : (1 - k_weight) * m_mean_ms + k_weight * sample;
  }
  m_last = {epoch, step, at};
}

milliseconds pass_clock::mean() const {
  return milliseconds(static_cast<std::int64_t>(m_mean_ms));
}

}  // namespace cuminpath::balancer
