#include "core/telemetry/log_limiter.h"

#include <algorithm>
#include <utility>

namespace cuminpath::telemetry {

std::optional<std::uint64_t> log_limiter::admit(std::string_view kind, time_point now) {
  const auto [found, added] = m_buckets.try_emplace(std::string(kind), bucket{m_limits.burst, now, 0});
  bucket& known = found->second;
  const double elapsed_s = std::max(0.0, std::chrono::duration<double>(now - known.at).count());
  known.tokens = std::min(m_limits.burst, known.tokens + elapsed_s * m_limits.lines_per_s);
  known.at = now;
  if (known.tokens < 1) {
    ++known.left_out;
    return std::nullopt;
  }
  known.tokens -= 1;
  return std::exchange(known.left_out, 0);
}

}  // namespace cuminpath::telemetry
