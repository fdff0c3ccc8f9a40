#include "core/balancer/rank_worker.h"

namespace cuminpath::balancer {
namespace {

// An engine that has accepted a `prepare` but reports neither the copy nor that it is busy is sent the order
// again after this time.
constexpr milliseconds k_prepare_resend_interval{150};

}  // namespace

std::string_view order_name(const order_body& body) {
  struct names {
    std::string_view operator()(const prepare_order&) const { return "prepare"; }
    std::string_view operator()(const arm_order&) const { return "arm"; }
    std::string_view operator()(const disarm_order&) const { return "disarm"; }
    std::string_view operator()(const hold_order&) const { return "hold"; }
    std::string_view operator()(const go_order&) const { return "go"; }
  };
  return std::visit(names{}, body);
}

bool rank_worker::set_directive(const directive* value) {
  if (value == nullptr) {
    m_directive.reset();
    return false;
  }
  if (value->token < m_highest_token || value->token <= m_refused_token) {
    return false;
  }
  const bool changed = !m_directive || m_directive->token != value->token ||
                       m_directive->kind != value->kind || m_directive->version != value->version ||
                       m_directive->round != value->round;
  m_highest_token = value->token;
  m_directive = *value;
  const bool hold_ordered = value->kind == phase::holding || value->kind == phase::arming ||
                            value->kind == phase::arming_holder || value->kind == phase::arming_leader;
  if (hold_ordered && token_of_version(value->version) == value->token &&
      value->version > m_latched.version) {
    m_latched = {.epoch = value->epoch, .version = value->version, .leader = value->leader};
  }
  return changed;
}

void rank_worker::on_status(const engine_status& status) {
  m_status = status;
  m_status_outdated = false;
  m_fenced = m_fence_executed;
  if (m_directive && m_directive->kind == phase::checking && !m_pending_order) {
    m_checked = {.version = m_directive->version, .round = m_directive->round};
  }
}

std::optional<order_body> rank_worker::needed_order(time_point now) const {
  const directive& wanted = *m_directive;
  const engine_status& status = *m_status;
  if (status.epoch != wanted.epoch || !status.open) {
    return std::nullopt;
  }
  const armed_switch target{wanted.version, wanted.step};
  switch (wanted.kind) {
    case phase::idle:
    case phase::checking:
      return std::nullopt;
    case phase::preparing: {
      const bool copying = status.busy || now - m_prepare_accepted_at < k_prepare_resend_interval;
      if (status.prepared == wanted.version || status.map_version >= wanted.version || status.armed ||
          (m_accepted_prepare_version == wanted.version && copying)) {
        return std::nullopt;
      }
      return prepare_order{wanted.version, wanted.map};
    }
    case phase::holding:
      if (status.rank != wanted.holder || status.held || status.step >= wanted.step) {
        return std::nullopt;
      }
      return hold_order{wanted.step};
    case phase::arming:
    case phase::arming_holder:
    case phase::arming_leader: {
      if (!is_turn_to_arm(status.rank, wanted) || status.prepared != wanted.version ||
          status.map_version == wanted.version || (status.armed && status.armed != target)) {
        return std::nullopt;
      }
      // A rank that an earlier leader has armed is armed again, so that it refuses that leader's orders.
      const bool confirmed = token_of_version(wanted.version) == wanted.token ||
                             (m_armed_token == wanted.token && m_armed_version == wanted.version);
      if (status.armed && confirmed) {
        return std::nullopt;
      }
      return arm_order{target};
    }
    case phase::going:
      if (status.rank != wanted.holder || status.held != wanted.step) {
        return std::nullopt;
      }
      return go_order{wanted.step};
    case phase::releasing:
      if (!status.held) {
        return std::nullopt;
      }
      return go_order{*status.held};
    case phase::fencing:
      if (m_fence_executed == token_use{wanted.token, wanted.epoch}) {
        return std::nullopt;
      }
      return disarm_order{wanted.version};
    case phase::disarming:
      if (m_disarmed_token == wanted.token && m_disarmed_epoch == wanted.epoch && !status.armed) {
        return std::nullopt;
      }
      return disarm_order{status.armed ? status.armed->version : wanted.version};
  }
  return std::nullopt;
}

std::optional<order> rank_worker::next_order(time_point now) {
  if (!m_directive || !m_status || m_pending_order || m_status_outdated) {
    return std::nullopt;
  }
  auto body = needed_order(now);
  if (!body) {
    return std::nullopt;
  }
  m_pending_order = order{.token = m_directive->token, .epoch = m_directive->epoch, .body = std::move(*body)};
  return m_pending_order;
}

void rank_worker::on_result(order_result result, time_point now) {
  if (!m_pending_order) {
    return;
  }
  const order done = std::move(*m_pending_order);
  m_pending_order.reset();
  m_status_outdated = true;
  switch (result) {
    case order_result::accepted:
      if (const auto* prepare = std::get_if<prepare_order>(&done.body)) {
        m_accepted_prepare_version = prepare->version;
        m_prepare_accepted_at = now;
      }
      if (const auto* arm = std::get_if<arm_order>(&done.body)) {
        m_armed_token = done.token;
        m_armed_version = arm->value.version;
      }
      if (const auto* disarm = std::get_if<disarm_order>(&done.body);
          disarm != nullptr && disarm->version == first_version_of_token(done.token)) {
        m_fence_executed = {.token = done.token, .epoch = done.epoch};
      } else if (disarm != nullptr) {
        m_disarmed_token = done.token;
        m_disarmed_epoch = done.epoch;
      }
      return;
    case order_result::stale:
      m_refused_token = std::max(m_refused_token, done.token);
      m_directive.reset();
      return;
    case order_result::conflict:
    case order_result::no_response:
      return;
  }
}

}  // namespace cuminpath::balancer
