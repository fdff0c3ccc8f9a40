// Generates arrival traces from Poisson streams of requests with fixed seeds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"

namespace cuminpath::bench {

struct stream {
  std::string priority_class;
  std::string workspace;
  double rate = 1;  // Requests per second.
  double from_s = 0;
  double to_s = 0;
  // Mean length of the output; lengths are uniformly distributed between 0.5 and 1.5 times the mean. The
  // expected length of each request is the mean, because callers do not know the length of a response.
  std::uint32_t mean_tokens = 60;
  double timeout_s = 30;
  // Number of different prompt prefixes, with popularity 1/rank; 0 for requests without a prefix.
  std::uint32_t prefixes = 0;
};

struct arrival {
  double at_s = 0;
  std::string priority_class;
  std::string workspace;
  std::uint32_t tokens = 0;
  std::uint32_t expected_tokens = 0;
  double timeout_s = 0;
  std::uint64_t prefix = 0;
};

// Start of virtual time. It differs from the epoch, so that a time point that was never set lies far in the
// past.
inline constexpr time_point k_start{std::chrono::hours(1)};

// Returns the time point `seconds_after_start` seconds after the start of virtual time.
time_point time_at(double seconds_after_start);

// Returns the arrivals of all streams, ordered by time.
std::vector<arrival> make_trace(const std::vector<stream>& streams, std::uint64_t seed);

}  // namespace cuminpath::bench
