// Exports the counters of a mailbox as metrics.
#pragma once

#include "core/telemetry/metrics.h"
#include "core/transport/mailbox.h"

namespace cuminpath::transport {

// Adds the growth of the counters since the last update. Each instance belongs to one mailbox and one set of
// metrics.
class link_metrics {
public:
  void update(telemetry::metrics& metrics, const mailbox_counters& counters);

private:
  mailbox_counters m_exported_counters;
};

}  // namespace cuminpath::transport
