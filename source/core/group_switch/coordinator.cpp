#include "core/group_switch/coordinator.h"

#include <algorithm>
#include <utility>

namespace cuminpath::group_switch {
namespace {

using wire::switch_phase;

template <class... functions>
struct overloaded : functions... {
  using functions::operator()...;
};
template <class... functions>
overloaded(functions...) -> overloaded<functions...>;

bool undecided(switch_phase phase) {
  return phase == switch_phase::preparing || phase == switch_phase::prepared || phase == switch_phase::armed;
}

}  // namespace

coordinator::coordinator(coordinator_options options)
    : m_options(std::move(options)),
      m_answered(m_options.ranks, false),
      m_rank_steps(m_options.ranks, 0),
      m_rank_states(m_options.ranks) {}

std::string_view coordinator::state_name() const {
  return std::visit(
      overloaded{[](const acquiring&) { return "acquiring"; }, [](const recovering&) { return "recovering"; },
                 [](const idle_state&) { return "idle"; }, [](const preparing&) { return "preparing"; },
                 [](const arming&) { return "arming"; }, [](const committing&) { return "committing"; },
                 [](const aborting&) { return "aborting"; }},
      m_state);
}

void coordinator::enter(time_point now, state next) {
  m_state = std::move(next);
  m_answered.assign(m_options.ranks, false);
  m_next_send_at = now;
}

bool coordinator::all_answered() const {
  return std::all_of(m_answered.begin(), m_answered.end(), [](bool answered) { return answered; });
}

void coordinator::on_token(time_point now, fencing_token token) {
  if (token > m_token) {
    m_token = token;
    enter(now, recovering{});
  }
}

bool coordinator::start_switch(time_point now, std::string digest, std::string plan) {
  if (!idle()) {
    return false;
  }
  ++m_switch_id;
  m_new_digest = std::move(digest);
  enter(now, preparing{std::move(plan), now + m_options.prepare_timeout});
  return true;
}

void coordinator::abort_switch(time_point now, std::string reason) {
  if (std::holds_alternative<preparing>(m_state) || std::holds_alternative<arming>(m_state)) {
    enter(now, aborting{std::move(reason)});
  }
}

void coordinator::on_message(time_point now, const wire::message& message,
                             std::vector<coordinator_action>& actions) {
  if (const auto* prepared = std::get_if<wire::switch_prepared>(&message)) {
    on_prepared(now, *prepared);
  } else if (const auto* armed = std::get_if<wire::switch_armed>(&message)) {
    on_armed(now, *armed);
  } else if (const auto* state_of_rank = std::get_if<wire::switch_state>(&message)) {
    on_state(now, *state_of_rank, actions);
  }
}

void coordinator::on_prepared(time_point now, const wire::switch_prepared& message) {
  if (!std::holds_alternative<preparing>(m_state) || message.token != m_token ||
      message.switch_id != m_switch_id || message.rank >= m_options.ranks) {
    return;
  }
  if (!message.ready) {
    abort_switch(now, "rank " + std::to_string(message.rank) + " could not prepare");
    return;
  }
  m_answered[message.rank] = true;
  m_rank_steps[message.rank] = message.step;
  if (all_answered()) {
    const auto furthest = *std::max_element(m_rank_steps.begin(), m_rank_steps.end());
    enter(now, arming{furthest + m_options.margin_steps, now + m_options.arm_timeout});
  }
}

void coordinator::on_armed(time_point now, const wire::switch_armed& message) {
  if (!std::holds_alternative<arming>(m_state) || message.token != m_token ||
      message.switch_id != m_switch_id || message.rank >= m_options.ranks) {
    return;
  }
  if (!message.armed) {
    abort_switch(now, "rank " + std::to_string(message.rank) + " could not arm in time");
    return;
  }
  m_answered[message.rank] = true;
  if (all_answered()) {
    enter(now, committing{});
  }
}

void coordinator::on_state(time_point now, const wire::switch_state& message,
                           std::vector<coordinator_action>& actions) {
  if (message.token != m_token || message.rank >= m_options.ranks) {
    return;
  }
  m_rank_states[message.rank] = message;
  if (std::holds_alternative<recovering>(m_state)) {
    m_answered[message.rank] = true;
    if (all_answered()) {
      finish_recovery(now);
    }
  } else if (std::holds_alternative<committing>(m_state)) {
    m_answered[message.rank] = message.switch_id == m_switch_id && message.phase == switch_phase::committed;
    if (all_answered()) {
      finish(now, true, {}, actions);
    }
  } else if (const auto* abort = std::get_if<aborting>(&m_state)) {
    m_answered[message.rank] = message.switch_id >= m_switch_id && !undecided(message.phase);
    if (all_answered()) {
      finish(now, false, abort->reason, actions);
    }
  }
}

void coordinator::finish_recovery(time_point now) {
  const auto newest =
      std::max_element(m_rank_states.begin(), m_rank_states.end(),
                       [](const auto& left, const auto& right) { return left.switch_id < right.switch_id; });
  m_switch_id = newest->switch_id;
  bool any_undecided = false;
  for (const auto& item : m_rank_states) {
    if (item.switch_id == m_switch_id && item.phase == switch_phase::committed) {
      m_new_digest = item.digest;
      enter(now, committing{});
      return;
    }
    any_undecided = any_undecided || undecided(item.phase);
  }
  m_digest = newest->digest;
  if (any_undecided) {
    enter(now, aborting{"the coordinator was replaced before the decision"});
  } else {
    enter(now, idle_state{});
  }
}

void coordinator::finish(time_point now, bool committed, std::string reason,
                         std::vector<coordinator_action>& actions) {
  if (committed) {
    m_digest = m_new_digest;
    actions.emplace_back(record_map{m_token, m_digest});
  }
  actions.emplace_back(switch_finished{m_switch_id, committed, std::move(reason)});
  enter(now, idle_state{});
}

std::optional<wire::message> coordinator::message_for(std::uint32_t rank) const {
  if (m_answered[rank]) {
    return std::nullopt;
  }
  using result_type = std::optional<wire::message>;
  const auto& group = m_options.group;
  return std::visit(
      overloaded{[](const acquiring&) -> result_type { return std::nullopt; },
                 [&](const recovering&) -> result_type {
                   return wire::switch_query{.group = group, .token = m_token};
                 },
                 [](const idle_state&) -> result_type { return std::nullopt; },
                 [&](const preparing& current) -> result_type {
                   return wire::switch_prepare{.group = group,
                                               .token = m_token,
                                               .switch_id = m_switch_id,
                                               .digest = m_new_digest,
                                               .plan = current.plan};
                 },
                 [&](const arming& current) -> result_type {
                   return wire::switch_arm{
                       .group = group, .token = m_token, .switch_id = m_switch_id, .step = current.step};
                 },
                 [&](const committing&) -> result_type {
                   return wire::switch_commit{.group = group, .token = m_token, .switch_id = m_switch_id};
                 },
                 [&](const aborting&) -> result_type {
                   return wire::switch_abort{.group = group, .token = m_token, .switch_id = m_switch_id};
                 }},
      m_state);
}

void coordinator::check_deadline(time_point now) {
  if (const auto* current = std::get_if<preparing>(&m_state);
      current != nullptr && now >= current->deadline) {
    abort_switch(now, "a rank did not prepare in time");
  } else if (const auto* arm = std::get_if<arming>(&m_state); arm != nullptr && now >= arm->deadline) {
    abort_switch(now, "a rank did not arm in time");
  }
}

void coordinator::send_due(time_point now, std::vector<coordinator_action>& actions) {
  if (now < m_next_send_at) {
    return;
  }
  m_next_send_at = now + m_options.resend_interval;
  if (std::holds_alternative<acquiring>(m_state)) {
    actions.emplace_back(acquire_token{});
    return;
  }
  for (std::uint32_t rank = 0; rank < m_options.ranks; ++rank) {
    if (auto message = message_for(rank)) {
      actions.emplace_back(send_to_rank{rank, std::move(*message)});
    }
  }
}

void coordinator::tick(time_point now, std::vector<coordinator_action>& actions) {
  check_deadline(now);
  send_due(now, actions);
}

}  // namespace cuminpath::group_switch
