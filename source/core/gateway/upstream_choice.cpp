// The part of upstream_table that chooses an upstream for a request.
#include <algorithm>
#include <array>

#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {
namespace {

// Load, in slots, that is added to upstreams in other availability zones: enough to prefer the local one at
// equal load.
constexpr double k_remote_zone_penalty_slots = 0.5;
// Size of the random sample from which the least loaded upstream is chosen. Reports of other gateways are 100
// ms old on average: if all gateways chose the least loaded of all upstreams, the same few would receive all
// requests until the next reports.
constexpr std::size_t k_max_sampled_upstreams = 4;
// Each recent failure counts as load of this many slots, so that an upstream that fails immediately attracts
// no requests.
constexpr double k_slots_per_recent_failure = 3;

struct candidate {
  const upstream_table::upstream* known = nullptr;
  double load = 0;  // As upstream_table::placement_load() returns it.
};

}  // namespace

bool upstream_table::gets_trial(const upstream& known, const choice_options& options) {
  return std::find(options.trials.begin(), options.trials.end(), known.hash) != options.trials.end();
}

std::optional<exclusion> upstream_table::why_excluded(const upstream& known, const choice_options& options,
                                                      time_point now) {
  const upstream_record& record = known.record;
  if (known.leaving()) {
    return exclusion::leaving;
  }
  if (known.evacuated) {
    return exclusion::evacuated;
  }
  if (known.wrong_instance) {
    return exclusion::wrong_instance;
  }
  if (known.superseded) {
    return exclusion::superseded;
  }
  if (known.rejects_requests(now)) {
    return exclusion::rejects;
  }
  if (!known.health.usable(now, k_upstream_ejection)) {
    return exclusion::ejected;
  }
  if (known.silent && !gets_trial(known, options)) {
    return exclusion::silent;
  }
  if (std::find(options.excluded.begin(), options.excluded.end(), record.id) != options.excluded.end()) {
    return exclusion::tried;
  }
  if (known.outstanding() >= options.max_utilization * record.slots) {
    return exclusion::full;
  }
  if (options.cold_limiter != nullptr && known.cold(now) &&
      !options.cold_limiter->may_send(record.id, known.cold_rules.max_per_s, now)) {
    return exclusion::cold;
  }
  if (options.exclude_cold && known.cold(now)) {
    return exclusion::cold;
  }
  return std::nullopt;
}

double upstream_table::placement_load(const upstream& known, const choice_options& options, time_point now) {
  const double distance =
      known.record.availability_zone == options.availability_zone ? 0 : k_remote_zone_penalty_slots;
  return (known.outstanding() + distance + k_slots_per_recent_failure * known.health.recent_failures(now)) /
         known.record.slots;
}

const upstream_table::upstream* upstream_table::choose(std::string_view service,
                                                       const choice_options& options, time_point now,
                                                       random_source& random) const {
  std::array<candidate, k_max_sampled_upstreams> sample;
  std::size_t eligible = 0;
  for (const upstream& known : m_upstreams) {
    const upstream_record& record = known.record;
    if (record.service != service || why_excluded(known, options, now)) {
      continue;
    }
    if (gets_trial(known, options)) {
      return &known;
    }
    // Reservoir sampling: each eligible upstream has the same probability to be in the sample.
    const std::size_t position = eligible < sample.size() ? eligible : random_index(random, eligible + 1);
    ++eligible;
    if (position < sample.size()) {
      sample[position] = {&known, placement_load(known, options, now)};
    }
  }
  const std::span<const candidate> drawn(sample.data(), std::min(eligible, sample.size()));
  const auto best =
      std::min_element(drawn.begin(), drawn.end(),
                       [](const candidate& left, const candidate& right) { return left.load < right.load; });
  return best == drawn.end() ? nullptr : best->known;
}

upstream_table::service_totals upstream_table::totals(std::string_view service, time_point now) const {
  service_totals sum;
  std::optional<time_point> first_available_at;
  for (const upstream& known : m_upstreams) {
    if (known.record.service != service || known.leaving() || known.superseded || known.health.ejected(now) ||
        known.silent) {
      continue;
    }
    if (known.evacuated) {
      ++sum.evacuated;
      continue;
    }
    if (known.rejects_requests(now)) {
      first_available_at = std::min(first_available_at.value_or(known.rejects_until), known.rejects_until);
      continue;
    }
    ++sum.upstreams;
    sum.cold += known.cold(now) ? 1 : 0;
    sum.slots += known.record.slots;
    sum.outstanding += known.local_requests + known.member_requests;
  }
  if (sum.upstreams == 0 && first_available_at) {
    sum.all_reject_for = std::chrono::ceil<milliseconds>(*first_available_at - now);
  }
  return sum;
}

}  // namespace cuminpath::gateway
