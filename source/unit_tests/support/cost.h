// Compares the processor time of two calls in one run.
#pragma once

#include <time.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>

namespace cuminpath::support {

// Input that is larger by this factor may cost up to k_max_growth times as much: more than work that is
// linear in the input, and far less than work that is quadratic.
constexpr std::size_t k_growth = 8;
constexpr double k_max_growth = 24;

// Returns the processor time of the calling thread in nanoseconds, which other processes do not prolong.
inline std::int64_t thread_time_ns() {
  timespec now{};
  static_cast<void>(::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now));
  return static_cast<std::int64_t>(now.tv_sec) * 1'000'000'000 + now.tv_nsec;
}

// Returns how many times the processor time of `small` the call `large` takes, by the fastest of several runs
// of each in turn.
inline double cost_ratio(const std::function<void()>& small, const std::function<void()>& large) {
  constexpr int k_runs = 7;
  const auto measure = [](const std::function<void()>& run) {
    const std::int64_t start = thread_time_ns();
    run();
    return thread_time_ns() - start;
  };
  std::int64_t small_ns = std::numeric_limits<std::int64_t>::max();
  std::int64_t large_ns = small_ns;
  for (int i = 0; i < k_runs; ++i) {
    small_ns = std::min(small_ns, measure(small));
    large_ns = std::min(large_ns, measure(large));
  }
  return static_cast<double>(large_ns) / static_cast<double>(std::max<std::int64_t>(small_ns, 1));
}

}  // namespace cuminpath::support
