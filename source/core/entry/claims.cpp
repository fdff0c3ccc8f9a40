// Executes the actions of claims, which guard calls that may not be repeated.
#include <utility>

#include "core/entry/entry_core.h"

namespace cuminpath::entry {
namespace {

// Retry delay after a refusal for a stale configuration. A new configuration triggers the retry at once. Each
// attempt costs a write, so the delay is longer than for requests without a claim.
constexpr milliseconds k_stale_configuration_delay{1000};
constexpr milliseconds k_retry_after{1000};

}  // namespace

std::optional<idempotency::claim_target> entry_core::choose_claim_target(event_context& context,
                                                                         request& value) {
  // A claim names the incarnation of its agent, so agents whose incarnation is unknown are skipped.
  for (std::size_t remaining_tries = m_peers.size() + 1; remaining_tries > 0; --remaining_tries) {
    const auto upstream = m_router.choose(
        context.now, {value.accepted.model_or_service, value.accepted.prefix_hash, value.excluded},
        context.random);
    if (!upstream) {
      return std::nullopt;
    }
    const auto& info = m_router.upstream(*upstream);
    const auto agent = m_peers.find(info.peer_address);
    if (agent != m_peers.end() && agent->second.message_received) {
      return idempotency::claim_target{info.name, info.peer_address, agent->second.agent_incarnation};
    }
    value.excluded.push_back(*upstream);
  }
  return std::nullopt;
}

void entry_core::begin_claim(event_context& context, request& value) {
  std::vector<idempotency::action> actions;
  value.last_refusal = problem{503, wire::execution::not_run, "no upstream is available", k_retry_after};
  value.claim->start(choose_claim_target(context, value), actions);
  run_claim_actions(context, value, std::move(actions));
}

void entry_core::run_claim_actions(event_context& context, request& value,
                                   std::vector<idempotency::action> actions) {
  // Executing an action can append further actions.
  for (std::size_t i = 0; i < actions.size(); ++i) {
    const idempotency::action claim_action = std::move(actions[i]);
    execute_claim_action(context, value, claim_action, actions);
  }
}

void entry_core::execute_claim_action(event_context& context, request& value,
                                      const idempotency::action& claim_action,
                                      std::vector<idempotency::action>& new_actions) {
  if (std::holds_alternative<idempotency::read_row>(claim_action)) {
    context.actions.emplace_back(read_claim{value.caller, value.claim_key});
  } else if (const auto* write = std::get_if<idempotency::write_row>(&claim_action)) {
    context.actions.emplace_back(write_claim{value.caller, value.claim_key, write->value, write->if_version});
  } else if (std::holds_alternative<idempotency::choose_target>(claim_action)) {
    close_attempt(context, value, routing::attempt_outcome::refused, false);
    if (value.stale_configuration) {
      value.retry_at = context.now + k_stale_configuration_delay;
    } else {
      provide_target(context, value, new_actions);
    }
  } else if (const auto* attempt = std::get_if<idempotency::send_attempt>(&claim_action)) {
    send_claimed_attempt(context, value, *attempt, new_actions);
  } else if (const auto* settlement = std::get_if<idempotency::settle_attempt>(&claim_action)) {
    settle_claim(context, value, *settlement);
  } else if (const auto* stored = std::get_if<idempotency::respond>(&claim_action)) {
    close_attempt(context, value, routing::attempt_outcome::succeeded, false);
    http::response response{stored->response.status, stored->response.headers, stored->response.body};
    response.headers.emplace_back("X-Request-Id", value.request_id);
    respond_to(context, value, std::move(response));
  } else if (const auto* refusal = std::get_if<idempotency::refuse>(&claim_action)) {
    close_attempt(context, value, routing::attempt_outcome::failed, false);
    const auto ran = refusal->not_run ? wire::execution::not_run : wire::execution::unknown;
    respond_to(
        context, value,
        problem_response({refusal->status, ran, refusal->detail, refusal->retry_after}, value.request_id));
  }
}

void entry_core::provide_target(event_context& context, request& value,
                                std::vector<idempotency::action>& new_actions) {
  const problem& last_refusal = value.last_refusal;
  const idempotency::refuse refusal{last_refusal.status, true, last_refusal.retry_after, last_refusal.detail};
  const bool refusal_is_final = last_refusal.status == 429 || last_refusal.status == 504;
  // Taking over a claim is the first attempt of this request, so it does not count as a retry.
  const bool is_first_attempt = value.last_attempt == attempt_number{};
  const auto cost = value.retry_is_free ? retry_cost::free : retry_cost::budget;
  if (context.now >= value.deadline || refusal_is_final ||
      (!is_first_attempt && !try_take_retry(value, cost))) {
    value.claim->on_no_target(refusal, new_actions);
    return;
  }
  auto target = choose_claim_target(context, value);
  if (target) {
    value.claim->on_target(*std::move(target), new_actions);
  } else {
    value.claim->on_no_target(refusal, new_actions);
  }
}

void entry_core::send_claimed_attempt(event_context& context, request& value,
                                      const idempotency::send_attempt& claimed,
                                      std::vector<idempotency::action>& new_actions) {
  const auto upstream = m_router.find(claimed.target.upstream);
  const auto agent = m_peers.find(claimed.target.peer_address);
  // The claim names one agent process. If another process has replaced it, or the upstream has moved to
  // another agent, nothing is sent.
  const bool target_unchanged = upstream &&
                                m_router.upstream(*upstream).peer_address == claimed.target.peer_address &&
                                agent != m_peers.end() && agent->second.message_received &&
                                agent->second.agent_incarnation == claimed.target.agent;
  if (!target_unchanged || context.now >= value.deadline) {
    value.last_refusal = problem{context.now >= value.deadline ? 504 : 503, wire::execution::not_run,
                                 "the upstream has changed", k_retry_after};
    value.retry_is_free = true;
    value.claim->on_refusal(true, value.last_refusal.detail, new_actions);
    return;
  }
  send_attempt(context, value, *upstream, claimed.attempt, claimed.target.agent);
}

void entry_core::settle_claim(event_context& context, request& value,
                              const idempotency::settle_attempt& settlement) {
  if (value.settling_token != settlement.token) {
    value.settling_token = settlement.token;
    m_pending_settlements.emplace(settlement.token, value.caller);
  }
  context.actions.emplace_back(
      send_message{settlement.peer_address, wire::settle_attempt{settlement.token, settlement.attempt}});
}

void entry_core::on_claim_row(event_context& context, caller_id caller, std::uint64_t version,
                              const json& current) {
  if (request* value = m_requests.find(caller); value != nullptr && value->claim) {
    std::vector<idempotency::action> actions;
    value->claim->on_row(context.now, version, current, actions);
    run_claim_actions(context, *value, std::move(actions));
    m_requests.sweep();
  }
}

void entry_core::on_claim_row_failed(event_context& context, caller_id caller) {
  if (request* value = m_requests.find(caller); value != nullptr && value->claim) {
    std::vector<idempotency::action> actions;
    value->claim->on_row_failed(actions);
    run_claim_actions(context, *value, std::move(actions));
    m_requests.sweep();
  }
}

void entry_core::on_claim_written(event_context& context, caller_id caller, bool won, std::uint64_t version,
                                  const json& current) {
  if (request* value = m_requests.find(caller); value != nullptr && value->claim) {
    std::vector<idempotency::action> actions;
    if (won) {
      value->claim->on_write_succeeded(version, actions);
    } else {
      value->claim->on_write_conflict(context.now, version, current, actions);
    }
    run_claim_actions(context, *value, std::move(actions));
    m_requests.sweep();
  }
}

void entry_core::on_claim_write_unknown(event_context& context, caller_id caller) {
  if (request* value = m_requests.find(caller); value != nullptr && value->claim) {
    std::vector<idempotency::action> actions;
    value->claim->on_write_unknown(actions);
    run_claim_actions(context, *value, std::move(actions));
    m_requests.sweep();
  }
}

}  // namespace cuminpath::entry
