// Messages of agents: answers, refusals and settled attempts.
#include <algorithm>
#include <utility>

#include "core/entry/entry_core.h"

namespace cuminpath::entry {
namespace {

// The largest service response; it is held until it is whole, so that a broken one is never passed on.
constexpr std::size_t k_max_body_bytes = 16U << 20U;
// A new configuration ends the pause at once; the time only covers a lost message.
constexpr milliseconds k_stale_pause{250};

template <class... handlers>
struct overloaded : handlers... {
  using handlers::operator()...;
};
template <class... handlers>
overloaded(handlers...) -> overloaded<handlers...>;

idempotency::settled_state settled(wire::attempt_state state) {
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

// How a caller is told about a refusal, if no other attempt follows.
problem problem_of(const wire::refusal& message) {
  problem value;
  value.execution = message.ran;
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
      value.status = message.ran == wire::execution::not_run ? 503 : 502;
      break;
  }
  return value;
}

}  // namespace

request* entry_core::current_attempt(std::string_view peer_address, std::string_view wire_id,
                                     attempt_number number) {
  request* value = m_requests.find_wire(wire_id);
  if (value != nullptr && value->attempt && value->attempt->number == number &&
      value->attempt->peer_address == peer_address) {
    return value;
  }
  ++m_counters.late_frames;
  return nullptr;
}

void entry_core::on_message(step& step, std::string_view peer_address, incarnation sender,
                            const wire::message& message) {
  m_router.on_message(step.now, peer_address);
  if (const auto found = m_peers.find(std::string(peer_address)); found != m_peers.end()) {
    found->second.number = sender;
    found->second.last_message = step.now;
    found->second.heard = true;
  }
  const auto with_attempt = [&](const auto& part, auto handler) {
    if (request* value = current_attempt(peer_address, part.request_id, part.attempt)) {
      (this->*handler)(step, *value, part);
    }
  };
  std::visit(
      overloaded{
          [&](const wire::answer_head& part) { with_attempt(part, &entry_core::on_head); },
          [&](const wire::answer_chunk& part) { with_attempt(part, &entry_core::on_chunk); },
          [&](const wire::answer_end& part) { with_attempt(part, &entry_core::on_end); },
          [&](const wire::refusal& part) { with_attempt(part, &entry_core::on_refusal); },
          [&](const wire::attempt_status& part) { on_attempt_status(step, sender, part); },
          [&](const wire::load_report& part) { m_router.on_load_report(step.now, part); },
          // Heartbeats and the configuration are handled by the shell; the rest is not meant for an entry.
          [](const auto&) {},
      },
      message);
  m_requests.sweep();
}

void entry_core::on_head(step& step, request& value, const wire::answer_head& message) {
  value.head_received = true;
  value.status = message.status;
  value.headers = message.headers;
  if (value.accepted.kind != wire::request_kind::service &&
      (message.status >= 500 || message.status == 429)) {
    attempt_broken(step, value, "the engine responded with an error");
  }
}

void entry_core::on_chunk(step& step, request& value, const wire::answer_chunk& message) {
  if (!value.attempt->first_token) {
    value.attempt->first_token = step.now - value.attempt->sent_at;
  }
  if (value.accepted.kind != wire::request_kind::service && value.status == 200) {
    on_model_chunk(step, value, message);
    return;
  }
  if (message.index + message.data.size() <= value.body.size()) {
    ++m_counters.late_frames;
    return;
  }
  if (message.index != value.body.size()) {
    attempt_broken(step, value, "a part of the response is missing");
    return;
  }
  if (value.body.size() + message.data.size() > k_max_body_bytes) {
    attempt_broken(step, value, "the response is too large");
    return;
  }
  value.body += message.data;
}

void entry_core::on_model_chunk(step& step, request& value, const wire::answer_chunk& message) {
  if (message.index > value.answer.next_index) {
    attempt_broken(step, value, "a part of the response is missing");
    return;
  }
  std::string events;
  std::string_view rest = message.data;
  std::uint64_t index = message.index;
  for (; !rest.empty(); ++index) {
    const std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(line.size() + 1, rest.size()));
    if (index < value.answer.next_index) {
      ++m_counters.late_frames;
      continue;
    }
    auto event = parse_token_event(line);
    if (!event) {
      break;
    }
    value.answer.append(std::move(event).value());
    ++m_counters.tokens;
    if (value.accepted.streaming) {
      events.append("data: ").append(line).append("\n\n");
    }
  }
  if (!events.empty()) {
    if (!value.stream_begun) {
      value.stream_begun = true;
      step.actions.emplace_back(begin_stream{value.caller,
                                             {{"Content-Type", "text/event-stream"},
                                              {"Cache-Control", "no-cache"},
                                              {"X-Request-Id", value.request_id}}});
    }
    step.actions.emplace_back(write_stream{value.caller, std::move(events)});
  }
  if (index != message.index + message.tokens || value.answer.text.size() > k_max_body_bytes) {
    attempt_broken(step, value, "a part of the response is malformed");
  }
}

void entry_core::on_end(step& step, request& value, const wire::answer_end& message) {
  const bool model = value.accepted.kind != wire::request_kind::service && value.status == 200;
  const std::uint64_t received = model ? value.answer.next_index : value.body.size();
  if (message.length != received || (!model && !value.head_received)) {
    attempt_broken(step, value, "a part of the response is missing");
    return;
  }
  if (value.claim) {
    std::vector<idempotency::action> actions;
    auto response = upstream_response(value);
    close_attempt(step, value, routing::attempt_outcome::succeeded, false);
    value.claim->on_answer(step.now, {response.status, std::move(response.headers), std::move(response.body)},
                           actions);
    run_claim(step, value, std::move(actions));
    return;
  }
  close_attempt(step, value, routing::attempt_outcome::succeeded, false);
  if (model) {
    finish_model_answer(step, value);
    return;
  }
  auto response = upstream_response(value);
  response.headers.emplace_back("X-Request-Id", value.request_id);
  if (value.stream_begun) {
    fail(step, value, problem{502, wire::execution::unknown, "the engine refused to resume", {}});
    return;
  }
  respond_to(step, value, std::move(response));
}

void entry_core::finish_model_answer(step& step, request& value) {
  if (!value.accepted.streaming) {
    http::response response;
    response.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", value.request_id}};
    response.body = assemble(value.answer, value.accepted.kind, value.accepted.model_or_service);
    respond_to(step, value, std::move(response));
    return;
  }
  if (!value.stream_begun) {
    value.stream_begun = true;
    step.actions.emplace_back(begin_stream{
        value.caller, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", value.request_id}}});
  }
  step.actions.emplace_back(write_stream{value.caller, "data: [DONE]\n\n"});
  step.actions.emplace_back(end_stream{value.caller});
  end_request(step, value, 200);
}

http::response entry_core::upstream_response(request& value) const {
  http::response response;
  response.status = value.status;
  for (auto& header : value.headers) {
    constexpr std::string_view k_dropped[] = {
        "connection", "content-length", "date", "transfer-encoding", "keep-alive", "server", "x-request-id"};
    const http::header_list single = {header};
    if (std::none_of(std::begin(k_dropped), std::end(k_dropped),
                     [&](std::string_view name) { return http::find_header(single, name).has_value(); })) {
      response.headers.push_back(std::move(header));
    }
  }
  response.body = std::move(value.body);
  return response;
}

void entry_core::on_refusal(step& step, request& value, const wire::refusal& message) {
  const bool never_ran = message.ran == wire::execution::not_run;
  const bool healthy = message.reason != wire::refusal_reason::upstream_failed;
  close_attempt(step, value,
                never_ran && healthy ? routing::attempt_outcome::refused : routing::attempt_outcome::failed,
                false);
  value.last_refusal = problem_of(message);
  value.may_have_run = value.may_have_run || !never_ran;
  const bool stale = never_ran && message.reason == wire::refusal_reason::stale_configuration;
  if (stale) {
    // Nothing is wrong with the upstream: this entry catches up and tries it again.
    value.stale_configuration = true;
    value.excluded.clear();
  }
  value.retry_is_free = stale || (never_ran && message.reason == wire::refusal_reason::draining);
  if (value.claim) {
    std::vector<idempotency::action> actions;
    value.claim->on_refusal(never_ran, message.detail, actions);
    run_claim(step, value, std::move(actions));
    return;
  }
  // A second upstream that is busy too tells that a third hardly helps.
  const bool busy = message.reason == wire::refusal_reason::infeasible ||
                    message.reason == wire::refusal_reason::queue_full;
  if (message.reason == wire::refusal_reason::over_share ||
      message.reason == wire::refusal_reason::deadline_passed || (busy && value.counted_attempts > 0)) {
    fail(step, value, value.last_refusal);
    return;
  }
  retry(step, value, value.retry_is_free ? retry_cost::free : retry_cost::budget,
        stale ? k_stale_pause : milliseconds(0));
}

void entry_core::on_attempt_status(step& step, incarnation sender, const wire::attempt_status& message) {
  const auto [first, last] = m_settlements.equal_range(message.request_id);
  std::vector<caller_id> waiting;
  for (auto position = first; position != last; ++position) {
    waiting.push_back(position->second);
  }
  m_settlements.erase(first, last);
  for (const caller_id caller : waiting) {
    request* value = m_requests.find(caller);
    if (value == nullptr || !value->claim || value->settling != message.request_id) {
      continue;
    }
    value->settling.clear();
    std::vector<idempotency::action> actions;
    value->claim->on_attempt_status(step.now, sender, settled(message.state),
                                    {message.status, message.headers, message.body}, actions);
    run_claim(step, *value, std::move(actions));
  }
}

}  // namespace cuminpath::entry
