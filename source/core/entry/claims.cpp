// Calls that may not be repeated: executes the actions of their claims.
#include <utility>

#include "core/entry/entry_core.h"

namespace cuminpath::entry {
namespace {

// A new configuration ends the pause at once. Each attempt costs a write, so it is longer than for requests
// without a claim.
constexpr milliseconds k_stale_pause{1000};
constexpr milliseconds k_retry_after{1000};

}  // namespace

std::optional<idempotency::claim_target> entry_core::choose_claim_target(step& step, request& value) {
  // Only an agent whose incarnation is known can be claimed for, so others are passed over.
  for (std::size_t tries = m_peers.size() + 1; tries > 0; --tries) {
    const auto upstream = m_router.choose(
        step.now, {value.accepted.model_or_service, value.accepted.prefix_hash, value.excluded}, step.random);
    if (!upstream) {
      return std::nullopt;
    }
    const auto& info = m_router.upstream(*upstream);
    const auto agent = m_peers.find(info.peer_address);
    if (agent != m_peers.end() && agent->second.heard) {
      return idempotency::claim_target{info.name, info.peer_address, agent->second.number};
    }
    value.excluded.push_back(*upstream);
  }
  return std::nullopt;
}

void entry_core::begin_claim(step& step, request& value) {
  std::vector<idempotency::action> actions;
  value.last_refusal = problem{503, wire::execution::not_run, "no upstream is available", k_retry_after};
  value.claim->start(choose_claim_target(step, value), actions);
  run_claim(step, value, std::move(actions));
}

void entry_core::run_claim(step& step, request& value, std::vector<idempotency::action> actions) {
  // Executing an action can add more.
  for (std::size_t i = 0; i < actions.size(); ++i) {
    const idempotency::action current = std::move(actions[i]);
    execute(step, value, current, actions);
  }
}

void entry_core::execute(step& step, request& value, const idempotency::action& order,
                         std::vector<idempotency::action>& more) {
  if (std::holds_alternative<idempotency::read_row>(order)) {
    step.actions.emplace_back(read_claim{value.caller, value.claim_key});
  } else if (const auto* write = std::get_if<idempotency::write_row>(&order)) {
    step.actions.emplace_back(write_claim{value.caller, value.claim_key, write->value, write->if_version});
  } else if (std::holds_alternative<idempotency::choose_target>(order)) {
    close_attempt(step, value, routing::attempt_outcome::refused, false);
    if (value.stale_configuration) {
      value.retry_at = step.now + k_stale_pause;
    } else {
      provide_target(step, value, more);
    }
  } else if (const auto* attempt = std::get_if<idempotency::send_attempt>(&order)) {
    send_claimed(step, value, *attempt, more);
  } else if (const auto* question = std::get_if<idempotency::settle>(&order)) {
    settle(step, value, *question);
  } else if (const auto* answer = std::get_if<idempotency::respond>(&order)) {
    close_attempt(step, value, routing::attempt_outcome::succeeded, false);
    http::response response{answer->response.status, answer->response.headers, answer->response.body};
    response.headers.emplace_back("X-Request-Id", value.request_id);
    respond_to(step, value, std::move(response));
  } else if (const auto* refusal = std::get_if<idempotency::refuse>(&order)) {
    close_attempt(step, value, routing::attempt_outcome::failed, false);
    const auto ran = refusal->not_run ? wire::execution::not_run : wire::execution::unknown;
    respond_to(
        step, value,
        problem_response({refusal->status, ran, refusal->detail, refusal->retry_after}, value.request_id));
  }
}

void entry_core::provide_target(step& step, request& value, std::vector<idempotency::action>& more) {
  const problem& last = value.last_refusal;
  const idempotency::refuse refusal{last.status, true, last.retry_after, last.detail};
  const bool final_reason = last.status == 429 || last.status == 504;
  // A takeover is the first attempt of this request and costs no retry.
  const bool first = value.last_attempt == attempt_number{};
  const auto cost = value.retry_is_free ? retry_cost::free : retry_cost::budget;
  if (step.now >= value.deadline || final_reason || (!first && !take_retry(value, cost))) {
    value.claim->on_no_target(refusal, more);
    return;
  }
  auto target = choose_claim_target(step, value);
  if (target) {
    value.claim->on_target(*std::move(target), more);
  } else {
    value.claim->on_no_target(refusal, more);
  }
}

void entry_core::send_claimed(step& step, request& value, const idempotency::send_attempt& order,
                              std::vector<idempotency::action>& more) {
  const auto upstream = m_router.find(order.target.upstream);
  const auto agent = m_peers.find(order.target.peer_address);
  // The claim names one process. If another one has its place, or the upstream has moved, nothing is sent.
  const bool current = upstream && m_router.upstream(*upstream).peer_address == order.target.peer_address &&
                       agent != m_peers.end() && agent->second.heard &&
                       agent->second.number == order.target.agent;
  if (!current || step.now >= value.deadline) {
    value.last_refusal = problem{step.now >= value.deadline ? 504 : 503, wire::execution::not_run,
                                 "the upstream has changed", k_retry_after};
    value.retry_is_free = true;
    value.claim->on_refusal(true, value.last_refusal.detail, more);
    return;
  }
  send_attempt(step, value, *upstream, order.attempt, order.target.agent);
}

void entry_core::settle(step& step, request& value, const idempotency::settle& order) {
  if (value.settling != order.token) {
    value.settling = order.token;
    m_settlements.emplace(order.token, value.caller);
  }
  step.actions.emplace_back(
      send_message{order.peer_address, wire::settle_attempt{order.token, order.attempt}});
}

void entry_core::on_claim_row(step& step, caller_id caller, std::uint64_t version, const json& current) {
  if (request* value = m_requests.find(caller); value != nullptr && value->claim) {
    std::vector<idempotency::action> actions;
    value->claim->on_row(step.now, version, current, actions);
    run_claim(step, *value, std::move(actions));
    m_requests.sweep();
  }
}

void entry_core::on_claim_row_failed(step& step, caller_id caller) {
  if (request* value = m_requests.find(caller); value != nullptr && value->claim) {
    std::vector<idempotency::action> actions;
    value->claim->on_row_failed(actions);
    run_claim(step, *value, std::move(actions));
    m_requests.sweep();
  }
}

void entry_core::on_claim_written(step& step, caller_id caller, bool won, std::uint64_t version,
                                  const json& current) {
  if (request* value = m_requests.find(caller); value != nullptr && value->claim) {
    std::vector<idempotency::action> actions;
    if (won) {
      value->claim->on_write_won(version, actions);
    } else {
      value->claim->on_write_lost(step.now, version, current, actions);
    }
    run_claim(step, *value, std::move(actions));
    m_requests.sweep();
  }
}

void entry_core::on_claim_write_unknown(step& step, caller_id caller) {
  if (request* value = m_requests.find(caller); value != nullptr && value->claim) {
    std::vector<idempotency::action> actions;
    value->claim->on_write_unknown(actions);
    run_claim(step, *value, std::move(actions));
    m_requests.sweep();
  }
}

}  // namespace cuminpath::entry
