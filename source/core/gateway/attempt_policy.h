// Decides what happens after one attempt at an upstream has ended, and what the caller receives.
#pragma once

#include <cstdint>

#include "core/common/time.h"

namespace cuminpath::gateway {

enum class attempt_result : std::uint8_t {
  not_sent,        // No byte was sent to the upstream.
  wrong_instance,  // Another instance uses the address; it has not run the request.
  not_executed,    // The upstream reports that it has not run the request.
  broken,          // The connection was closed or the response was malformed; the request may have run.
  crashed,         // The upstream ended before it sent output, and the request may be the cause.
  failed,          // The upstream returned a complete error response (5xx).
  stalled,         // No progress within the time limit, and another attempt has answered.
};

struct attempt_facts {
  bool repeatable = false;              // The request may also be run by a second upstream.
  bool caller_has_bytes = false;        // Part of a response has been sent to the caller.
  bool may_have_run = false;            // An attempt of this request, including this one, may have run.
  bool other_attempt_running = false;   // Another upstream is still working on the request.
  std::uint32_t upstreams_sent_to = 0;  // Number of upstreams that have received the request so far.
  std::uint32_t max_attempts = 1;
  bool retry_budget_available = false;
  bool other_upstream_available = false;  // Another upstream is available for the request.
  milliseconds time_left{0};
};

enum class next_step : std::uint8_t {
  await_other_attempt,  // Another upstream is still working on the request.
  try_another,
  await_upstream,   // Wait until an upstream can continue the response.
  forward_failure,  // Forward the error response of the upstream.
  refuse,           // The request has not run; the caller may retry.
  fail,             // The request may have run.
  abort_response,   // The caller has received part of a response; it must see that the rest is missing.
};

// With less time left than this, no further attempt is made: another upstream could not make use of it.
constexpr milliseconds k_min_time_for_attempt{30};

next_step after_attempt(attempt_result end, const attempt_facts& facts);

}  // namespace cuminpath::gateway
