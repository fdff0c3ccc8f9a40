#include "core/gateway/stop_schedule.h"

#include <algorithm>

namespace cuminpath::gateway {
namespace {

// Some callers use an answer of the directory for this many of its lifetimes.
constexpr int k_lifetimes_in_use = 3;
// Lifetimes for which a gateway accepts longer requests if no other gateway is ready. Less than two, since a
// busy process handles the signal late.
constexpr double k_lifetimes_alone = 1.75;
// Time left for a late request, in multiples of the longest service time: it may meet an upstream that
// stalls.
constexpr int k_late_service_margin = 4;
// Left of the grace period when the process ends, since the platform counts from before the signal arrived.
constexpr milliseconds k_exit_margin{300};
// For sending the last responses and for callers to read them.
constexpr milliseconds k_send_time{400};
// Both together take at most this part of a short grace period.
constexpr int k_margin_divisor = 6;

}  // namespace

stop_schedule::stop_schedule(time_point signalled_at, milliseconds grace_period, milliseconds directory_ttl)
    : m_signalled_at(signalled_at), m_answers_expire_at(signalled_at + directory_ttl) {
  const milliseconds margin = std::min(k_send_time + k_exit_margin, grace_period / k_margin_divisor);
  m_respond_by = signalled_at + grace_period - margin;
  m_exit_by = m_respond_by + margin * k_send_time.count() / (k_send_time + k_exit_margin).count();
  const auto time_alone = std::chrono::floor<milliseconds>(k_lifetimes_alone * directory_ttl);
  m_alone_until = std::min<time_point>(signalled_at + time_alone, m_respond_by);
  m_exit_from = std::min<time_point>(signalled_at + k_lifetimes_in_use * directory_ttl, m_respond_by);
}

bool stop_schedule::accepts(const late_request& request, bool other_gateway_ready, time_point now) const {
  if (request.deadline <= m_respond_by) {
    return true;
  }
  if (!request.longest_service_time) {
    return false;
  }
  const duration longest = *request.longest_service_time;
  const time_point end_of_early_part = other_gateway_ready ? m_answers_expire_at : m_alone_until;
  if (now < end_of_early_part && now + longest <= m_respond_by) {
    return true;
  }
  return !request.streamed && now < exit_from(other_gateway_ready) &&
         now + k_late_service_margin * longest <= m_respond_by;
}

}  // namespace cuminpath::gateway
