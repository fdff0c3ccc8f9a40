// Limits the number of requests at an engine so that its forward passes stay shorter than the maximum pause
// between events of an on-time stream. It protects streams from load spikes during shifts of expert
// popularity: while the expert map is uneven, each request lengthens a pass several times as much as before,
// and one long pass makes every stream on the engine late. Refusing requests only after passes have grown
// comes too late for the streams that already run, so the limit is computed from the worst of the recent
// shifts.
#pragma once

#include <optional>

#include "core/common/time.h"
#include "core/gateway/configuration.h"

namespace cuminpath::gateway {

class concurrency_limiter {
public:
  // Records that an event of a stream arrived `gap` after the previous one, which is the length of a pass,
  // while `running` requests were at each engine of the service on average.
  void observe(duration gap, double running, const engine_cost& cost, time_point now);

  // Returns the number of requests at one engine with which a pass stays under `max_gap` at the next shift;
  // absent if that is not known.
  [[nodiscard]] std::optional<double> max_requests(milliseconds max_gap, const engine_cost& cost,
                                                   time_point now) const;

private:
  // Milliseconds that one request adds to a pass.
  double m_mean_ms = 0;  // Moving average.
  double m_peak_ms = 0;  // Largest recent average; decays over time.
  std::optional<time_point> m_observed_at;
};

}  // namespace cuminpath::gateway
