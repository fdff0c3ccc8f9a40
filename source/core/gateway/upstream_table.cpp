#include "core/gateway/upstream_table.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace cuminpath::gateway {
namespace {

// Silent upstreams are left out up to this share of a service. The rest still holds the usual load, two
// thirds of all slots.
constexpr double k_max_silent_share = 0.25;
// If at least this many rows and this share of all rows disappear together without notice, they expired
// during an outage of the store, even if no call of this gateway to the store failed.
constexpr std::size_t k_min_expired_rows = 3;
constexpr double k_min_expired_share = 0.3;

std::uint32_t short_hash(std::string_view id) {
  return static_cast<std::uint32_t>(hash64(id));
}

}  // namespace

const upstream_table::upstream* upstream_table::find(std::string_view id) const {
  const auto found = m_index.find(std::string(id));
  return found == m_index.end() ? nullptr : &m_upstreams[found->second];
}

const upstream_table::upstream* upstream_table::find_by_hash(std::uint32_t hash) const {
  const auto found = std::find_if(m_upstreams.begin(), m_upstreams.end(),
                                  [hash](const upstream& known) { return known.hash == hash; });
  return found == m_upstreams.end() ? nullptr : &*found;
}

upstream_table::upstream* upstream_table::find_mutable(std::string_view id) {
  const auto found = m_index.find(std::string(id));
  return found == m_index.end() ? nullptr : &m_upstreams[found->second];
}

void upstream_table::add(const upstream_record& record, time_point now) {
  upstream added{.record = record, .hash = short_hash(record.id)};
  added.cold_rules = cold_policy_of(record.service);
  added.cold_start.on_statement(record.cold_for.value_or(milliseconds{0}), now);
  // The first list tells nothing about when its upstreams have started, but their rows do.
  if (m_listed_before ? !m_instances.was_listed(record) : !record.cold_for) {
    added.cold_start.on_possible_start(now);
  }
  for (const auto& [member, loads] : m_member_loads) {
    for (const upstream_load& load : loads) {
      added.member_requests += load.upstream_hash == added.hash ? load.outstanding : 0;
    }
  }
  added.announced_leaving = m_instances.has_left(record);
  added.evacuated = m_evacuated_zones.contains(record.availability_zone);
  m_index.insert_or_assign(record.id, m_upstreams.size());
  m_upstreams.push_back(std::move(added));
}

void upstream_table::erase_index(std::size_t index, time_point now) {
  m_instances.on_removed(m_upstreams[index].record, now);
  m_index.erase(m_upstreams[index].record.id);
  if (index + 1 != m_upstreams.size()) {
    m_upstreams[index] = std::move(m_upstreams.back());
    m_index.insert_or_assign(m_upstreams[index].record.id, index);
  }
  m_upstreams.pop_back();
}

// After a restart of hosts, rows of earlier instances exist next to those of the new ones until they expire.
void upstream_table::mark_superseded() {
  std::unordered_map<std::string_view, std::uint64_t> latest;
  for (const upstream& known : m_upstreams) {
    if (known.configured) {
      auto& start = latest[known.record.address];
      start = std::max(start, known.record.started_ms);
    }
  }
  for (upstream& known : m_upstreams) {
    known.superseded = known.record.started_ms < latest[known.record.address];
  }
}

std::optional<upstream_table::change> upstream_table::update_configured(upstream& known) const {
  const bool configured = !m_services || m_services->contains(known.record.service);
  if (std::exchange(known.configured, configured) == configured) {
    return std::nullopt;
  }
  return change{configured ? change::kind::added : change::kind::not_configured, known.record.id};
}

std::vector<upstream_table::change> upstream_table::set_services(service_names names) {
  m_services = std::move(names);
  std::vector<change> changes;
  for (upstream& known : m_upstreams) {
    if (auto changed = update_configured(known)) {
      changes.push_back(std::move(*changed));
    }
  }
  mark_superseded();
  mark_silent();
  return changes;
}

std::size_t upstream_table::size() const {
  return static_cast<std::size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(),
                                                [](const upstream& known) { return known.configured; }));
}

std::vector<upstream_table::change> upstream_table::apply(std::span<const upstream_record> records,
                                                          time_point now, bool store_disturbed,
                                                          store_version version) {
  using kind = change::kind;
  const bool restored = m_instances.on_list(version, now);
  std::vector<change> changes;
  std::unordered_set<std::string_view> listed;
  auto held_back_before = std::exchange(m_held_back, {});
  for (const upstream_record& record : records) {
    if (record.leaving && record.started_ms != 0) {
      m_instances.on_leaving(record, now);
    }
    upstream* known = find_mutable(record.id);
    if (known == nullptr && m_instances.may_be_gone(record, now)) {
      if (!held_back_before.contains(record.id)) {
        changes.push_back({kind::held_back, record.id});
      }
      m_held_back.insert_or_assign(record.id, record);
      continue;
    }
    // The row of this instance is missing in the copy, or it was before: the grace period begins, or goes on.
    if (known != nullptr && m_instances.is_of_copy(record, now) &&
        (record.started_ms < known->record.started_ms ||
         (known->removed_at && record.started_ms == known->record.started_ms))) {
      m_held_back.insert_or_assign(record.id, record);
      continue;
    }
    listed.insert(record.id);
    if (known == nullptr) {
      add(record, now);
      changes.push_back(update_configured(m_upstreams.back()).value_or(change{kind::added, record.id}));
      continue;
    }
    known->removed_at.reset();
    apply_cold_statement(*known, record, now);
    if (known->record.describes_same_upstream(record)) {
      known->record.cold_for = record.cold_for;
      known->record.row_version = record.row_version;
      continue;
    }
    if (known->record.started_ms != record.started_ms || known->record.address != record.address) {
      known->health = {};
      changes.push_back({kind::restarted, record.id});
    }
    if (record.leaving && !known->record.leaving) {
      changes.push_back({kind::leaving, record.id});
    }
    if (record.started_ms > known->record.started_ms) {
      known->announced_leaving = false;
      known->rejects_until = {};
    }
    known->announced_leaving = known->announced_leaving || m_instances.has_left(record);
    known->wrong_instance = false;
    const bool was_leaving = known->record.leaving;
    known->record = record;
    // If its start is unknown, it is ready again once its row says so after the copy.
    known->record.leaving =
        record.leaving || (was_leaving && record.started_ms == 0 && m_instances.is_of_copy(record, now));
    if (auto changed = update_configured(*known)) {
      changes.push_back(std::move(*changed));
    }
    known->cold_rules = cold_policy_of(record.service);
    known->evacuated = m_evacuated_zones.contains(record.availability_zone);
  }
  const auto vanished = static_cast<std::size_t>(
      std::count_if(m_upstreams.begin(), m_upstreams.end(), [&](const upstream& known) {
        return known.configured && !known.leaving() && !known.removed_at && !listed.contains(known.record.id);
      }));
  const bool expired = store_disturbed || restored ||
                       (vanished >= k_min_expired_rows &&
                        static_cast<double>(vanished) >= k_min_expired_share * static_cast<double>(size()));
  for (std::size_t i = m_upstreams.size(); i-- > 0;) {
    upstream& known = m_upstreams[i];
    if (listed.contains(known.record.id)) {
      continue;
    }
    if (known.removed_at) {
      if (restored && known.missing_in_copy) {
        known.removed_at = now;  // Its row is written again after the last copy only.
      }
      continue;
    }
    if (expired && known.configured && !known.leaving()) {
      known.removed_at = now;
      known.missing_in_copy = restored;
      changes.push_back({kind::kept_after_expiry, known.record.id});
    } else {
      changes.push_back({kind::removed, known.record.id});
      erase_index(i, now);
    }
  }
  mark_superseded();
  mark_silent();
  m_listed_before = m_listed_before || !records.empty();
  return changes;
}

void upstream_table::apply_cold_statement(upstream& known, const upstream_record& record, time_point now) {
  const bool restarted = known.record.started_ms != record.started_ms;
  // The same row is applied again whenever another one changes, and its time runs from its first application.
  if (record.cold_for && (restarted || known.record.row_version != record.row_version)) {
    known.cold_start.on_statement(*record.cold_for, now);
  }
  if (restarted || known.record.address != record.address) {
    known.cold_start.on_possible_start(now);
  }
}

cold_policy upstream_table::cold_policy_of(const std::string& service) const {
  const auto found = m_cold_policies.find(service);
  return found == m_cold_policies.end() ? cold_policy{} : found->second;
}

void upstream_table::set_cold_policies(cold_policies policies) {
  m_cold_policies = std::move(policies);
  for (upstream& known : m_upstreams) {
    known.cold_rules = cold_policy_of(known.record.service);
  }
}

void upstream_table::on_cold_statement(std::string_view id, milliseconds cold_for, time_point now) {
  if (upstream* known = find_mutable(id)) {
    known->cold_start.on_statement(std::clamp<milliseconds>(cold_for, milliseconds{0}, k_max_cold_time), now);
  }
}

void upstream_table::on_zone_restored(std::string_view availability_zone, time_point now) {
  for (upstream& known : m_upstreams) {
    if (known.record.availability_zone == availability_zone) {
      known.cold_start.on_possible_start(now);
    }
  }
}

std::vector<upstream_table::cold_change> upstream_table::take_cold_changes(time_point now) {
  std::vector<cold_change> changes;
  for (upstream& known : m_upstreams) {
    const bool cold = known.cold(now);
    if (std::exchange(known.reported_cold, cold) != cold) {
      const auto remaining = std::chrono::ceil<milliseconds>(known.cold_start.until(known.cold_rules) - now);
      changes.push_back({known.record.id, cold ? std::max(milliseconds{1}, remaining) : milliseconds{0}});
    }
  }
  return changes;
}

std::vector<upstream_table::change> upstream_table::expire(time_point now) {
  std::vector<change> changes;
  for (std::size_t i = m_upstreams.size(); i-- > 0;) {
    if (m_upstreams[i].removed_at && now - *m_upstreams[i].removed_at >= k_expired_row_grace) {
      changes.push_back({change::kind::removed, m_upstreams[i].record.id});
      erase_index(i, now);
    }
  }
  m_instances.expire(now);
  release_held_back(changes, now);
  return changes;
}

// Rows that the store goes on listing without writing them again.
void upstream_table::release_held_back(std::vector<change>& changes, time_point now) {
  const std::size_t before = m_held_back.size();
  std::erase_if(m_held_back, [&](const auto& entry) {
    const upstream_record& record = entry.second;
    if (m_index.contains(record.id) || m_instances.may_be_gone(record, now)) {
      return false;
    }
    add(record, now);
    changes.push_back(update_configured(m_upstreams.back()).value_or(change{change::kind::added, record.id}));
    return true;
  });
  if (m_held_back.size() != before) {
    mark_superseded();
    mark_silent();
  }
}

void upstream_table::set_evacuations(const evacuation& evacuations) {
  m_evacuated_zones = evacuations.active();
  for (upstream& known : m_upstreams) {
    known.evacuated = m_evacuated_zones.contains(known.record.availability_zone);
  }
  mark_silent();
}

std::size_t upstream_table::count_cold(time_point now) const {
  return static_cast<std::size_t>(std::count_if(m_upstreams.begin(), m_upstreams.end(),
                                                [now](const upstream& known) { return known.cold(now); }));
}

void upstream_table::set_silent(std::span<const std::uint32_t> hashes) {
  if (!std::equal(hashes.begin(), hashes.end(), m_silent.begin(), m_silent.end())) {
    m_silent.assign(hashes.begin(), hashes.end());
    mark_silent();
  }
}

void upstream_table::mark_silent() {
  struct count {
    std::size_t upstreams = 0;
    std::size_t silent = 0;
  };
  std::unordered_map<std::string_view, count> counts;
  for (upstream& known : m_upstreams) {
    known.silent = false;
    counts[known.record.service].upstreams +=
        m_silent.empty() || known.leaving() || known.evacuated || known.superseded ? 0 : 1;
  }
  for (const std::uint32_t hash : m_silent) {
    for (upstream& known : m_upstreams) {
      count& service = counts[known.record.service];
      // Those of evacuated zones and superseded ones are left out anyway.
      if (known.hash == hash && !known.evacuated && !known.superseded &&
          static_cast<double>(service.silent + 1) <=
              k_max_silent_share * static_cast<double>(service.upstreams)) {
        known.silent = true;
        ++service.silent;
      }
    }
  }
}

std::uint32_t upstream_table::local_requests_in(std::string_view availability_zone) const {
  std::uint32_t requests = 0;
  for (const upstream& known : m_upstreams) {
    requests += known.record.availability_zone == availability_zone ? known.local_requests : 0;
  }
  return requests;
}

void upstream_table::on_started(std::string_view id, time_point now) {
  if (upstream* known = find_mutable(id)) {
    ++known->local_requests;
    known->health.on_started(now);
  }
}

void upstream_table::on_ended(std::string_view id) {
  if (upstream* known = find_mutable(id)) {
    known->local_requests -= known->local_requests > 0 ? 1 : 0;
    known->health.on_ended();
  }
}

void upstream_table::on_success(std::string_view id, time_point now) {
  if (upstream* known = find_mutable(id)) {
    known->health.on_success(now, k_upstream_ejection);
    known->cold_start.on_reachable(now);
  }
}

bool upstream_table::may_eject(std::string_view service, time_point now) const {
  std::size_t total = 0;
  std::size_t ejected = 0;
  for (const upstream& known : m_upstreams) {
    if (known.record.service == service && !known.leaving() && !known.superseded) {
      ++total;
      ejected += known.health.ejected(now) ? 1 : 0;
    }
  }
  return static_cast<double>(ejected + 1) <=
         k_upstream_ejection.max_ejected_share * static_cast<double>(total);
}

void upstream_table::on_failure(std::string_view id, time_point now) {
  if (upstream* known = find_mutable(id)) {
    known->health.on_failure(now, k_upstream_ejection, may_eject(known->record.service, now));
  }
}

void upstream_table::on_connect_failure(std::string_view id) {
  if (upstream* known = find_mutable(id); known != nullptr && known->health.ejected_or_on_trial()) {
    known->cold_start.on_unreachable();
  }
}

void upstream_table::on_wrong_instance(std::string_view id) {
  if (upstream* known = find_mutable(id)) {
    known->wrong_instance = true;
  }
}

bool upstream_table::on_leaving(std::string_view id, time_point now) {
  upstream* known = find_mutable(id);
  if (known == nullptr) {
    return false;
  }
  m_instances.on_leaving(known->record, now);
  return !std::exchange(known->announced_leaving, true);
}

void upstream_table::on_requests_rejected(std::string_view id, milliseconds wait, time_point now) {
  if (upstream* known = find_mutable(id)) {
    known->rejects_until = std::max(known->rejects_until, now + std::min<milliseconds>(wait, k_max_backoff));
  }
}

void upstream_table::set_member_loads(std::string_view member, std::span<const upstream_load> loads) {
  const auto adjust = [this](std::span<const upstream_load> list, bool add) {
    for (const upstream_load& load : list) {
      for (upstream& known : m_upstreams) {
        if (known.hash == load.upstream_hash) {
          known.member_requests =
              add ? known.member_requests + load.outstanding
                  : known.member_requests - std::min(known.member_requests, load.outstanding);
        }
      }
    }
  };
  auto& stored = m_member_loads[std::string(member)];
  adjust(stored, false);
  adjust(loads, true);
  if (loads.empty()) {
    m_member_loads.erase(std::string(member));
  } else {
    stored.assign(loads.begin(), loads.end());
  }
}

std::vector<upstream_load> upstream_table::local_loads() const {
  std::vector<upstream_load> loads;
  for (const upstream& known : m_upstreams) {
    if (known.local_requests > 0) {
      loads.push_back({known.hash, known.local_requests});
    }
  }
  return loads;
}

std::string_view to_string(upstream_table::change::kind kind) {
  using change = upstream_table::change::kind;
  switch (kind) {
    case change::added:
      return "added";
    case change::removed:
      return "removed";
    case change::leaving:
      return "leaving";
    case change::restarted:
      return "restarted";
    case change::kept_after_expiry:
      return "kept after lapse";
    case change::held_back:
      return "not used, may be gone";
    case change::not_configured:
      return "service not configured";
  }
  return "";
}

}  // namespace cuminpath::gateway
