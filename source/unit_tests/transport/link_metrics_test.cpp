#include "core/transport/link_metrics.h"

#include <gmock/gmock.h>

namespace cuminpath::transport {
namespace {

// Guards against growth that is counted twice if the counters are exported often, and against rounded byte
// counts.
TEST(link_metrics, exports_the_growth_of_the_counters) {
  telemetry::metrics metrics;
  link_metrics exporter;
  mailbox_counters counters{.envelopes_sent = 3, .bytes_sent = 123456789, .peers = 2};
  exporter.update(metrics, counters);
  exporter.update(metrics, counters);
  counters.bytes_sent += 2;
  counters.peers = 1;
  exporter.update(metrics, counters);
  const auto text = metrics.prometheus_text();
  EXPECT_THAT(text, testing::HasSubstr("cuminpath_peer_envelopes_sent_total 3\n"));
  EXPECT_THAT(text, testing::HasSubstr("cuminpath_peer_bytes_sent_total 123456791\n"));
  EXPECT_THAT(text, testing::HasSubstr("cuminpath_peer_links 1\n"));
}

}  // namespace
}  // namespace cuminpath::transport
