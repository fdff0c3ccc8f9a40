// Exchanges with other gateways which prompt parts crash upstreams.
#pragma once

#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "core/common/time.h"
#include "core/gateway/crash_report.h"
#include "core/gateway/member_list.h"
#include "core/routing/prompt_quarantine.h"
#include "core/telemetry/metrics.h"

namespace cuminpath::proxy {

// Sends and receives the evidence of a prompt_quarantine, and logs the quarantines that begin and end.
class evidence_exchange {
public:
  using send_function = std::function<void(std::string_view bytes, std::span<const std::string> addresses)>;

  // `quarantine` and `metrics` must outlive this object.
  evidence_exchange(routing::prompt_quarantine& quarantine, telemetry::metrics& metrics,
                    std::string local_name, send_function send);

  // Sends what other gateways may not know yet; nothing if there is no such evidence.
  void send(std::span<const std::string> addresses, time_point now);
  void on_report(const gateway::crash_report& report, const gateway::member_list& members, time_point now);
  // Another gateway has started and knows of no quarantine.
  void on_member_joined(time_point now) { m_quarantine.resend(now); }
  // Answers reports that were refuted. Returns true if there is evidence that must not wait for the next
  // regular message.
  bool tick(time_point now);

private:
  void log_changes(time_point now);

  routing::prompt_quarantine& m_quarantine;
  telemetry::metrics& m_metrics;
  std::string m_local_name;
  send_function m_send;
  std::set<std::string> m_refuted_senders;  // Addresses.
  bool m_news = false;
};

}  // namespace cuminpath::proxy
