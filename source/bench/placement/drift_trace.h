// Generates traces of expert popularity for the placement measurements.
#pragma once

#include <cstdint>
#include <vector>

#include "core/common/random.h"
#include "core/placement/expert_map.h"

namespace cuminpath::bench {

enum class trace_kind : std::uint8_t {
  day,    // The popularity of each expert follows a daily sine with its own amplitude and phase.
  flip,   // As `day`, but at noon the experts exchange their popularity at random.
  stall,  // As `day`, but one rank runs at half speed from 10:00 to 12:00.
};

class drift_trace {
public:
  drift_trace(trace_kind kind, const placement::group_shape& shape, std::uint64_t seed);

  // Draws the token counts of an interval that starts at this hour of the day.
  placement::expert_loads counts(double hour);
  [[nodiscard]] std::vector<float> rank_speeds(double hour) const;

private:
  trace_kind m_kind;
  placement::group_shape m_shape;
  random_source m_random;
  // By layer, then by expert.
  std::vector<std::vector<double>> m_log_popularity;
  std::vector<std::vector<double>> m_amplitude;
  std::vector<std::vector<double>> m_phase;
  // Index of the expert whose popularity an expert takes over at the flip.
  std::vector<std::vector<std::size_t>> m_source_after_flip;
};

}  // namespace cuminpath::bench
