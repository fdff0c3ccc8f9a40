#include "core/proxy/evidence_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "core/telemetry/log.h"

namespace cuminpath::proxy {

using telemetry::log_level;

evidence_exchange::evidence_exchange(routing::prompt_quarantine& quarantine, telemetry::metrics& metrics,
                                     std::string local_name, send_function send)
    : m_quarantine(quarantine),
      m_metrics(metrics),
      m_local_name(std::move(local_name)),
      m_send(std::move(send)) {}

void evidence_exchange::send(std::span<const std::string> addresses, time_point now) {
  if (addresses.empty() || m_quarantine.size() == 0) {
    return;
  }
  auto parts = m_quarantine.evidence_to_send(now);
  if (!parts.empty()) {
    m_send(gateway::encode_crash_report({m_local_name, std::move(parts)}), addresses);
  }
}

void evidence_exchange::on_report(const gateway::crash_report& report, const gateway::member_list& members,
                                  time_point now) {
  if (report.sender == m_local_name) {
    return;
  }
  m_news = m_quarantine.take_news() || m_news;
  m_quarantine.merge(report.parts, now);
  if (!m_quarantine.take_news()) {
    return;
  }
  m_news = true;
  const auto sender = std::find_if(
      members.all().begin(), members.all().end(),
      [&report](const gateway::member_list::member& each) { return each.report.name == report.sender; });
  if (sender != members.all().end()) {
    m_refuted_senders.insert(sender->report.report_address);
  }
}

bool evidence_exchange::tick(time_point now) {
  log_changes(now);
  const std::vector<std::string> addresses(m_refuted_senders.begin(), m_refuted_senders.end());
  m_refuted_senders.clear();
  send(addresses, now);
  return m_quarantine.take_news() || std::exchange(m_news, false);
}

void evidence_exchange::log_changes(time_point now) {
  using kind = routing::prompt_quarantine::change::kind;
  for (const auto& change : m_quarantine.update(now)) {
    const bool quarantined = change.type == kind::quarantined;
    telemetry::log(quarantined ? log_level::warning : log_level::info, "quarantine",
                   quarantined ? "prompt part quarantined" : "prompt part released",
                   {{"part", fmt::format("{:016x}", change.evidence.part)},
                    {"crashes", fmt::format("{:08x}", fmt::join(change.evidence.crashes, ","))},
                    {"for_ms", change.evidence.remaining.count()}});
    m_metrics.add("cuminpath_quarantine_changes_total", {{"to", quarantined ? "quarantined" : "released"}});
  }
}

}  // namespace cuminpath::proxy
