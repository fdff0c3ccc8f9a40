#include "core/routing/router.h"

#include <algorithm>
#include <cmath>

#include "core/common/assert.h"
#include "core/routing/upstream_table.h"

namespace cuminpath::routing {
namespace {

// Weight of a sample in the moving average of about twenty samples: prefix cache hits make single samples
// differ by a factor of eight.
constexpr double k_latency_weight = 0.1;
constexpr std::uint32_t k_min_latency_samples = 5;
// Below this multiple of the median, differences are noise. Above the maximum, a larger penalty has no
// effect.
constexpr double k_slow_threshold = 2;
constexpr double k_max_slowness = 8;
constexpr milliseconds k_slowness_interval{100};
// A replica without new samples for this time loses its penalty, so that it is tried again.
constexpr seconds k_latency_lifetime{10};

std::uint64_t affinity_weight(std::uint64_t prefix_hash, std::uint64_t name_hash) {
  // Finalizer of splitmix64.
  std::uint64_t value = prefix_hash ^ name_hash;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

}  // namespace

class router::impl {
public:
  explicit impl(router_options options) : m_options(std::move(options)), m_table(m_options) {}

  std::optional<upstream_id> choose(time_point now, const route_request& request, random_source& random);
  void on_attempt_finished(time_point now, upstream_id id, attempt_outcome outcome,
                           std::optional<duration> first_token);
  void on_load_report(time_point now, const wire::load_report& report);
  void on_message(time_point now, std::string_view peer_address);
  void suspect(time_point now, upstream_id id);
  std::vector<upstream_id> tick(time_point now);
  void on_process_resumed(time_point now);

  [[nodiscard]] upstream_table& table() { return m_table; }

private:
  // A candidate of the current choice.
  struct candidate {
    upstream_id id{};
    double load = 0;  // Number of requests multiplied by the slowness.
    double slots = 1;
  };

  [[nodiscard]] double load(time_point now, upstream_id id) const;
  void collect(time_point now, const pool& value, const route_request& request);
  [[nodiscard]] std::span<const candidate> nearest_candidates() const;
  [[nodiscard]] std::optional<upstream_id> choose_by_affinity(std::span<const candidate> candidates,
                                                              std::uint64_t prefix_hash) const;
  static upstream_id choose_by_two_choices(std::span<const candidate> candidates, random_source& random);
  [[nodiscard]] bool may_eject(time_point now, upstream_id id) const;
  void update_slowness(time_point now);

  router_options m_options;
  upstream_table m_table;
  std::vector<candidate> m_candidates;  // Sorted by distance because subsets are.
  std::size_t m_near_count = 0;         // Number of candidates in the local availability zone.
  std::size_t m_region_count = 0;       // Number of candidates in the local region.
  time_point m_slowness_updated_at{};
  std::vector<double> m_latencies;
};

double router::impl::load(time_point now, upstream_id id) const {
  const load_state& state = m_table.load(id);
  // For reported_plus_change: the report includes the requests of the local entry, so only the change since
  // then is added.
  const auto change = static_cast<double>(state.outstanding) - state.outstanding_at_report;
  double value = m_options.estimate == load_estimate::reported_plus_change
                     ? std::max<double>(state.reported + change, state.outstanding)
                     : state.reported + state.outstanding;
  if (state.refused_since_report) {
    value += state.slots;
  }
  if (m_options.ejection.failure_penalty) {
    value += state.slots * m_table.health(id).ejection.recent_failures(now);
  }
  return m_options.slow_penalty ? value * m_table.health(id).slowness : value;
}

void router::impl::collect(time_point now, const pool& value, const route_request& request) {
  m_candidates.clear();
  m_near_count = 0;
  m_region_count = 0;
  for (const upstream_id id : value.subset) {
    if (!m_table.available(id) || !m_table.health(id).ejection.usable(now, m_options.ejection) ||
        std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end()) {
      continue;
    }
    m_candidates.push_back({id, load(now, id), m_table.load(id).slots});
    const proximity distance = m_table.placement(id).distance;
    m_near_count += distance == proximity::local_availability_zone ? 1 : 0;
    m_region_count += distance == proximity::other_region ? 0 : 1;
  }
}

std::span<const router::impl::candidate> router::impl::nearest_candidates() const {
  const std::span<const candidate> all = m_candidates;
  double load = 0;
  double slots = 0;
  for (const candidate& value : all.first(m_near_count)) {
    load += value.load;
    slots += value.slots;
  }
  if (m_near_count > 0 && load <= m_options.spill_over_load * slots) {
    return all.first(m_near_count);
  }
  return m_region_count > 0 ? all.first(m_region_count) : all;
}

std::optional<upstream_id> router::impl::choose_by_affinity(std::span<const candidate> candidates,
                                                            std::uint64_t prefix_hash) const {
  double load = 1;
  double slots = 0;
  for (const candidate& value : candidates) {
    load += value.load;
    slots += value.slots;
  }
  std::optional<upstream_id> best;
  std::uint64_t best_weight = 0;
  for (const candidate& value : candidates) {
    const double bound = std::ceil(m_options.affinity_bound * load / slots * value.slots);
    const std::uint64_t weight = affinity_weight(prefix_hash, m_table.placement(value.id).name_hash);
    if (value.load + 1 <= bound && (!best || weight > best_weight)) {
      best = value.id;
      best_weight = weight;
    }
  }
  return best;
}

upstream_id router::impl::choose_by_two_choices(std::span<const candidate> candidates,
                                                random_source& random) {
  const std::size_t first = random_index(random, candidates.size());
  if (candidates.size() == 1) {
    return candidates[first].id;
  }
  std::size_t second = random_index(random, candidates.size() - 1);
  second += second >= first ? 1 : 0;
  const auto score = [&](std::size_t i) { return (candidates[i].load + 1) / candidates[i].slots; };
  return candidates[score(second) < score(first) ? second : first].id;
}

std::optional<upstream_id> router::impl::choose(time_point now, const route_request& request,
                                                random_source& random) {
  const pool* found = m_table.find_pool(request.model_or_service);
  if (found == nullptr) {
    return std::nullopt;
  }
  collect(now, *found, request);
  if (m_candidates.empty()) {
    return std::nullopt;
  }
  const std::span<const candidate> nearest = nearest_candidates();
  if (request.prefix_hash != 0) {
    if (const auto id = choose_by_affinity(nearest, request.prefix_hash)) {
      return id;
    }
  }
  return choose_by_two_choices(nearest, random);
}

bool router::impl::may_eject(time_point now, upstream_id id) const {
  const pool* found = m_table.find_pool(m_table.info(id).model_or_service);
  if (found == nullptr) {
    return false;
  }
  std::size_t ejected_count = 1;
  for (const upstream_id other : found->subset) {
    const health_state& condition = m_table.health(other);
    ejected_count += condition.ejection.ejected(now) || condition.ejection.ejected_or_on_trial() ? 1 : 0;
  }
  return static_cast<double>(ejected_count) <=
         m_options.ejection.max_ejected_share * static_cast<double>(found->subset.size());
}

void router::impl::on_attempt_finished(time_point now, upstream_id id, attempt_outcome outcome,
                                       std::optional<duration> first_token) {
  load_state& state = m_table.load(id);
  state.outstanding -= state.outstanding > 0 ? 1 : 0;
  health_state& condition = m_table.health(id);
  condition.ejection.on_ended();
  if (first_token) {
    const double sample = std::chrono::duration<double>(*first_token).count();
    condition.latency_s += (condition.latency_s > 0 ? k_latency_weight : 1) * (sample - condition.latency_s);
    condition.latency_updated_at = now;
    ++condition.latency_samples;
  }
  switch (outcome) {
    case attempt_outcome::succeeded:
      condition.ejection.on_success(now, m_options.ejection);
      break;
    case attempt_outcome::refused:
      state.refused_since_report = true;
      break;
    case attempt_outcome::failed:
      condition.ejection.on_failure(now, m_options.ejection, may_eject(now, id));
      break;
    case attempt_outcome::abandoned:
      break;
  }
}

void router::impl::on_load_report(time_point now, const wire::load_report& report) {
  const auto id = m_table.find(report.upstream);
  if (!id) {
    return;
  }
  load_state& state = m_table.load(*id);
  const auto count = static_cast<double>(report.running) + report.queued;
  state.reported += (state.has_report ? m_options.report_weight : 1) * (count - state.reported);
  state.has_report = true;
  state.outstanding_at_report = state.outstanding;
  state.refused_since_report = false;
  health_state& condition = m_table.health(*id);
  const bool was_available = m_table.available(*id);
  condition.draining = report.draining;
  condition.upstream_healthy = report.upstream_healthy;
  condition.last_message_at = now;
  condition.suspected = false;
  if (m_table.available(*id) != was_available) {
    m_table.refresh_subset(now, std::string(m_table.info(*id).model_or_service));
  }
}

void router::impl::on_message(time_point now, std::string_view peer_address) {
  for (const upstream_id id : m_table.at_address(peer_address)) {
    health_state& condition = m_table.health(id);
    condition.last_message_at = now;
    if (condition.suspected) {
      condition.suspected = false;
      m_table.refresh_subset(now, m_table.info(id).model_or_service);
    }
  }
}

void router::impl::suspect(time_point now, upstream_id id) {
  m_table.health(id).suspected = true;
  m_table.refresh_subset(now, m_table.info(id).model_or_service);
}

std::vector<upstream_id> router::impl::tick(time_point now) {
  std::vector<upstream_id> suspected;
  for (const upstream_id id : m_table.in_use()) {
    const health_state& condition = m_table.health(id);
    if (!condition.suspected && now - condition.last_message_at >= m_options.suspicion_timeout) {
      suspected.push_back(id);
    }
  }
  for (const upstream_id id : suspected) {
    suspect(now, id);
  }
  if (now - m_slowness_updated_at >= k_slowness_interval) {
    m_slowness_updated_at = now;
    update_slowness(now);
  }
  return suspected;
}

void router::impl::on_process_resumed(time_point now) {
  for (const upstream_id id : m_table.in_use()) {
    health_state& condition = m_table.health(id);
    condition.last_message_at = std::max(condition.last_message_at, now);
  }
}

void router::impl::update_slowness(time_point now) {
  // in_use() contains all models of the entry; latencies are comparable only within one model.
  std::string_view model;
  const auto& in_use = m_table.in_use();
  for (const upstream_id first : in_use) {
    if (m_table.info(first).model_or_service == model) {
      continue;
    }
    model = m_table.info(first).model_or_service;
    const pool* model_pool = m_table.find_pool(model);
    m_latencies.clear();
    for (const upstream_id id : model_pool->subset) {
      if (m_table.health(id).latency_samples >= k_min_latency_samples) {
        m_latencies.push_back(m_table.health(id).latency_s);
      }
    }
    if (m_latencies.size() < 3) {
      continue;
    }
    const auto median = m_latencies.begin() + static_cast<std::ptrdiff_t>(m_latencies.size() / 2);
    std::nth_element(m_latencies.begin(), median, m_latencies.end());
    for (const upstream_id id : model_pool->subset) {
      health_state& condition = m_table.health(id);
      const double ratio = condition.latency_s / *median;
      const bool recent = condition.latency_samples >= k_min_latency_samples &&
                          now - condition.latency_updated_at < k_latency_lifetime;
      condition.slowness = recent && ratio > k_slow_threshold ? std::min(ratio, k_max_slowness) : 1;
    }
  }
}

router::router(router_options options) : m_impl(std::make_unique<impl>(std::move(options))) {}
router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

void router::set_upstreams(time_point now, std::span<const upstream_info> upstreams) {
  m_impl->table().replace(now, upstreams);
}

std::optional<upstream_id> router::choose(time_point now, const route_request& request,
                                          random_source& random) {
  return m_impl->choose(now, request, random);
}

bool router::has_upstreams_for(std::string_view model_or_service) const {
  return m_impl->table().find_pool(model_or_service) != nullptr;
}

const upstream_info& router::upstream(upstream_id id) const {
  return m_impl->table().info(id);
}

std::optional<upstream_id> router::find(std::string_view name) const {
  return m_impl->table().find(name);
}

std::vector<upstream_id> router::subset() const {
  return m_impl->table().in_use();
}

void router::on_attempt_started(time_point now, upstream_id id) {
  ++m_impl->table().load(id).outstanding;
  m_impl->table().health(id).ejection.on_started(now);
}

void router::on_attempt_finished(time_point now, upstream_id id, attempt_outcome outcome,
                                 std::optional<duration> first_token) {
  m_impl->on_attempt_finished(now, id, outcome, first_token);
}

void router::on_load_report(time_point now, const wire::load_report& report) {
  m_impl->on_load_report(now, report);
}

void router::on_message(time_point now, std::string_view peer_address) {
  m_impl->on_message(now, peer_address);
}

void router::on_link_lost(time_point now, std::string_view peer_address) {
  for (const upstream_id id : m_impl->table().at_address(peer_address)) {
    m_impl->suspect(now, id);
  }
}

std::vector<upstream_id> router::tick(time_point now) {
  return m_impl->tick(now);
}

void router::on_process_resumed(time_point now) {
  m_impl->on_process_resumed(now);
}

}  // namespace cuminpath::routing
