#include "core/gateway/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cuminpath::gateway {
namespace {

// Utilization of an engine up to which requests of each priority are dispatched; priorities beyond the table
// use the last value. Above 1 the engine queues requests in order of urgency.
constexpr std::array<double, 3> k_max_engine_utilization{1.0, 0.85, 0.7};
// A request whose time left is below this share of the longest time left on its route is a retry: the caller
// has used the rest of the time.
constexpr double k_min_first_attempt_time_share = 0.99;
// Share of the capacity for on-time passes that is added to the share below for retries.
constexpr double k_retry_share_bonus = 0.04;
// Share of the capacity for on-time passes that each priority may use; priorities beyond the table use the
// last value.
constexpr std::array<double, 3> k_max_pass_capacity_share{1.0, 0.93, 0.86};
// Engines are used up to this utilization however long their passes take: below it, slots would stay empty
// while callers wait.
constexpr double k_min_engine_utilization = 0.5;
// A plain service runs one request in each slot and queues a few more.
constexpr double k_max_service_utilization = 2.5;
// Bounds of Retry-After. Callers wait for at most a third of the time that they have left.
constexpr milliseconds k_min_retry_after{100};
constexpr double k_max_retry_after_time_share = 0.3;

// A service counts as unavailable if upstreams have refused requests within this time and none has served
// one.
constexpr milliseconds k_unavailable_after{400};
// Callers that wait until the first upstream accepts requests again retry within this share of the waiting
// time after its end.
constexpr double k_max_backoff_jitter = 0.5;
// Retry-After while the service is unavailable: upstreams register within about two seconds of their start,
// and groups form within the same time.
constexpr milliseconds k_unavailable_retry_after{2000};

// Retry-After while all upstreams are cold: a sender may send again within a second, and other senders serve
// other upstreams in the meantime.
constexpr milliseconds k_cold_retry_after{500};

// Slots are scarce if fewer are free than this times the square root of the usable ones. Some of them stay
// free under overload, so there are no more than the number in use varies by: a limit of 0.02 of 720 slots
// left 2% of them unused; see docs/design/workspace-shares.md.
constexpr double k_scarce_slot_factor = 0.25;
// Lower bound for services with few slots.
constexpr double k_min_scarce_slots = 2;

// Returns the mean utilization of engines at which passes would get too long. Requires max_pass_utilization.
double pass_limit(const admission_request& request) {
  const double share = k_max_pass_capacity_share.at(
                           std::min<std::size_t>(request.priority, k_max_pass_capacity_share.size() - 1)) +
                       (request.is_retry ? k_retry_share_bonus : 0);
  return std::max(k_min_engine_utilization, share * *request.max_pass_utilization);
}

}  // namespace

bool service_availability::unavailable(time_point now) const {
  return m_last_refused != time_point{} && now - m_last_refused <= k_unavailable_after &&
         now - m_last_served > k_unavailable_after;
}

bool retry_detector::observe(milliseconds time_left) {
  m_max_time_left = std::max(m_max_time_left, time_left);
  return is_retry(time_left);
}

bool retry_detector::is_retry(milliseconds time_left) const {
  const milliseconds longest = std::max(m_max_time_left, time_left);
  return static_cast<double>(time_left.count()) <
         k_min_first_attempt_time_share * static_cast<double>(longest.count());
}

double max_utilization(const admission_request& request) {
  if (!request.engine) {
    return k_max_service_utilization;
  }
  if (request.resumes) {
    return k_max_engine_utilization.front();
  }
  const double utilization = k_max_engine_utilization.at(
      std::min<std::size_t>(request.priority, k_max_engine_utilization.size() - 1));
  // `max_pass_utilization` limits the mean. All ranks of a group wait for the one with the most requests,
  // which may have one request more than the mean.
  return request.max_pass_utilization
             ? std::min(utilization, std::max(k_min_engine_utilization, *request.max_pass_utilization) +
                                         request.slot_share)
             : utilization;
}

bool keeps_passes_on_time(const upstream_table::service_totals& totals, const admission_request& request) {
  if (!request.max_pass_utilization || totals.slots == 0) {
    return true;
  }
  const double utilization = static_cast<double>(totals.outstanding) / totals.slots;
  return utilization < pass_limit(request);
}

double scarcity(const upstream_table::service_totals& totals, const admission_request& request) {
  if (totals.slots == 0) {
    return 0;
  }
  double utilization = max_utilization(request);
  if (request.max_pass_utilization) {
    utilization = std::min(utilization, pass_limit(request));
  }
  const double usable = utilization * totals.slots;
  const double headroom = std::max(k_scarce_slot_factor * std::sqrt(usable), k_min_scarce_slots);
  return std::clamp(1 - (usable - totals.outstanding) / headroom, 0.0, 1.0);
}

bool leaves_places(const upstream_table::service_totals& totals, std::uint32_t waiting) {
  return totals.outstanding + waiting < totals.slots;
}

retry_wait retry_wait_range(const upstream_table::service_totals& totals, milliseconds mean_service,
                            const admission_request& request) {
  const double capacity = std::max(1.0, max_utilization(request) * totals.slots);
  const double excess = std::max(0.0, totals.outstanding - capacity) + 1;
  const double queue_ms = static_cast<double>(mean_service.count()) * excess / capacity;
  if (totals.all_reject_for) {
    // No caller is served before the first upstream accepts requests again.
    return {.base_ms = static_cast<double>(totals.all_reject_for->count()),
            .min_factor = 1,
            .max_factor = 1 + k_max_backoff_jitter};
  }
  // Callers cannot be served before the operator restores a zone.
  const bool unavailable = request.service_unavailable || (totals.upstreams == 0 && totals.evacuated > 0);
  const bool all_cold = totals.upstreams > 0 && totals.cold == totals.upstreams;
  const double wait_ms = unavailable ? static_cast<double>(k_unavailable_retry_after.count())
                         : all_cold  ? std::max(queue_ms, static_cast<double>(k_cold_retry_after.count()))
                                     : queue_ms;
  const double max_wait_ms = k_max_retry_after_time_share * static_cast<double>(request.time_left.count());
  const double min_wait_ms = static_cast<double>(k_min_retry_after.count());
  // Jitter over the second half of the wait.
  return {.base_ms = std::clamp(wait_ms, min_wait_ms, std::max(min_wait_ms, max_wait_ms)),
          .min_factor = 0.5,
          .max_factor = 1};
}

milliseconds retry_after(const upstream_table::service_totals& totals, milliseconds mean_service,
                         const admission_request& request, random_source& random) {
  const retry_wait wait = retry_wait_range(totals, mean_service, request);
  const double factor =
      wait.min_factor + std::uniform_real_distribution<double>(0, wait.max_factor - wait.min_factor)(random);
  return milliseconds(static_cast<std::int64_t>(wait.base_ms * factor));
}

}  // namespace cuminpath::gateway
