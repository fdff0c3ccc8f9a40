// Bounds the number of log lines of one kind. Used under the lock of the log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/common/time.h"

namespace cuminpath::telemetry {

struct log_limits {
  double lines_per_s =
      40;              // Of one kind; a gateway at its stated peak of 40 requests a second logs each of them.
  double burst = 120;  // Lines of one kind that may come together.
};

class log_limiter {
public:
  explicit log_limiter(log_limits limits = {}) : m_limits(limits) {}

  // The number of lines of that kind left out since the last one that was written; absent if this one is to
  // be left out as well.
  std::optional<std::uint64_t> admit(std::string_view kind, time_point now);

private:
  struct bucket {
    double tokens = 0;
    time_point at{};
    std::uint64_t left_out = 0;
  };

  log_limits m_limits;
  std::unordered_map<std::string, bucket> m_buckets;
};

}  // namespace cuminpath::telemetry
