// Applies to the upstream table what the gateways together know of silent upstreams, and logs it.
#pragma once

#include <string>
#include <string_view>

#include "core/common/time.h"
#include "core/gateway/member_list.h"
#include "core/gateway/silent_upstreams.h"
#include "core/proxy/proxy_state.h"

namespace cuminpath::proxy {

class silence_exchange {
public:
  // `state` must outlive this object.
  silence_exchange(proxy_state& state, std::string local_name);

  void on_report(std::string_view gateway, const gateway::silence_report& report, time_point now) {
    m_state.silent_upstreams.on_report(gateway, report, now);
  }
  void on_gateway_suspected(std::string_view gateway) { m_state.silent_upstreams.forget_gateway(gateway); }
  // Returns true if other gateways wait for a report.
  bool tick(const gateway::member_list& members, time_point now);
  // Returns what the next report says.
  gateway::silence_report report(time_point now);

private:
  void log_change(const gateway::silent_upstreams::change& change);

  proxy_state& m_state;
  std::string m_local_name;
  bool m_news = false;
  time_point m_last_report{};
};

}  // namespace cuminpath::proxy
