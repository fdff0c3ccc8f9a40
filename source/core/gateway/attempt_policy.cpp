#include "core/gateway/attempt_policy.h"

namespace cuminpath::gateway {
namespace {

bool may_try_another(attempt_result end, const attempt_facts& facts) {
  if (!facts.other_upstream_available || facts.time_left < k_min_time_for_attempt) {
    return false;
  }
  if (end == attempt_result::not_sent) {
    return true;  // No upstream received the request, so neither the retry budget nor the number of attempts
                  // applies.
  }
  if (end == attempt_result::crashed) {
    return false;  // It would crash the next upstream, too.
  }
  if (!facts.retry_budget_available) {
    return false;
  }
  if (end == attempt_result::wrong_instance) {
    return !facts.may_have_run || facts.repeatable;  // The intended upstream never received the request.
  }
  if (facts.upstreams_sent_to >= facts.max_attempts) {
    return false;
  }
  return facts.repeatable || !facts.may_have_run;
}

// The caller cannot repeat a response that has begun without losing it, so it is given up only if no upstream
// may continue it in the time that is left.
bool may_continue_later(attempt_result end, const attempt_facts& facts) {
  return facts.repeatable && end != attempt_result::crashed && facts.upstreams_sent_to < facts.max_attempts &&
         facts.time_left >= k_min_time_for_attempt;
}

}  // namespace

next_step after_attempt(attempt_result end, const attempt_facts& facts) {
  if (facts.other_attempt_running) {
    return next_step::await_other_attempt;
  }
  // After a refusal, what is known of the loads of other upstreams is not current either.
  if (facts.caller_has_bytes && end == attempt_result::not_executed && may_continue_later(end, facts)) {
    return next_step::await_upstream;
  }
  if (may_try_another(end, facts)) {
    return next_step::try_another;
  }
  if (facts.caller_has_bytes) {
    return may_continue_later(end, facts) ? next_step::await_upstream : next_step::abort_response;
  }
  if (end == attempt_result::failed) {
    return next_step::forward_failure;
  }
  return facts.may_have_run ? next_step::fail : next_step::refuse;
}

}  // namespace cuminpath::gateway
