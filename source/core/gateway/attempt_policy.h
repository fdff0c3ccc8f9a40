// What follows when one attempt at an upstream has ended, and what the caller is told.
#pragma once

#include <cstdint>

#include "core/common/time.h"

namespace cuminpath::gateway {

enum class attempt_end : std::uint8_t {
  not_sent,        // No byte has left for the upstream.
  wrong_instance,  // Another instance has the address; it has not run the request.
  not_executed,    // The upstream says that it has not run the request.
  broken,          // The connection ended or answered nonsense; the request may have run.
  failed,          // A whole failure answer (5xx) of the upstream.
  silent,          // No sign of progress for too long.
};

struct attempt_facts {
  bool repeatable = false;        // A second upstream may run the request as well.
  bool caller_has_bytes = false;  // Part of an answer has been sent to the caller.
  bool may_have_run = false;      // Some attempt of this request may have run, this one included.
  std::uint32_t sent = 0;         // Upstreams that got the request so far.
  std::uint32_t max_attempts = 1;
  bool budget_left = false;
  bool upstream_left = false;  // Another upstream could take the request.
  milliseconds time_left{0};
};

enum class next_step : std::uint8_t {
  try_another,
  deliver_failure,  // Pass on the upstream's own failure answer.
  refuse,           // The request has not run: the caller may come back.
  fail,             // The request may have run.
  break_off,        // The caller has part of an answer; it must see that the rest is missing.
};

// Less time than this is no use to another upstream.
constexpr milliseconds k_min_time_for_attempt{30};

next_step after_attempt(attempt_end end, const attempt_facts& facts);

}  // namespace cuminpath::gateway
