// Counters of a mailbox as metrics.
#pragma once

#include "core/telemetry/metrics.h"
#include "core/transport/mailbox.h"

namespace cuminpath::transport {

// Exports the growth since the last call. One exporter belongs to one mailbox and one set of metrics.
class link_metrics {
public:
  void update(telemetry::metrics& metrics, const mailbox_counters& now);

private:
  mailbox_counters m_exported;
};

}  // namespace cuminpath::transport
