// Estimates the duration of a group's forward passes from the status reads of one of its engines.
#pragma once

#include <cstdint>
#include <optional>

#include "core/common/time.h"

namespace cuminpath::balancer {

class pass_time_estimator {
public:
  // Records that a status read at `at` shows `step` as the last forward pass that has begun.
  void observe(std::uint64_t epoch, std::uint64_t step, time_point at);
  // Returns the mean duration of recent passes; 0 while it is not known. It exceeds the true mean at most by
  // the pauses of a group that is idle for less than a second.
  [[nodiscard]] milliseconds mean() const;

private:
  struct status_read {
    std::uint64_t epoch = 0;
    std::uint64_t step = 0;
    time_point at;
  };
  std::optional<status_read> m_last;  // The first read that showed its step.
  double m_mean_ms = 0;
};

}  // namespace cuminpath::balancer
