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
};

// Most requests at one upstream for which a request of that rank is still placed, in slots of the upstream.
double max_fill(const admission_request& request);

// Time after which a refused caller finds a place if others keep leaving as they do; `mean_service` is the
// mean time of a request at an upstream of the service.
milliseconds retry_after(const upstream_table::service_totals& totals, milliseconds mean_service,
                         const admission_request& request, random_source& random);

}  // namespace cuminpath::gateway
