// How many requests an engine can run so that its passes stay shorter than the pause that still counts as
// punctual. Answers floods during shifts of expert popularity: while a map is uneven, each request lengthens
// the pass several times as much as before, and one long pass makes every stream that meets it late. Refusing
// once passes have grown comes too late for the streams that run, so the limit goes by the worst of the last
// shifts.
#pragma once

#include <optional>

#include "core/common/time.h"
#include "core/gateway/configuration.h"

namespace cuminpath::gateway {

class pass_limit {
public:
  // An event of a stream came `gap` after the one before, which is the length of a pass. `running` requests
  // were at each engine of the service on average.
  void observe(duration gap, double running, const engine_cost& cost, time_point now);

  // Requests at one engine with which a pass stays under `longest` when the next shift comes; absent if that
  // is not known.
  [[nodiscard]] std::optional<double> room(milliseconds longest, const engine_cost& cost,
                                           time_point now) const;

private:
  // What one request adds to a pass, in milliseconds.
  double m_mean_ms = 0;  // Moving average.
  double m_peak_ms = 0;  // The largest average, which fades.
  std::optional<time_point> m_observed;
};

}  // namespace cuminpath::gateway
