#include "core/telemetry/metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <functional>
#include <map>

#include <fmt/format.h>

namespace cuminpath::telemetry {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 4> k_quantiles{0.5, 0.9, 0.95, 0.99};
// extended_p_square starts to estimate once it has a sample for each of its 2 * quantiles + 3 markers.
constexpr std::size_t k_exact_samples = 2 * k_quantiles.size() + 3;

class summary {
public:
  void add(double value) {
    m_sum += value;
    ++m_count;
    m_estimate(value);
    if (m_first.size() < k_exact_samples) {
      m_first.insert(std::upper_bound(m_first.begin(), m_first.end(), value), value);
    }
  }
  [[nodiscard]] double quantile(std::size_t index) const {
    if (m_count <= k_exact_samples) {
      const auto rank = std::ceil(k_quantiles.at(index) * static_cast<double>(m_first.size()));
      return m_first.at(static_cast<std::size_t>(std::max(1.0, rank)) - 1);
    }
    return accumulators::extended_p_square(m_estimate)[static_cast<std::ptrdiff_t>(index)];
  }
  [[nodiscard]] double sum() const { return m_sum; }
  [[nodiscard]] std::uint64_t count() const { return m_count; }

private:
  using estimator =
      accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::extended_p_square>>;
  estimator m_estimate{accumulators::extended_p_square_probabilities = k_quantiles};
  std::vector<double> m_first;  // Sorted.
  double m_sum = 0;
  std::uint64_t m_count = 0;
};

template <class value_type>
using families = std::map<std::string, std::map<labels, value_type>, std::less<>>;

template <class value_type>
value_type& find_or_add(families<value_type>& all, std::string_view name, const labels& with) {
  auto family = all.find(name);
  if (family == all.end()) {
    family = all.try_emplace(std::string(name)).first;
  }
  return family->second[with];
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

std::string format_labels(const labels& with, std::string_view quantile = {}) {
  std::string out;
  for (const auto& [name, value] : with) {
    out += fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", name, escape(value));
  }
  if (!quantile.empty()) {
    out += fmt::format("{}quantile=\"{}\"", out.empty() ? "" : ",", quantile);
  }
  return out.empty() ? out : "{" + out + "}";
}

void append_values(std::string& out, const families<double>& all, std::string_view type) {
  for (const auto& [name, series] : all) {
    out += fmt::format("# TYPE {} {}\n", name, type);
    for (const auto& [with, value] : series) {
      out += fmt::format("{}{} {}\n", name, format_labels(with), value);
    }
  }
}

void append_summary(std::string& out, std::string_view name, const labels& with, const summary& value) {
  for (std::size_t i = 0; i < k_quantiles.size(); ++i) {
    out += fmt::format("{}{} {}\n", name, format_labels(with, fmt::format("{}", k_quantiles.at(i))),
                       value.quantile(i));
  }
  out += fmt::format("{}_sum{} {}\n", name, format_labels(with), value.sum());
  out += fmt::format("{}_count{} {}\n", name, format_labels(with), value.count());
}

}  // namespace

class metrics::impl {
public:
  families<double> counters;
  families<double> gauges;
  families<summary> summaries;
};

metrics::metrics() : m_impl(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::add(std::string_view counter, const labels& with, double amount) {
  find_or_add(m_impl->counters, counter, with) += std::max(0.0, amount);
}

void metrics::set(std::string_view gauge, double value, const labels& with) {
  find_or_add(m_impl->gauges, gauge, with) = value;
}

void metrics::observe(std::string_view name, double value, const labels& with) {
  if (std::isfinite(value)) {
    find_or_add(m_impl->summaries, name, with).add(value);
  }
}

std::string metrics::prometheus_text() const {
  std::string out;
  append_values(out, m_impl->counters, "counter");
  append_values(out, m_impl->gauges, "gauge");
  for (const auto& [name, series] : m_impl->summaries) {
    out += fmt::format("# TYPE {} summary\n", name);
    for (const auto& [with, value] : series) {
      append_summary(out, name, with, value);
    }
  }
  return out;
}

}  // namespace cuminpath::telemetry
