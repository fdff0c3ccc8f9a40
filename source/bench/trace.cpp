#include "bench/trace.h"

#include <algorithm>
#include <cmath>

namespace cuminpath::bench {
namespace {

// Returns a number in [0, 1). The distributions of the standard library differ between implementations; this
// function gives the same trace with each of them.
double uniform(random_source& random) {
  return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

std::vector<double> cumulative_popularity(std::uint32_t prefixes) {
  std::vector<double> cumulative;
  double sum = 0;
  for (std::uint32_t i = 1; i <= prefixes; ++i) {
    sum += 1.0 / i;
    cumulative.push_back(sum);
  }
  return cumulative;
}

}  // namespace

time_point time_at(double seconds_after_start) {
  return k_start + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds_after_start));
}

std::vector<arrival> make_trace(const std::vector<stream>& streams, std::uint64_t seed) {
  std::vector<arrival> trace;
  for (std::size_t i = 0; i < streams.size(); ++i) {
    const stream& value = streams[i];
    random_source random(seed * 1000 + i);
    const std::vector<double> cumulative = cumulative_popularity(value.prefixes);
    double now = value.from_s;
    while ((now -= std::log(1 - uniform(random)) / value.rate) < value.to_s) {
      const auto tokens = static_cast<std::uint32_t>(value.mean_tokens * (0.5 + uniform(random)));
      std::uint64_t prefix = 0;
      if (!cumulative.empty()) {
        const auto found =
            std::upper_bound(cumulative.begin(), cumulative.end(), uniform(random) * cumulative.back());
        prefix = 1 + static_cast<std::uint64_t>(found - cumulative.begin());
      }
      trace.push_back({now, value.priority_class, value.workspace, std::max(tokens, 1U), value.mean_tokens,
                       value.timeout_s, prefix});
    }
  }
  std::stable_sort(trace.begin(), trace.end(),
                   [](const arrival& left, const arrival& right) { return left.at_s < right.at_s; });
  return trace;
}

}  // namespace cuminpath::bench
