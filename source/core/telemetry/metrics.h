// Collects metrics and writes them in the Prometheus text format. Not thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminpath::telemetry {

using labels = std::vector<std::pair<std::string, std::string>>;

// Counters only increase. Gauges are set to a value. Histograms of times in seconds have fixed buckets, so
// that those of several processes can be added. Names follow the Prometheus conventions, such as
// cuminpath_requests_total and ..._seconds.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  void add(std::string_view counter, const labels& series_labels = {}, double amount = 1);
  void set(std::string_view gauge, double value, const labels& series_labels = {});
  void observe(std::string_view name, double seconds, const labels& series_labels = {});

  [[nodiscard]] std::string prometheus_text() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::telemetry
