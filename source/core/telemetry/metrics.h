// Metrics in Prometheus text. Used on one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminpath::telemetry {

using labels = std::vector<std::pair<std::string, std::string>>;

// Counters only grow; gauges are set; summaries give count, sum and the quantiles 0.5, 0.9, 0.95 and 0.99
// (Boost.Accumulators). Names follow the Prometheus conventions: cuminpath_requests_total, ..._seconds.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  void add(std::string_view counter, const labels& with = {}, double amount = 1);
  void set(std::string_view gauge, double value, const labels& with = {});
  void observe(std::string_view summary, double value, const labels& with = {});

  [[nodiscard]] std::string prometheus_text() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::telemetry
