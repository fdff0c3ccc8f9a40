// Estimates how long the passes of a group take from the statuses of one of its engines.
#pragma once

#include <cstdint>
#include <optional>

#include "core/common/time.h"

namespace cuminpath::balancer {

class pass_clock {
public:
  // A status that was read at `at` shows `step` as the last pass that has begun.
  void observe(std::uint64_t epoch, std::uint64_t step, time_point at);
  // Mean over the last passes; 0 while it is not known. Not above the true mean by more than the pauses of a
  // group that is idle for less than a second.
  [[nodiscard]] milliseconds mean() const;

private:
  struct reading {
    std::uint64_t epoch = 0;
    std::uint64_t step = 0;
    time_point at;
  };
  std::optional<reading> m_last;  // The first reading that showed its step.
  double m_mean_ms = 0;
};

}  // namespace cuminpath::balancer
