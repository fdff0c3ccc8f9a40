// Distribution of recent response times, from which the time of a second attempt is derived.
//
// Times are counted in buckets of 2.2% width. Older samples count less. An attempt that was given up before
// its response arrived is a sample, too: its response would have taken longer than that. The Kaplan-Meier
// estimator uses both; without the samples of abandoned attempts, a service would look the faster the more
// slow attempts are abandoned.
#pragma once

#include <array>
#include <cstddef>

#include "core/common/time.h"

namespace cuminpath::gateway {

class response_times {
public:
  // Records that a response took `time`.
  void record(duration time, time_point now);
  // Records that there was no response for `waited`, when the attempt was given up or was late.
  void record_unanswered(duration waited, time_point now);
  // Computes the distribution from the samples, at most once in 50 ms. The functions below use the result.
  void update(time_point now);

  // Number of recent samples, weighted by age; 0 before the first update().
  [[nodiscard]] double sample_count(time_point now) const;
  // Estimated share of responses that take longer than `time`. Between 0 and 1, and never 0: a response that
  // is later than all recent ones is possible.
  [[nodiscard]] double share_over(duration time) const;
  // Returns the time that a share of `probability` of the responses does not exceed; the upper bound of the
  // last bucket (8 s) if it lies beyond.
  [[nodiscard]] duration quantile(double probability) const;

private:
  static constexpr std::size_t k_buckets_per_octave = 32;
  // From 1 ms to 8 s; routes have targets of about a second at most.
  static constexpr std::size_t k_octaves = 13;
  static constexpr std::size_t k_bucket_count = k_buckets_per_octave * k_octaves + 1;
  using bucket_values = std::array<double, k_bucket_count>;

  // Returns the position of a time on the scale of the buckets; bucket i ends at position i.
  static double position(duration time);
  static duration upper_bound(std::size_t bucket);
  void add(bucket_values& values, duration time, time_point now);
  // Weight of a sample of this time. It grows, so that older samples need no update.
  [[nodiscard]] double weight(time_point now) const;

  bucket_values m_answered{};
  bucket_values m_unanswered{};
  bucket_values m_share_over{};  // At the upper bounds of the buckets.
  double m_total = 0;            // Sum of both in units of the weight at m_reference.
  time_point m_reference{};      // Samples of this time have the weight 1.
  time_point m_updated_at{};
  bool m_empty = true;
  bool m_changed = false;
};

}  // namespace cuminpath::gateway
