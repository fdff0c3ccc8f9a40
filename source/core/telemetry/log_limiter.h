// Limits the rate of log lines of each kind. Not thread-safe; the log calls it under its lock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/common/time.h"

namespace cuminpath::telemetry {

struct log_limits {
  // Of one kind. A gateway at its stated peak of 40 requests per second logs each of them.
  double lines_per_s = 40;
  double burst = 120;  // Lines of one kind that may be written at once.
};

class log_limiter {
public:
  explicit log_limiter(log_limits limits = {}) : m_limits(limits) {}

  // Returns the number of lines of the kind that were suppressed since the last one that was written, or
  // nothing if this line must be suppressed as well.
  std::optional<std::uint64_t> admit(std::string_view kind, time_point now);

private:
  struct bucket {
    double tokens = 0;
    time_point refilled_at{};
    std::uint64_t suppressed = 0;
  };

  log_limits m_limits;
  std::unordered_map<std::string, bucket> m_buckets;
};

}  // namespace cuminpath::telemetry
