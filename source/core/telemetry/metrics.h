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

// Counters only grow; gauges are set; histograms of times in seconds have fixed buckets, so that those of
// several processes can be added up. Names follow the Prometheus conventions: cuminpath_requests_total,
// ..._seconds.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  void add(std::string_view counter, const labels& with = {}, double amount = 1);
  void set(std::string_view gauge, double value, const labels& with = {});
  void observe(std::string_view name, double seconds, const labels& with = {});

  [[nodiscard]] std::string prometheus_text() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::telemetry
