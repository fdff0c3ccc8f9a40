#include "core/transport/link_metrics.h"

#include <string_view>

namespace cuminpath::transport {

void link_metrics::update(telemetry::metrics& metrics, const mailbox_counters& now) {
  const auto grow = [&](std::string_view name, std::uint64_t current, std::uint64_t before) {
    metrics.add(name, {}, static_cast<double>(current - before));
  };
  grow("cuminpath_peer_envelopes_sent_total", now.envelopes_sent, m_exported.envelopes_sent);
  grow("cuminpath_peer_envelopes_received_total", now.envelopes_received, m_exported.envelopes_received);
  grow("cuminpath_peer_bytes_sent_total", now.bytes_sent, m_exported.bytes_sent);
  grow("cuminpath_peer_bytes_received_total", now.bytes_received, m_exported.bytes_received);
  grow("cuminpath_peer_malformed_total", now.malformed, m_exported.malformed);
  m_exported = now;
  metrics.set("cuminpath_peer_links", static_cast<double>(now.peers));
  metrics.set("cuminpath_peer_queued_bytes", static_cast<double>(now.queued_bytes));
}

}  // namespace cuminpath::transport
