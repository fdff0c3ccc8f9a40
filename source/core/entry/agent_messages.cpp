// Handles the messages of agents: responses, refusals and the states of settled attempts.
#include <algorithm>
#include <utility>

#include "core/common/release_memory.h"
#include "core/entry/entry_core.h"

namespace cuminpath::entry {
namespace {

// Size limit of a service response. It is buffered until it is complete, so that a truncated response is
// never forwarded.
constexpr std::size_t k_max_response_bytes = 16U << 20U;
constexpr std::string_view k_no_memory = "there is no memory for the response";
// Retry delay after a refusal for a stale configuration. A new configuration triggers the retry at once, so
// the delay matters only if the message with it is lost.
constexpr milliseconds k_stale_configuration_delay{250};
// A single token may have been sent before the upstream crashed on the request.
constexpr std::uint64_t k_tokens_of_sound_request = 2;

template <class... handlers>
struct overloaded : handlers... {
  using handlers::operator()...;
};
template <class... handlers>
overloaded(handlers...) -> overloaded<handlers...>;

idempotency::settled_state to_settled_state(wire::attempt_state state) {
  switch (state) {
    case wire::attempt_state::not_seen:
      return idempotency::settled_state::not_seen;
    case wire::attempt_state::queued:
    case wire::attempt_state::running:
      return idempotency::settled_state::running;
    case wire::attempt_state::finished:
      return idempotency::settled_state::finished;
    case wire::attempt_state::failed:
      return idempotency::settled_state::failed;
  }
  return idempotency::settled_state::failed;
}

// Converts a refusal into the problem that the caller receives if no other attempt follows.
problem to_problem(const wire::refusal& message) {
  problem value;
  value.execution = message.execution_state;
  value.detail = message.detail;
  value.retry_after = milliseconds(message.retry_after_ms);
  switch (message.reason) {
    case wire::refusal_reason::infeasible:
    case wire::refusal_reason::over_share:
      value.status = 429;
      break;
    case wire::refusal_reason::deadline_passed:
      value.status = 504;
      break;
    case wire::refusal_reason::draining:
    case wire::refusal_reason::stale_configuration:
    case wire::refusal_reason::queue_full:
    case wire::refusal_reason::duplicate_attempt:
    case wire::refusal_reason::upstream_failed:
    case wire::refusal_reason::unknown_upstream:
    case wire::refusal_reason::cancelled:
    case wire::refusal_reason::agent_restarted:
      value.status = message.execution_state == wire::execution::not_run ? 503 : 502;
      break;
  }
  return value;
}

}  // namespace

request* entry_core::find_current_attempt(event_context& context, std::string_view peer_address,
                                          std::string_view wire_id, attempt_number number,
                                          const wire::message& message) {
  request* value = m_requests.find_by_wire_id(wire_id);
  const auto matches = [&](const open_attempt& attempt) {
    return attempt.number == number && attempt.peer_address == peer_address;
  };
  if (value != nullptr && value->attempt && matches(*value->attempt)) {
    return value;
  }
  if (value != nullptr &&
      std::any_of(value->silent_attempts.begin(), value->silent_attempts.end(), matches)) {
    return on_silent_attempt(context, *value, number, message) ? value : nullptr;
  }
  ++m_counters.late_frames;
  return nullptr;
}

void entry_core::on_message(event_context& context, std::string_view peer_address, incarnation sender,
                            const wire::message& message) {
  m_router.on_message(context.now, peer_address);
  if (const auto found = m_peers.find(std::string(peer_address)); found != m_peers.end()) {
    found->second.agent_incarnation = sender;
    found->second.last_message = context.now;
    found->second.message_received = true;
  }
  const auto with_attempt = [&](const auto& content, auto handler) {
    if (request* value =
            find_current_attempt(context, peer_address, content.request_id, content.attempt, message)) {
      (this->*handler)(context, *value, content);
    }
  };
  std::visit(
      overloaded{
          [&](const wire::response_head& content) { with_attempt(content, &entry_core::on_head); },
          [&](const wire::response_chunk& content) {
            with_attempt(content, &entry_core::on_chunk);
            limit_response_memory(context);
          },
          [&](const wire::response_end& content) { with_attempt(content, &entry_core::on_end); },
          [&](const wire::refusal& content) { with_attempt(content, &entry_core::on_refusal); },
          [&](const wire::upstream_crash& content) { with_attempt(content, &entry_core::on_upstream_crash); },
          [&](const wire::crash_evidence& content) { on_crash_evidence(context, content); },
          [&](const wire::attempt_status& content) { on_attempt_status(context, sender, content); },
          [&](const wire::load_report& content) { m_router.on_load_report(context.now, content); },
          // The entry process handles heartbeats and configuration messages; entries ignore all other
          // messages.
          [](const auto&) {},
      },
      message);
  m_requests.sweep();
}

void entry_core::on_head(event_context& context, request& value, const wire::response_head& message) {
  value.head_received = true;
  value.status = message.status;
  value.headers = message.headers;
  if (value.accepted.kind != wire::request_kind::service &&
      (message.status >= 500 || message.status == 429)) {
    handle_broken_attempt(context, value, "the engine responded with an error");
  }
}

void entry_core::on_chunk(event_context& context, request& value, const wire::response_chunk& message) {
  if (!value.attempt->first_token) {
    value.attempt->first_token = context.now - value.attempt->sent_at;
  }
  if (value.accepted.kind != wire::request_kind::service && value.status == 200) {
    on_model_chunk(context, value, message);
    return;
  }
  if (message.index + message.data.size() <= value.body.size()) {
    ++m_counters.late_frames;
    return;
  }
  if (message.index != value.body.size()) {
    handle_broken_attempt(context, value, "a part of the response is missing");
    return;
  }
  if (value.body.size() + message.data.size() > k_max_response_bytes) {
    handle_broken_attempt(context, value, "the response is too large");
    return;
  }
  value.body += message.data;
  m_requests.count_response(value);
}

void entry_core::on_model_chunk(event_context& context, request& value, const wire::response_chunk& message) {
  if (message.index > value.answer.next_index) {
    handle_broken_attempt(context, value, "a part of the response is missing");
    return;
  }
  const std::uint64_t first_new_index = value.answer.next_index;
  std::string events;
  std::string_view remaining = message.data;
  std::uint64_t index = message.index;
  for (; !remaining.empty(); ++index) {
    const std::string_view line = remaining.substr(0, remaining.find('\n'));
    remaining.remove_prefix(std::min(line.size() + 1, remaining.size()));
    if (index < value.answer.next_index) {
      ++m_counters.late_frames;
      continue;
    }
    auto event = parse_token_event(line);
    if (!event) {
      break;
    }
    value.answer.append(std::move(event).value());
    m_requests.count_response(value);
    ++m_counters.tokens;
    if (value.answer.next_index == k_tokens_of_sound_request) {
      m_prompt_quarantine.on_output(value.accepted.prompt_parts, context.now);
    }
    if (value.accepted.streaming) {
      events.append("data: ").append(line).append("\n\n");
    }
  }
  if (value.answer.next_index > first_new_index) {
    value.pauses = 0;
    close_silent_attempts(context, value, routing::attempt_outcome::failed);
  }
  if (!events.empty()) {
    if (!value.stream_begun) {
      value.stream_begun = true;
      context.actions.emplace_back(begin_stream{value.caller,
                                                {{"Content-Type", "text/event-stream"},
                                                 {"Cache-Control", "no-cache"},
                                                 {"X-Request-Id", value.request_id}}});
    }
    context.actions.emplace_back(write_stream{value.caller, std::move(events)});
  }
  if (index != message.index + message.tokens || value.answer.text.size() > k_max_response_bytes) {
    handle_broken_attempt(context, value, "a part of the response is malformed");
  }
}

// The request that holds the most is given up, since responses without end are among the largest: others keep
// what they have received.
void entry_core::limit_response_memory(event_context& context) {
  while (m_requests.response_bytes() > m_options.max_response_bytes) {
    request& value = *m_requests.largest_response();
    ++m_counters.responses_given_up;
    release_memory(value.body);
    m_requests.count_response(value);
    if (value.claim) {
      handle_broken_attempt(context, value, k_no_memory);
      continue;
    }
    value.may_have_run = true;
    close_attempt(context, value, routing::attempt_outcome::failed, true);
    fail_request(context, value, problem{502, wire::execution::unknown, std::string(k_no_memory), {}});
  }
}

void entry_core::on_end(event_context& context, request& value, const wire::response_end& message) {
  const bool is_model_response = value.accepted.kind != wire::request_kind::service && value.status == 200;
  const std::uint64_t received = is_model_response ? value.answer.next_index : value.body.size();
  if (message.length != received || (!is_model_response && !value.head_received)) {
    handle_broken_attempt(context, value, "a part of the response is missing");
    return;
  }
  if (value.claim) {
    std::vector<idempotency::action> actions;
    auto response = upstream_response(value);
    close_attempt(context, value, routing::attempt_outcome::succeeded, false);
    value.claim->on_response(
        context.now, {response.status, std::move(response.headers), std::move(response.body)}, actions);
    run_claim_actions(context, value, std::move(actions));
    return;
  }
  close_attempt(context, value, routing::attempt_outcome::succeeded, false);
  if (is_model_response) {
    m_prompt_quarantine.on_output(value.accepted.prompt_parts, context.now);
    finish_model_answer(context, value);
    return;
  }
  auto response = upstream_response(value);
  response.headers.emplace_back("X-Request-Id", value.request_id);
  if (value.stream_begun) {
    value.last_refusal = problem{502, wire::execution::unknown, "the engine refused to resume", {}};
    if (value.silent_attempts.empty()) {
      fail_request(context, value, value.last_refusal);
    }
    return;
  }
  respond_to(context, value, std::move(response));
}

void entry_core::finish_model_answer(event_context& context, request& value) {
  if (!value.accepted.streaming) {
    http::response response;
    response.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", value.request_id}};
    response.body =
        assemble_response_body(value.answer, value.accepted.kind, value.accepted.model_or_service);
    respond_to(context, value, std::move(response));
    return;
  }
  if (!value.stream_begun) {
    value.stream_begun = true;
    context.actions.emplace_back(begin_stream{
        value.caller, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", value.request_id}}});
  }
  context.actions.emplace_back(write_stream{value.caller, "data: [DONE]\n\n"});
  context.actions.emplace_back(end_stream{value.caller});
  end_request(context, value, 200);
}

http::response entry_core::upstream_response(request& value) const {
  http::response response;
  response.status = value.status;
  for (auto& header : value.headers) {
    constexpr std::string_view k_dropped_headers[] = {"connection", "date",   "transfer-encoding",
                                                      "keep-alive", "server", "x-request-id"};
    const http::header_list single = {header};
    // A response to HEAD has no body from which the length could be told.
    if (value.accepted.method != "HEAD" && http::find_header(single, "content-length")) {
      continue;
    }
    if (std::none_of(std::begin(k_dropped_headers), std::end(k_dropped_headers),
                     [&](std::string_view name) { return http::find_header(single, name).has_value(); })) {
      response.headers.push_back(std::move(header));
    }
  }
  response.body = std::move(value.body);
  return response;
}

void entry_core::on_refusal(event_context& context, request& value, const wire::refusal& message) {
  const bool never_ran = message.execution_state == wire::execution::not_run;
  const bool healthy = message.reason != wire::refusal_reason::upstream_failed;
  close_attempt(context, value,
                never_ran && healthy ? routing::attempt_outcome::refused : routing::attempt_outcome::failed,
                false);
  value.last_refusal = to_problem(message);
  value.may_have_run = value.may_have_run || !never_ran;
  const bool stale = never_ran && message.reason == wire::refusal_reason::stale_configuration;
  if (stale) {
    // The upstream works: this entry waits for the newer configuration and may then choose it again.
    value.stale_configuration = true;
    value.excluded.clear();
  }
  value.retry_is_free = stale || (never_ran && message.reason == wire::refusal_reason::draining);
  if (value.claim) {
    std::vector<idempotency::action> actions;
    value.claim->on_refusal(never_ran, message.detail, actions);
    run_claim_actions(context, value, std::move(actions));
    return;
  }
  if (value.stream_begun) {
    // A refusal without a run has cost no upstream any work.
    retry(context, value, never_ran ? retry_cost::free : retry_cost::budget,
          stale ? k_stale_configuration_delay : milliseconds(0));
    return;
  }
  if (value.may_have_crashed_upstream) {
    fail_request(context, value, value.last_refusal);
    return;
  }
  // If a second upstream is busy too, a third attempt is unlikely to succeed.
  const bool busy = message.reason == wire::refusal_reason::infeasible ||
                    message.reason == wire::refusal_reason::queue_full;
  if (message.reason == wire::refusal_reason::over_share ||
      message.reason == wire::refusal_reason::deadline_passed || (busy && value.budgeted_retries > 0)) {
    fail_request(context, value, value.last_refusal);
    return;
  }
  retry(context, value, value.retry_is_free ? retry_cost::free : retry_cost::budget,
        stale ? k_stale_configuration_delay : milliseconds(0));
}

void entry_core::on_attempt_status(event_context& context, incarnation sender,
                                   const wire::attempt_status& message) {
  const auto [first, last] = m_pending_settlements.equal_range(message.request_id);
  std::vector<caller_id> waiting_callers;
  for (auto position = first; position != last; ++position) {
    waiting_callers.push_back(position->second);
  }
  m_pending_settlements.erase(first, last);
  for (const caller_id caller : waiting_callers) {
    request* value = m_requests.find(caller);
    if (value == nullptr || !value->claim || value->settling_token != message.request_id) {
      continue;
    }
    value->settling_token.clear();
    std::vector<idempotency::action> actions;
    value->claim->on_attempt_status(context.now, sender, to_settled_state(message.state),
                                    {message.status, message.headers, message.body}, actions);
    run_claim_actions(context, *value, std::move(actions));
  }
}

}  // namespace cuminpath::entry
