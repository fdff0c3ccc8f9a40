// Attempts of started streams that go on while their agents are silent.
#include <algorithm>
#include <utility>

#include "core/common/release_memory.h"
#include "core/entry/entry_core.h"

namespace cuminpath::entry {
namespace {

constexpr std::string_view k_cause = "the agent does not respond";

// Whether the message is the next part of the answer, of which `next_index` tokens have been received.
bool continues(const wire::message& message, std::uint64_t next_index) {
  if (const auto* chunk = std::get_if<wire::response_chunk>(&message)) {
    return chunk->index <= next_index && chunk->index + chunk->tokens > next_index;
  }
  const auto* end = std::get_if<wire::response_end>(&message);
  return end != nullptr && end->length == next_index;
}

// Whether nothing can follow the message that continues an answer of `next_index` tokens.
bool breaks_off(const wire::message& message, std::uint64_t next_index) {
  if (const auto* chunk = std::get_if<wire::response_chunk>(&message)) {
    return chunk->index > next_index;
  }
  if (const auto* end = std::get_if<wire::response_end>(&message)) {
    return end->length != next_index;
  }
  return std::holds_alternative<wire::refusal>(message);
}

}  // namespace

void entry_core::on_agent_silent(event_context& context, request& value) {
  if (!value.stream_begun) {
    handle_broken_attempt(context, value, k_cause);
    return;
  }
  value.may_have_run = true;
  value.last_refusal = problem{502, wire::execution::unknown, std::string(k_cause), milliseconds(0)};
  value.excluded.push_back(value.attempt->upstream);
  value.silent_attempts.push_back(*std::exchange(value.attempt, std::nullopt));
  retry(context, value, retry_cost::budget, milliseconds(0));
}

void entry_core::close_silent_attempts(event_context& context, request& value,
                                       routing::attempt_outcome outcome) {
  for (const auto& attempt : std::exchange(value.silent_attempts, {})) {
    m_router.on_attempt_finished(context.now, attempt.upstream, outcome, attempt.first_token);
    context.actions.emplace_back(
        send_message{attempt.peer_address, wire::cancel_request{value.wire_id, attempt.number}});
  }
}

template <class predicate>
void entry_core::drop_silent_attempts(event_context& context, request& value, predicate matches) {
  auto& attempts = value.silent_attempts;
  const auto first = std::stable_partition(attempts.begin(), attempts.end(),
                                           [&](const open_attempt& attempt) { return !matches(attempt); });
  if (first == attempts.end()) {
    return;
  }
  for (auto attempt = first; attempt != attempts.end(); ++attempt) {
    m_router.on_attempt_finished(context.now, attempt->upstream, routing::attempt_outcome::failed,
                                 attempt->first_token);
    context.actions.emplace_back(
        send_message{attempt->peer_address, wire::cancel_request{value.wire_id, attempt->number}});
  }
  attempts.erase(first, attempts.end());
  if (attempts.empty() && !value.attempt && !value.retry_at) {
    fail_request(context, value, value.last_refusal);
  }
}

void entry_core::on_silent_link_lost(event_context& context, request& value, std::string_view peer_address) {
  drop_silent_attempts(context, value,
                       [&](const open_attempt& attempt) { return attempt.peer_address == peer_address; });
}

bool entry_core::on_silent_attempt(event_context& context, request& value, attempt_number number,
                                   const wire::message& message) {
  if (continues(message, value.answer.next_index)) {
    make_current(context, value, number);
    return true;
  }
  if (const auto* crash = std::get_if<wire::upstream_crash>(&message)) {
    on_upstream_crash(context, value, *crash);
    return false;
  }
  if (breaks_off(message, value.answer.next_index)) {
    drop_silent_attempts(context, value,
                         [&](const open_attempt& attempt) { return attempt.number == number; });
  } else if (std::holds_alternative<wire::response_chunk>(message)) {
    ++m_counters.late_frames;
  }
  return false;
}

void entry_core::make_current(event_context& context, request& value, attempt_number number) {
  close_attempt(context, value, routing::attempt_outcome::abandoned, true);
  auto& attempts = value.silent_attempts;
  const auto found = std::find_if(attempts.begin(), attempts.end(),
                                  [&](const open_attempt& attempt) { return attempt.number == number; });
  value.attempt = std::move(*found);
  attempts.erase(found);
  value.retry_at.reset();
  value.awaits_retry_budget = false;
  value.head_received = true;
  value.status = 200;
  release_memory(value.body);
  m_requests.count_response(value);
}

}  // namespace cuminpath::entry
