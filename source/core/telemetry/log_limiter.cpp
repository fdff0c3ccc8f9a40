#include "core/telemetry/log_limiter.h"

#include <algorithm>
#include <utility>

namespace cuminpath::telemetry {

std::optional<std::uint64_t> log_limiter::admit(std::string_view kind, time_point now) {
  const auto [found, added] = m_buckets.try_emplace(std::string(kind), bucket{m_limits.burst, now, 0});
  bucket& entry = found->second;
  const double elapsed_s = std::max(0.0, std::chrono::duration<double>(now - entry.refilled_at).count());
  entry.tokens = std::min(m_limits.burst, entry.tokens + elapsed_s * m_limits.lines_per_s);
  entry.refilled_at = now;
  if (entry.tokens < 1) {
    ++entry.suppressed;
    return std::nullopt;
  }
  entry.tokens -= 1;
  return std::exchange(entry.suppressed, 0);
}

}  // namespace cuminpath::telemetry
