// Limits the number of requests at an engine so that its forward passes stay shorter than the maximum pause
// between events of an on-time stream. It protects streams from load spikes during shifts of expert
// popularity: while the expert map is uneven, each request lengthens a pass several times as much as before,
// and one long pass makes every stream on the engine late. Refusing requests only after passes have grown
// comes too late for the streams that already run, so the limit is computed from the worst of the recent
// shifts.
//
// A stall pauses all streams of a group together and ends with one pass: a hold for a switch of the expert
// map, or a frozen host. It says nothing about what a request costs. The streams of a gateway yield one
// sample for each pass, and a pass counts only as long as the middle one of the last three.
#pragma once

#include <array>
#include <cstdint>
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
  struct estimate {
    double mean_ms = 0;  // Moving average.
    double peak_ms = 0;  // Largest recent average; decays over time.
    time_point at{};     // The peak has decayed up to here.
  };
  // The pass whose events arrive now.
  struct pass {
    time_point began{};
    double sum_ms = 0;  // Of the samples of its events.
    std::uint32_t events = 0;

    [[nodiscard]] double mean_ms() const { return sum_ms / events; }
  };

  void begin_pass(time_point now);
  // Returns what a request adds according to the current pass and those before it.
  [[nodiscard]] double robust_sample_ms() const;

  pass m_pass;
  std::array<double, 2> m_previous_passes_ms{};  // The newest first.
  std::uint32_t m_previous_passes = 0;           // Number of valid elements above.
  estimate m_before;                             // Without the current pass.
  estimate m_current;                            // With the events of the current pass so far.
  std::optional<time_point> m_observed_at;
};

}  // namespace cuminpath::gateway
