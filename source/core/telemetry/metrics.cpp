#include "core/telemetry/metrics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>

#include <fmt/format.h>

namespace cuminpath::telemetry {
namespace {

// Upper bounds of the buckets in seconds. They include the latency targets of callers and the platform's
// limits on pauses, so that the share of values within a target can be read without interpolation.
constexpr std::array<double, 15> k_bucket_bounds_s{0.005, 0.01, 0.02, 0.05, 0.1, 0.12, 0.2, 0.3,
                                                   0.4,   0.6,  0.8,  1.2,  2,   4,    8};

class histogram {
public:
  void add(double value) {
    m_sum += value;
    const auto bucket = std::lower_bound(k_bucket_bounds_s.begin(), k_bucket_bounds_s.end(), value) -
                        k_bucket_bounds_s.begin();
    ++m_counts.at(static_cast<std::size_t>(bucket));
  }
  // Returns the number of values up to each bound, followed by the number of all values.
  [[nodiscard]] std::array<std::uint64_t, k_bucket_bounds_s.size() + 1> cumulative() const {
    auto counts = m_counts;
    std::partial_sum(counts.begin(), counts.end(), counts.begin());
    return counts;
  }
  [[nodiscard]] double sum() const { return m_sum; }

private:
  std::array<std::uint64_t, k_bucket_bounds_s.size() + 1> m_counts{};
  double m_sum = 0;
};

// Values by metric name and labels.
template <class value_type>
using families = std::map<std::string, std::map<labels, value_type>, std::less<>>;

template <class value_type>
value_type& find_or_add(families<value_type>& metric_families, std::string_view name,
                        const labels& series_labels) {
  auto family = metric_families.find(name);
  if (family == metric_families.end()) {
    family = metric_families.try_emplace(std::string(name)).first;
  }
  return family->second[series_labels];
}

std::string escape(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || c == '"') {
      out.push_back('\\');
    }
    c == '\n' ? out.append("\\n") : out.append(1, c);
  }
  return out;
}

std::string format_labels(const labels& series_labels, std::string_view bound = {}) {
  std::string out;
  for (const auto& [name, value] : series_labels) {
    out += fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", name, escape(value));
  }
  if (!bound.empty()) {
    out += fmt::format("{}le=\"{}\"", out.empty() ? "" : ",", bound);
  }
  return out.empty() ? out : "{" + out + "}";
}

void append_values(std::string& out, const families<double>& metric_families, std::string_view type) {
  for (const auto& [name, series] : metric_families) {
    out += fmt::format("# TYPE {} {}\n", name, type);
    for (const auto& [series_labels, value] : series) {
      out += fmt::format("{}{} {}\n", name, format_labels(series_labels), value);
    }
  }
}

void append_histogram(std::string& out, std::string_view name, const labels& series_labels,
                      const histogram& value) {
  const auto counts = value.cumulative();
  for (std::size_t i = 0; i < k_bucket_bounds_s.size(); ++i) {
    out +=
        fmt::format("{}_bucket{} {}\n", name,
                    format_labels(series_labels, fmt::format("{}", k_bucket_bounds_s.at(i))), counts.at(i));
  }
  out += fmt::format("{}_bucket{} {}\n", name, format_labels(series_labels, "+Inf"), counts.back());
  out += fmt::format("{}_sum{} {}\n", name, format_labels(series_labels), value.sum());
  out += fmt::format("{}_count{} {}\n", name, format_labels(series_labels), counts.back());
}

}  // namespace

class metrics::impl {
public:
  families<double> counters;
  families<double> gauges;
  families<histogram> histograms;
};

metrics::metrics() : m_impl(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::add(std::string_view counter, const labels& series_labels, double amount) {
  find_or_add(m_impl->counters, counter, series_labels) += std::max(0.0, amount);
}

void metrics::set(std::string_view gauge, double value, const labels& series_labels) {
  find_or_add(m_impl->gauges, gauge, series_labels) = value;
}

void metrics::observe(std::string_view name, double seconds, const labels& series_labels) {
  if (std::isfinite(seconds)) {
    find_or_add(m_impl->histograms, name, series_labels).add(seconds);
  }
}

std::string metrics::prometheus_text() const {
  std::string out;
  append_values(out, m_impl->counters, "counter");
  append_values(out, m_impl->gauges, "gauge");
  for (const auto& [name, series] : m_impl->histograms) {
    out += fmt::format("# TYPE {} histogram\n", name);
    for (const auto& [series_labels, value] : series) {
      append_histogram(out, name, series_labels, value);
    }
  }
  return out;
}

}  // namespace cuminpath::telemetry
