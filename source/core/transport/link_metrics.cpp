#include "core/transport/link_metrics.h"

#include <string_view>

namespace cuminpath::transport {

void link_metrics::update(telemetry::metrics& metrics, const mailbox_counters& counters) {
  const auto add_growth = [&](std::string_view name, std::uint64_t current, std::uint64_t exported) {
    metrics.add(name, {}, static_cast<double>(current - exported));
  };
  add_growth("cuminpath_peer_envelopes_sent_total", counters.envelopes_sent,
             m_exported_counters.envelopes_sent);
  add_growth("cuminpath_peer_envelopes_received_total", counters.envelopes_received,
             m_exported_counters.envelopes_received);
  add_growth("cuminpath_peer_bytes_sent_total", counters.bytes_sent, m_exported_counters.bytes_sent);
  add_growth("cuminpath_peer_bytes_received_total", counters.bytes_received,
             m_exported_counters.bytes_received);
  add_growth("cuminpath_peer_malformed_total", counters.malformed_envelopes,
             m_exported_counters.malformed_envelopes);
  m_exported_counters = counters;
  metrics.set("cuminpath_peer_links", static_cast<double>(counters.peers));
  metrics.set("cuminpath_peer_queued_bytes", static_cast<double>(counters.queued_bytes));
}

}  // namespace cuminpath::transport
