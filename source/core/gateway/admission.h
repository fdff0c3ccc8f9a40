// Admission control: decides whether a request may be dispatched to an upstream now. Protects urgent requests
// from load spikes: less urgent priorities leave capacity unused, so that urgent requests find a free slot at
// once, both during a spike of the least urgent priority and during a spike of the most urgent one that
// follows.
#pragma once

#include <cstdint>
#include <optional>

#include "core/common/time.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {

struct admission_request {
  // Relative to the most urgent priority of the service, so that no capacity is kept for requests that do not
  // exist; 0 is the most urgent.
  std::uint32_t priority = 0;
  bool engine = false;  // The service batches requests; otherwise each slot runs one.
  milliseconds time_left{0};
  // Utilization of the engines at which their forward passes just meet the event gap target; absent if that
  // is not known. See concurrency_limiter.
  std::optional<double> max_pass_utilization = std::nullopt;
  // The rest of a stream that has begun may use the places that are kept for more urgent requests.
  bool resumes = false;
  bool is_retry = false;  // The caller has been refused before and retries; see retry_detector.
  double slot_share = 0;  // Share of an engine's slots that one request uses.
  // No upstream of the service serves requests now; see service_availability.
  bool service_unavailable = false;
};

// Tracks whether a service as a whole serves requests. Upstreams that start and groups that form refuse
// everything for a second or two; callers that retry within that time are refused again.
class service_availability {
public:
  void on_served(time_point now) { m_last_served = now; }
  void on_refused(time_point now) { m_last_refused = now; }
  // Returns true if upstreams have refused requests lately and none has served any for a while.
  [[nodiscard]] bool unavailable(time_point now) const;

private:
  time_point m_last_served{};
  time_point m_last_refused{};
};

// Distinguishes retries of refused callers from new requests: a retrying caller has less time left than
// callers of its route have at first. Retries are admitted before new requests of the same priority, because
// a second refusal is final for the caller.
class retry_detector {
public:
  // Records the time left that a request states. Returns true if the request has been refused before.
  bool observe(milliseconds time_left);
  // Returns what observe() would return, without recording anything.
  [[nodiscard]] bool is_retry(milliseconds time_left) const;

private:
  milliseconds m_max_time_left{0};  // The largest value stated by a caller of the route.
};

// Returns how many requests may be outstanding at one upstream for a request of this priority still to be
// dispatched there, as a multiple of the upstream's slots.
double max_utilization(const admission_request& request);

// Returns false if one more request would make the forward passes of the service's engines too long for the
// streams that run there. Less urgent priorities are refused earlier, which leaves capacity for urgent
// requests.
bool keeps_passes_on_time(const upstream_table::service_totals& totals, const admission_request& request);

// Returns how scarce slots are for requests of this priority: 0 while more are free than those that come
// before others need, 1 if none is free within the limits above. Without upstreams it is 0; such requests are
// refused for that reason.
double scarcity(const upstream_table::service_totals& totals, const admission_request& request);

// Returns false if all free places of the service's upstreams are needed for `waiting` streams that have lost
// their upstream.
bool leaves_places(const upstream_table::service_totals& totals, std::uint32_t waiting);

// The time that a refused caller is told to wait: `base_ms` (milliseconds) multiplied by a random factor from
// `min_factor` to `max_factor`, which keeps callers that are refused together from retrying together.
struct retry_wait {
  double base_ms = 0;
  double min_factor = 1;
  double max_factor = 1;
};
retry_wait retry_wait_range(const upstream_table::service_totals& totals, milliseconds mean_service,
                            const admission_request& request);

// Returns the time after which a refused caller finds a free slot if requests keep ending at the present
// rate. `mean_service` is the mean duration of a request at an upstream of the service.
milliseconds retry_after(const upstream_table::service_totals& totals, milliseconds mean_service,
                         const admission_request& request, random_source& random);

}  // namespace cuminpath::gateway
