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

void rank_worker::set_directive(const directive* value) {
  if (value == nullptr) {
    m_directive.reset();
    return;
  }
  if (value->token < m_highest_token || value->token <= m_refused_token) {
    return;
  }
  m_highest_token = value->token;
  m_directive = *value;
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
      if (status.prepared != wanted.version || status.armed || status.map_version == wanted.version) {
        return std::nullopt;
      }
      return arm_order{target};
    case phase::going:
    case phase::releasing:
      if (status.rank != wanted.holder || status.held != wanted.step) {
        return std::nullopt;
      }
      return go_order{wanted.step};
    case phase::disarming:
      if (m_disarmed_token == wanted.token && m_disarmed_epoch == wanted.epoch && !status.armed) {
        return std::nullopt;
      }
      return disarm_order{wanted.version};
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
      if (std::holds_alternative<disarm_order>(done.body)) {
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
