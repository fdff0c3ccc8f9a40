#include "core/gateway/admission.h"

#include <algorithm>
#include <array>

namespace cuminpath::gateway {
namespace {

// Fill of an engine up to which each rank is placed; later ranks use the last figure. Above 1 the engine
// queues, in the order of urgency.
constexpr std::array<double, 3> k_engine_fill{1.0, 0.85, 0.7};
// A caller that states less than this part of the longest time left of its route has used the rest.
constexpr double k_first_share_of_time = 0.99;
// Part of the room for punctual passes that each rank may fill; later ranks use the last figure.
constexpr double k_returned_share = 0.04;  // More than that for callers who come back.
constexpr std::array<double, 3> k_pass_share{1.0, 0.93, 0.86};
// However long passes take, engines are filled to this: with less, places would stand empty while callers
// wait.
constexpr double k_least_engine_fill = 0.5;
// A plain service runs a request in each slot and queues a few more.
constexpr double k_service_fill = 2.5;
// Bounds of Retry-After. Callers honour up to a third of the time that they have left.
constexpr milliseconds k_min_retry_after{100};
constexpr double k_max_share_of_time_left = 0.3;

// A service counts as away if upstreams have refused within this time and none has served.
constexpr milliseconds k_away_after{400};
// Callers that wait for the first upstream to take requests again come back within this share of that time
// after it.
constexpr double k_turn_away_spread = 0.5;
// Upstreams register within about two seconds of their start, and groups form meanwhile.
constexpr milliseconds k_away_wait{2000};

}  // namespace

bool service_outlook::away(time_point now) const {
  return m_refused != time_point{} && now - m_refused <= k_away_after && now - m_served > k_away_after;
}

bool return_watch::observe(milliseconds time_left) {
  m_longest = std::max(m_longest, time_left);
  return static_cast<double>(time_left.count()) <
         k_first_share_of_time * static_cast<double>(m_longest.count());
}

double max_fill(const admission_request& request) {
  if (!request.engine) {
    return k_service_fill;
  }
  const double fill = k_engine_fill.at(std::min<std::size_t>(request.rank, k_engine_fill.size() - 1));
  // All ranks of a group wait for the fullest one.
  return request.pass_fill ? std::min(fill, std::max(k_least_engine_fill, *request.pass_fill) + request.place)
                           : fill;
}

bool keeps_passes_short(const upstream_table::service_totals& totals, const admission_request& request) {
  if (!request.pass_fill || totals.slots == 0) {
    return true;
  }
  const double share = k_pass_share.at(std::min<std::size_t>(request.rank, k_pass_share.size() - 1)) +
                       (request.returned ? k_returned_share : 0);
  const double fill = static_cast<double>(totals.outstanding) / totals.slots;
  return fill < std::max(k_least_engine_fill, share * *request.pass_fill);
}

milliseconds retry_after(const upstream_table::service_totals& totals, milliseconds mean_service,
                         const admission_request& request, random_source& random) {
  const double places = std::max(1.0, max_fill(request) * totals.slots);
  const double excess = std::max(0.0, totals.outstanding - places) + 1;
  const double queue_ms = static_cast<double>(mean_service.count()) * excess / places;
  if (totals.all_turn_away_for) {
    // Nobody is served before the first upstream takes requests again.
    const double spread = 1 + std::uniform_real_distribution<double>(0, k_turn_away_spread)(random);
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(totals.all_turn_away_for->count()) * spread));
  }
  const double wait_ms = request.service_away ? static_cast<double>(k_away_wait.count()) : queue_ms;
  const double most_ms = k_max_share_of_time_left * static_cast<double>(request.time_left.count());
  // Spread over the second half, so that callers refused together don't come back together.
  const double spread = 0.5 + std::uniform_real_distribution<double>(0, 0.5)(random);
  const double least_ms = static_cast<double>(k_min_retry_after.count());
  return milliseconds(
      static_cast<std::int64_t>(std::clamp(wait_ms, least_ms, std::max(least_ms, most_ms)) * spread));
}

}  // namespace cuminpath::gateway
