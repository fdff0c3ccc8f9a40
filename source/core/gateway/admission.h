// Whether a request may take a place at an upstream now. Answers the floods of the lowest rank, and the flood
// of the most urgent rank that follows: lower ranks leave room, so that urgent work finds a place at once.
#pragma once

#include <cstdint>
#include <optional>

#include "core/common/time.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {

struct admission_request {
  std::uint32_t rank = 0;  // 0 is the most urgent.
  bool engine = false;     // The service batches requests; else each slot runs one.
  milliseconds time_left{0};
  // Fill of the engines with which their passes are just punctual; absent if that is not known. See
  // pass_limit.
  std::optional<double> pass_fill = std::nullopt;
  bool returned = false;      // The caller has been refused before; see return_watch.
  double place = 0;           // Fill that one request is of an engine.
  bool service_away = false;  // No upstream of the service runs anything now; see service_outlook.
};

// Whether a service as a whole runs requests. Upstreams that start, and groups that form, refuse everything
// for a second or two; callers that come back within that time are refused again.
class service_outlook {
public:
  void on_served(time_point now) { m_served = now; }
  void on_refused(time_point now) { m_refused = now; }
  // Refusals of upstreams, and nothing served for a while.
  [[nodiscard]] bool away(time_point now) const;

private:
  time_point m_served{};
  time_point m_refused{};
};

// Tells callers that come back after a refusal from new ones: they have less time left than callers of their
// route have at first. They go before new ones of their rank, since a second refusal is their last.
class return_watch {
public:
  // Whether a request that states this time left has been refused before.
  bool observe(milliseconds time_left);

private:
  milliseconds m_longest{0};  // That a caller of the route has stated.
};

// Most requests at one upstream for which a request of that rank is still placed, in slots of the upstream.
double max_fill(const admission_request& request);

// False if one request more would make passes of the service's engines too long for the streams that run
// there. Less urgent ranks stay out earlier, so that there is room for urgent work.
bool keeps_passes_short(const upstream_table::service_totals& totals, const admission_request& request);

// Time after which a refused caller finds a place if others keep leaving as they do; `mean_service` is the
// mean time of a request at an upstream of the service.
milliseconds retry_after(const upstream_table::service_totals& totals, milliseconds mean_service,
                         const admission_request& request, random_source& random);

}  // namespace cuminpath::gateway
