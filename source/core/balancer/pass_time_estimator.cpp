#include "core/balancer/pass_time_estimator.h"

namespace cuminpath::balancer {
namespace {

// Weight of the newest sample. A sample covers several passes, so the mean adapts within half a second.
constexpr double k_sample_weight = 0.4;
// A longer time between two reads is ignored: an idle group makes no passes, so it says nothing about their
// duration.
constexpr milliseconds k_max_sample_time{1000};

}  // namespace

void pass_time_estimator::observe(std::uint64_t epoch, std::uint64_t step, time_point at) {
  if (m_last && m_last->epoch == epoch && step == m_last->step) {
    return;
  }
  if (m_last && m_last->epoch == epoch && step > m_last->step && at - m_last->at <= k_max_sample_time) {
    const double sample = std::chrono::duration<double, std::milli>(at - m_last->at).count() /
                          static_cast<double>(step - m_last->step);
    m_mean_ms = m_mean_ms == 0 ? sample : (1 - k_sample_weight) * m_mean_ms + k_sample_weight * sample;
  }
  m_last = {epoch, step, at};
}

milliseconds pass_time_estimator::mean() const {
  return milliseconds(static_cast<std::int64_t>(m_mean_ms));
}

}  // namespace cuminpath::balancer
