// Starts, ends and retries attempts, and handles their failures and deadlines.
#include <algorithm>
#include <utility>

#include "core/common/release_memory.h"
#include "core/entry/entry_core.h"

namespace cuminpath::entry {
namespace {

// The first attempt and the retries from the budget. Limits the load that one request can cause when the
// budget is full.
constexpr std::uint32_t k_max_budgeted_attempts = 4;
// A refusal by a draining agent costs only one message. More refusals than this indicate another fault.
constexpr std::uint32_t k_max_free_retries = 40;
constexpr milliseconds k_first_stream_pause{100};
constexpr milliseconds k_max_stream_pause{1000};
constexpr milliseconds k_retry_after{1000};

problem not_run_problem(int status, std::string detail, milliseconds retry_after = milliseconds(0)) {
  return problem{status, wire::execution::not_run, std::move(detail), retry_after};
}

}  // namespace

std::optional<routing::upstream_id> entry_core::choose_upstream(event_context& context, request& value) {
  routing::route_request route;
  route.model_or_service = value.accepted.model_or_service;
  route.prefix_hash = value.accepted.prefix_hash;
  route.excluded = value.excluded;
  auto chosen = m_router.choose(context.now, route, context.random);
  if (!chosen && !value.excluded.empty()) {
    // Every upstream has been tried. One of them may have recovered, so all are candidates again, except
    // those that still run an attempt of this request.
    value.excluded.clear();
    for (const auto& attempt : value.silent_attempts) {
      value.excluded.push_back(attempt.upstream);
    }
    route.excluded = value.excluded;
    chosen = m_router.choose(context.now, route, context.random);
  }
  return chosen;
}

void entry_core::start_attempt(event_context& context, request& value) {
  if (refuse_quarantined(context, value)) {
    return;
  }
  const auto upstream = choose_upstream(context, value);
  if (upstream) {
    send_attempt(context, value, *upstream, attempt_number{to_integer(value.last_attempt) + 1});
    return;
  }
  if (!m_router.has_upstreams_for(value.accepted.model_or_service)) {
    fail_request(context, value, not_run_problem(503, "no upstream is configured for it", k_retry_after));
    return;
  }
  if (value.stream_begun) {
    pause_stream(context, value, k_first_stream_pause);
    return;
  }
  fail_request(context, value,
               value.last_attempt == attempt_number{}
                   ? not_run_problem(503, "no upstream is available", k_retry_after)
                   : value.last_refusal);
}

void entry_core::send_attempt(event_context& context, request& value, routing::upstream_id upstream,
                              attempt_number number, incarnation receiver) {
  if (value.last_attempt == attempt_number{}) {
    ++m_counters.first_attempts;
    m_retry_budgets[value.accepted.priority_class].on_first_attempt();
  }
  value.last_attempt = number;
  value.head_received = false;
  value.stale_configuration = false;
  release_memory(value.body);
  m_requests.count_response(value);
  value.headers.clear();
  value.attempt = open_attempt{number, upstream, m_router.upstream(upstream).peer_address, context.now, {}};
  m_router.on_attempt_started(context.now, upstream);

  const accepted_request& accepted = value.accepted;
  wire::submit_request message;
  message.request_id = value.wire_id;
  message.attempt = number;
  message.kind = accepted.kind;
  message.workspace = accepted.workspace;
  message.priority_class = accepted.priority_class;
  message.model_or_service = accepted.model_or_service;
  message.method = accepted.method;
  message.path = accepted.path;
  message.headers = accepted.headers;
  message.body = accepted.body;
  const auto remaining = std::chrono::floor<milliseconds>(value.deadline - context.now).count();
  message.remaining_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(remaining, 1));
  message.expected_tokens = accepted.expected_tokens;
  message.resume_index = value.answer.next_index;
  message.resume_text = value.answer.text;
  message.repeatable = accepted.repeatable;
  message.receiver = receiver;
  if (message.resume_index > 0) {
    ++m_counters.resumed_streams;
  }
  context.actions.emplace_back(send_message{value.attempt->peer_address, std::move(message)});
}

void entry_core::close_attempt(event_context& context, request& value, routing::attempt_outcome outcome,
                               bool cancel) {
  if (!value.attempt) {
    return;
  }
  m_router.on_attempt_finished(context.now, value.attempt->upstream, outcome, value.attempt->first_token);
  if (cancel) {
    context.actions.emplace_back(send_message{value.attempt->peer_address,
                                              wire::cancel_request{value.wire_id, value.attempt->number}});
  }
  if (outcome != routing::attempt_outcome::succeeded) {
    value.excluded.push_back(value.attempt->upstream);
  }
  value.attempt.reset();
}

bool entry_core::try_take_retry(request& value, retry_cost cost) {
  if (cost == retry_cost::free) {
    if (value.free_retries >= k_max_free_retries) {
      return false;
    }
    ++value.free_retries;
    ++m_counters.free_retries;
    return true;
  }
  if (value.budgeted_retries + 1 >= k_max_budgeted_attempts ||
      !m_retry_budgets[value.accepted.priority_class].try_take()) {
    ++m_counters.retries_denied;
    return false;
  }
  ++value.budgeted_retries;
  ++m_counters.retries;
  return true;
}

void entry_core::retry(event_context& context, request& value, retry_cost cost, milliseconds delay) {
  if (context.now >= value.deadline) {
    expire_request(context, value);
    return;
  }
  if (value.stream_begun) {
    retry_stream(context, value, cost, delay);
    return;
  }
  if (!try_take_retry(value, cost)) {
    fail_request(context, value, value.last_refusal);
    return;
  }
  if (delay > milliseconds(0)) {
    value.retry_at = context.now + delay;
    return;
  }
  start_attempt(context, value);
}

// The caller cannot repeat a started stream without losing it, so the stream waits until its deadline for
// what it lacks: a free upstream, or a retry from the budget.
void entry_core::retry_stream(event_context& context, request& value, retry_cost cost, milliseconds delay) {
  if (cost == retry_cost::free) {
    ++value.free_retries;
    ++m_counters.free_retries;
    if (value.pauses > 0 || delay > milliseconds(0)) {
      pause_stream(context, value, delay);
      return;
    }
    ++value.pauses;  // Another upstream may be free, so only the refusals after the first one cause a pause.
    start_attempt(context, value);
    return;
  }
  if (value.budgeted_retries + 1 >= k_max_budgeted_attempts) {
    ++m_counters.retries_denied;
    if (value.silent_attempts.empty()) {
      fail_request(context, value, value.last_refusal);
    }
    return;
  }
  if (!try_take_retry(value, cost)) {
    value.awaits_retry_budget = true;
    pause_stream(context, value, k_first_stream_pause);
    return;
  }
  start_attempt(context, value);
}

void entry_core::pause_stream(event_context& context, request& value, milliseconds min_pause) {
  auto pause = k_first_stream_pause;
  for (std::uint32_t i = 0; i < value.pauses && pause < k_max_stream_pause; ++i) {
    pause *= 2;
  }
  ++value.pauses;
  value.retry_at = context.now + std::max(std::min(pause, k_max_stream_pause), min_pause);
}

void entry_core::retry_when_due(event_context& context, request& value) {
  value.retry_at.reset();
  if (std::exchange(value.awaits_retry_budget, false)) {
    retry(context, value, retry_cost::budget, milliseconds(0));
  } else {
    start_attempt(context, value);
  }
}

void entry_core::handle_broken_attempt(event_context& context, request& value, std::string_view cause) {
  if (value.claim) {
    std::vector<idempotency::action> actions;
    value.claim->on_attempt_lost(context.now, actions);
    run_claim_actions(context, value, std::move(actions));
    return;
  }
  value.may_have_run = true;
  value.last_refusal = problem{502, wire::execution::unknown, std::string(cause), milliseconds(0)};
  close_attempt(context, value, routing::attempt_outcome::failed, true);
  retry(context, value, retry_cost::budget, milliseconds(0));
}

void entry_core::expire_request(event_context& context, request& value) {
  if (value.claim) {
    std::vector<idempotency::action> actions;
    value.claim->expire(actions);
    run_claim_actions(context, value, std::move(actions));
    return;
  }
  value.may_have_run = value.may_have_run || value.attempt.has_value();
  close_attempt(context, value, routing::attempt_outcome::abandoned, true);
  fail_request(context, value, not_run_problem(504, "the deadline has passed"));
}

void entry_core::fail_request(event_context& context, request& value, problem failure) {
  if (value.may_have_run) {
    failure.execution = wire::execution::unknown;
    // Callers may retry after 429 and 503, which is unsafe for a request that may have run.
    if (failure.status == 429 || failure.status == 503) {
      failure.status = 502;
    }
  }
  if (!value.stream_begun) {
    respond_to(context, value, problem_response(failure, value.request_id));
    return;
  }
  context.actions.emplace_back(
      write_stream{value.caller, "event: error\ndata: " + problem_json(failure) + "\n\n"});
  context.actions.emplace_back(end_stream{value.caller});
  end_request(context, value, failure.status);
}

void entry_core::respond_to(event_context& context, request& value, http::response response) {
  const int status = response.status;
  if (!value.caller_disconnected) {
    context.actions.emplace_back(respond{value.caller, std::move(response)});
  }
  end_request(context, value, status);
}

void entry_core::end_request(event_context& context, request& value, int status) {
  close_silent_attempts(context, value, routing::attempt_outcome::abandoned);
  context.actions.emplace_back(
      request_ended{value.accepted.priority_class, status, context.now - value.arrival});
  if (!value.settling_token.empty()) {
    const auto [first, last] = m_pending_settlements.equal_range(value.settling_token);
    const auto settlement =
        std::find_if(first, last, [&](const auto& entry) { return entry.second == value.caller; });
    if (settlement != last) {
      m_pending_settlements.erase(settlement);
    }
  }
  m_requests.finish(value);
}

}  // namespace cuminpath::entry
