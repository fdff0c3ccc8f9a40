#include "core/group_switch/participant.h"

#include <utility>

namespace cuminpath::group_switch {
namespace {

using wire::switch_phase;

// A coordinator repeats its messages, so a longer queue would contain only duplicates.
constexpr std::size_t k_max_queued_messages = 32;

bool accepts_prepare(switch_phase phase) {
  switch (phase) {
    case switch_phase::idle:
    case switch_phase::aborted:
    case switch_phase::committed:
      return true;
    case switch_phase::preparing:
    case switch_phase::prepared:
    case switch_phase::armed:
      return false;
  }
  return false;
}

}  // namespace

participant::participant(std::string group, std::uint32_t rank) : m_group(std::move(group)), m_rank(rank) {}

void participant::start(std::vector<participant_action>& actions) {
  actions.emplace_back(query_engine{});
  actions.emplace_back(query_token{});
}

void participant::on_group_token(fencing_token floor, std::vector<participant_action>& actions) {
  m_token = std::max(m_token, floor);
  m_token_known = true;
  handle_queued_messages(actions);
}

void participant::on_engine_state(const engine_state& state, std::vector<participant_action>& actions) {
  m_engine_state_known = true;
  m_pending.reset();
  m_token = std::max(m_token, state.token);
  m_switch_id = state.switch_id;
  m_phase = state.phase;
  m_switch_step = state.switch_step;
  m_step = state.step;
  m_new_digest = state.new_digest;
  m_digest = state.phase == switch_phase::committed ? state.new_digest : state.digest;
  m_engine_state_fresh = true;
  handle_queued_messages(actions);
  m_engine_state_fresh = false;
}

void participant::on_engine_unreachable(std::vector<participant_action>& actions) {
  m_engine_state_known = false;
  m_pending.reset();
  actions.emplace_back(query_engine{});
}

void participant::on_engine_result(bool accepted, std::uint64_t step,
                                   std::vector<participant_action>& actions) {
  if (!m_pending) {
    return;
  }
  const auto completed = *std::exchange(m_pending, std::nullopt);
  m_step = step;
  switch (completed.command) {
    case engine_command::prepare_map:
      m_phase = accepted ? switch_phase::prepared : switch_phase::aborted;
      reply_prepared(completed.peer_address, accepted, actions);
      break;
    case engine_command::arm_map:
      m_phase = accepted ? switch_phase::armed : m_phase;
      reply_armed(completed.peer_address, accepted, actions);
      break;
    case engine_command::go_map:
      if (accepted) {
        m_phase = switch_phase::committed;
        m_digest = m_new_digest;
      }
      reply_state(completed.peer_address, actions);
      break;
    case engine_command::abort_map:
      m_phase = accepted ? switch_phase::aborted : m_phase;
      reply_state(completed.peer_address, actions);
      break;
  }
  handle_queued_messages(actions);
}

void participant::handle_queued_messages(std::vector<participant_action>& actions) {
  while (ready() && !m_queued_messages.empty()) {
    const auto next = std::move(m_queued_messages.front());
    m_queued_messages.erase(m_queued_messages.begin());
    handle(next.first, next.second, actions);
  }
}

void participant::on_message(std::string_view peer_address, const wire::message& message,
                             std::vector<participant_action>& actions) {
  if (ready()) {
    handle(peer_address, message, actions);
  } else if (m_queued_messages.size() < k_max_queued_messages) {
    m_queued_messages.emplace_back(peer_address, message);
  }
}

void participant::handle(std::string_view peer_address, const wire::message& message,
                         std::vector<participant_action>& actions) {
  if (const auto* prepare = std::get_if<wire::switch_prepare>(&message)) {
    on_prepare(peer_address, *prepare, actions);
  } else if (const auto* arm = std::get_if<wire::switch_arm>(&message)) {
    on_arm(peer_address, *arm, actions);
  } else if (const auto* commit = std::get_if<wire::switch_commit>(&message)) {
    on_commit(peer_address, *commit, actions);
  } else if (const auto* abort = std::get_if<wire::switch_abort>(&message)) {
    on_abort(peer_address, *abort, actions);
  } else if (const auto* query = std::get_if<wire::switch_query>(&message)) {
    if (accept_token(query->token)) {
      reply_state(peer_address, actions);
    }
  }
}

// Returns false for the token of a coordinator that has been replaced. It gets no answer, since an answer
// could only make it continue.
bool participant::accept_token(fencing_token token) {
  if (token < m_token) {
    return false;
  }
  m_token = token;
  return true;
}

// Whether the switch is committed but the engine had not run the first step on the new map when its step was
// last reported. Preparing another map would then discard the one to which the other ranks switch.
bool participant::switch_pending() const {
  return m_phase == switch_phase::committed && m_step <= m_switch_step;
}

void participant::handle_after_state_query(std::string_view peer, const wire::message& message,
                                           std::vector<participant_action>& actions) {
  m_engine_state_known = false;
  m_queued_messages.emplace(m_queued_messages.begin(), peer, message);
  actions.emplace_back(query_engine{});
}

void participant::on_prepare(std::string_view peer, const wire::switch_prepare& message,
                             std::vector<participant_action>& actions) {
  if (!accept_token(message.token)) {
    return;
  }
  if (message.switch_id == m_switch_id && m_phase == switch_phase::prepared) {
    reply_prepared(peer, true, actions);
    return;
  }
  if (switch_pending() && !m_engine_state_fresh) {
    handle_after_state_query(peer, message, actions);
    return;
  }
  if (message.switch_id <= m_switch_id || !accepts_prepare(m_phase) || switch_pending()) {
    reply_prepared(peer, false, actions);
    return;
  }
  m_switch_id = message.switch_id;
  m_phase = switch_phase::preparing;
  m_new_digest = message.digest;
  send_order({.command = engine_command::prepare_map,
              .token = message.token,
              .switch_id = message.switch_id,
              .step = 0,
              .digest = message.digest,
              .plan = message.plan},
             peer, actions);
}

void participant::on_arm(std::string_view peer, const wire::switch_arm& message,
                         std::vector<participant_action>& actions) {
  if (!accept_token(message.token)) {
    return;
  }
  if (message.switch_id != m_switch_id || m_phase != switch_phase::prepared) {
    reply_armed(peer, message.switch_id == m_switch_id && m_phase == switch_phase::armed, actions);
    return;
  }
  m_switch_step = message.step;
  send_order({.command = engine_command::arm_map,
              .token = message.token,
              .switch_id = message.switch_id,
              .step = message.step,
              .digest = {},
              .plan = {}},
             peer, actions);
}

void participant::on_commit(std::string_view peer, const wire::switch_commit& message,
                            std::vector<participant_action>& actions) {
  if (!accept_token(message.token)) {
    return;
  }
  if (message.switch_id != m_switch_id || m_phase != switch_phase::armed) {
    reply_state(peer, actions);
    return;
  }
  send_order({.command = engine_command::go_map,
              .token = message.token,
              .switch_id = message.switch_id,
              .step = m_switch_step,
              .digest = {},
              .plan = {}},
             peer, actions);
}

void participant::on_abort(std::string_view peer, const wire::switch_abort& message,
                           std::vector<participant_action>& actions) {
  if (!accept_token(message.token)) {
    return;
  }
  if (message.switch_id > m_switch_id && switch_pending()) {
    if (!m_engine_state_fresh) {
      handle_after_state_query(peer, message, actions);
    }
    return;  // The coordinator repeats the message.
  }
  if (message.switch_id > m_switch_id) {
    // The prepare message has not arrived yet. Recording its switch id refuses it if it arrives late.
    m_switch_id = message.switch_id;
    m_phase = accepts_prepare(m_phase) ? switch_phase::aborted : m_phase;
  }
  if (message.switch_id != m_switch_id || accepts_prepare(m_phase)) {
    reply_state(peer, actions);
    return;
  }
  send_order({.command = engine_command::abort_map,
              .token = message.token,
              .switch_id = message.switch_id,
              .step = 0,
              .digest = {},
              .plan = {}},
             peer, actions);
}

void participant::send_order(engine_order value, std::string_view peer,
                             std::vector<participant_action>& actions) {
  m_pending = pending_order{value.command, std::string(peer)};
  actions.emplace_back(std::move(value));
}

void participant::reply_prepared(std::string_view peer, bool ready,
                                 std::vector<participant_action>& actions) {
  actions.emplace_back(reply{std::string(peer), wire::switch_prepared{.group = m_group,
                                                                      .token = m_token,
                                                                      .switch_id = m_switch_id,
                                                                      .rank = m_rank,
                                                                      .ready = ready,
                                                                      .step = m_step}});
}

void participant::reply_armed(std::string_view peer, bool armed, std::vector<participant_action>& actions) {
  actions.emplace_back(reply{
      std::string(peer),
      wire::switch_armed{
          .group = m_group, .token = m_token, .switch_id = m_switch_id, .rank = m_rank, .armed = armed}});
}

void participant::reply_state(std::string_view peer, std::vector<participant_action>& actions) {
  actions.emplace_back(reply{std::string(peer), wire::switch_state{.group = m_group,
                                                                   .token = m_token,
                                                                   .rank = m_rank,
                                                                   .switch_id = m_switch_id,
                                                                   .phase = m_phase,
                                                                   .step = m_step,
                                                                   .digest = m_digest}});
}

}  // namespace cuminpath::group_switch
