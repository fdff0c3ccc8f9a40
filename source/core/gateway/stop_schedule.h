// Decides what a gateway accepts during its planned stop, and by when its requests and the process end.
#pragma once

#include <optional>

#include "core/common/time.h"

namespace cuminpath::gateway {

// What a gateway knows of a request that arrives during its planned stop.
struct late_request {
  time_point deadline;
  // Of the requests of its route that have ended recently; absent if there were none.
  std::optional<duration> longest_service_time;
  bool streamed = false;
};

// Times of a planned stop.
class stop_schedule {
public:
  // `grace_period` is the time from the signal until the platform kills the process, `directory_ttl` the
  // lifetime of an answer of the directory.
  stop_schedule(time_point signalled_at, milliseconds grace_period, milliseconds directory_ttl);

  [[nodiscard]] time_point signalled_at() const { return m_signalled_at; }
  // Until then, callers may use an answer of the directory from before the signal.
  [[nodiscard]] time_point answers_expire_at() const { return m_answers_expire_at; }
  // The process stays until then to answer callers that use an answer for longer than its lifetime. If no
  // other gateway is ready, its successor is needed sooner.
  [[nodiscard]] time_point exit_from(bool other_gateway_ready) const {
    return other_gateway_ready ? m_exit_from : m_alone_until;
  }
  // Every request has its final response by then. The rest of the grace period is for sending it.
  [[nodiscard]] time_point respond_by() const { return m_respond_by; }
  [[nodiscard]] time_point exit_by() const { return m_exit_by; }

  // Whether a request that arrives now may be sent to an upstream. It must end by respond_by(): at its
  // deadline in any case or, early in the stop, within the longest time that requests of its route have taken
  // recently, if that is known. Early means while callers cannot know of the stop, and longer while no other
  // gateway could serve them. A request that is not streamed and much shorter than the time that is left is
  // accepted until exit_from(): should it take longer, it still gets a response, while a stream would be cut.
  [[nodiscard]] bool accepts(const late_request& request, bool other_gateway_ready, time_point now) const;

private:
  time_point m_signalled_at;
  time_point m_answers_expire_at;
  time_point m_alone_until;
  time_point m_exit_from;
  time_point m_respond_by;
  time_point m_exit_by;
};

}  // namespace cuminpath::gateway
