// Shares of workspaces in the slots of a service. gateway::workspace_shares decides on them.

#include "core/gateway/admission.h"
#include "core/proxy/exchange.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {

gateway::workspace_shares* exchange::workspace_shares() const {
  const bool resumes = m_request.header(m_state.header_names.resume_after).has_value();
  if (!m_state.workspace_shares_enabled || m_workspace == nullptr || resumes) {
    return nullptr;
  }
  return &m_state.workspace_shares[m_service];
}

gateway::share_request exchange::make_share_request() const {
  const auto tokens = token_count();
  return {.workspace = m_workspace->name,
          .rank = m_priority,
          .cost = tokens && *tokens > 0 ? static_cast<double>(*tokens) : 1,
          .is_retry = m_is_retry};
}

void exchange::count_workspace_request(time_point now) {
  if (auto* shares = workspace_shares()) {
    shares->on_request(make_share_request(), now);
  }
}

bool exchange::within_workspace_share(time_point now) {
  const auto* shares = workspace_shares();
  if (shares == nullptr) {
    return true;
  }
  const double scarcity =
      gateway::scarcity(m_state.upstreams.totals(m_service, now), make_admission_request(now));
  if (shares->may_admit(make_share_request(), scarcity, now)) {
    return true;
  }
  m_state.metrics.add("cuminpath_admission_refusals_total",
                      {{"service", m_service}, {"reason", "workspace_share"}});
  telemetry::log(telemetry::log_level::info, "request", "workspace uses more than its share",
                 {{"request", m_request_id}, {"workspace", m_workspace->name}, {"scarcity", scarcity}});
  return false;
}

void exchange::charge_workspace(time_point now) {
  if (auto* shares = workspace_shares()) {
    shares->on_admitted(make_share_request(), now);
  }
}

}  // namespace cuminpath::proxy
