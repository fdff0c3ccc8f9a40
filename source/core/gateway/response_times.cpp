#include "core/gateway/response_times.h"

#include <algorithm>
#include <cmath>

namespace cuminpath::gateway {
namespace {

// A gateway of a large fleet sees about 5 requests a second of a service; with this half-life the samples
// weigh about 430 then, enough to know what 1 response in 200 exceeds.
constexpr double k_half_life_s = 60;
// The samples are rescaled before their weight gets too large for the precision of a double.
constexpr double k_max_weight = 1e6;
constexpr milliseconds k_update_interval{50};
// Weight of an assumed sample that is later than all others (Laplace's rule of succession): with n samples,
// the next one is later than all of them with a probability of 1/(n + 1).
constexpr double k_assumed_samples = 1;

}  // namespace

double response_times::position(duration time) {
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  return ms <= 1 ? 0 : std::min(k_buckets_per_octave * std::log2(ms), double{k_bucket_count - 1});
}

duration response_times::upper_bound(std::size_t bucket) {
  const double ms = std::exp2(static_cast<double>(bucket) / k_buckets_per_octave);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

double response_times::weight(time_point now) const {
  return std::exp2(std::chrono::duration<double>(now - m_reference).count() / k_half_life_s);
}

void response_times::add(bucket_values& values, duration time, time_point now) {
  if (m_empty) {
    m_reference = now;
    m_empty = false;
  }
  double sample = weight(now);
  if (sample > k_max_weight) {
    for (auto* scaled : {&m_answered, &m_unanswered}) {
      std::for_each(scaled->begin(), scaled->end(), [sample](double& value) { value /= sample; });
    }
    m_total /= sample;
    m_reference = now;
    sample = 1;
  }
  values.at(static_cast<std::size_t>(std::ceil(position(time)))) += sample;
  m_total += sample;
  m_changed = true;
}

void response_times::record(duration time, time_point now) {
  add(m_answered, time, now);
}

void response_times::record_unanswered(duration waited, time_point now) {
  add(m_unanswered, waited, now);
}

void response_times::update(time_point now) {
  if (!m_changed || now - m_updated_at < k_update_interval) {
    return;
  }
  m_changed = false;
  m_updated_at = now;
  const double sample = weight(now);
  double at_risk = m_total / sample + k_assumed_samples;  // Samples that reach the bucket.
  double share = 1;
  for (std::size_t i = 0; i < k_bucket_count; ++i) {
    share *= 1 - std::min(1.0, m_answered[i] / sample / at_risk);
    at_risk = std::max(at_risk - (m_answered[i] + m_unanswered[i]) / sample, k_assumed_samples);
    m_share_over[i] = share;
  }
}

double response_times::sample_count(time_point now) const {
  return m_updated_at == time_point{} ? 0 : m_total / weight(now);
}

double response_times::share_over(duration time) const {
  if (time <= duration{0}) {
    return 1;
  }
  const double at = position(time);
  const auto above = static_cast<std::size_t>(std::ceil(at));
  if (above == 0) {
    return m_share_over[0];
  }
  const double part = at - static_cast<double>(above - 1);
  return m_share_over[above - 1] + part * (m_share_over[above] - m_share_over[above - 1]);
}

duration response_times::quantile(double probability) const {
  const auto found = std::find_if(m_share_over.begin(), m_share_over.end(),
                                  [probability](double share) { return share <= 1 - probability; });
  const auto bucket = static_cast<std::size_t>(found - m_share_over.begin());
  return upper_bound(std::min(bucket, k_bucket_count - 1));
}

}  // namespace cuminpath::gateway
