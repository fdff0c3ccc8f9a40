// Arrival traces: Poisson streams of requests with fixed seeds.
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
  // Mean of the output; lengths are uniform between half and one and a half times this. The announced
  // length is the mean: callers do not know the length of a response.
  std::uint32_t mean_tokens = 60;
  double timeout_s = 30;
  std::uint32_t prefixes = 0;  // Number of different prefixes, with popularity 1/rank; 0: none.
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

// Virtual time starts here; not at the epoch, so that a time point that was never set is far in the past.
inline constexpr time_point k_start{std::chrono::hours(1)};

time_point at(double value_s);

std::vector<arrival> make_trace(const std::vector<stream>& streams, std::uint64_t seed);

}  // namespace cuminpath::bench
