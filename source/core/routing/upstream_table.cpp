#include "core/routing/upstream_table.h"

#include <algorithm>

#include "core/common/assert.h"
#include "core/common/hash.h"

namespace cuminpath::routing {
namespace {

bool same_identity(const upstream_info& left, const upstream_info& right) {
  return left.name == right.name && left.model_or_service == right.model_or_service &&
         (left.peer_address == right.peer_address || left.peer_address.empty());
}

}  // namespace

upstream_table::upstream_table(const router_options& options)
    : m_options(options), m_entry_hash(hash64(options.entry_name)) {}

std::size_t upstream_table::index(upstream_id id) const {
  const auto value = static_cast<std::size_t>(id);
  CUMINPATH_ASSERT(value < m_info.size());
  return value;
}

upstream_id upstream_table::add(const upstream_info& value, std::size_t& row) {
  // A row is reused only if no attempt refers to it any more.
  while (row < m_info.size() && (m_placement[row].known || m_load[row].outstanding > 0)) {
    ++row;
  }
  if (row == m_info.size()) {
    m_info.emplace_back();
    m_placement.emplace_back();
    m_load.emplace_back();
    m_health.emplace_back();
  }
  m_load[row] = {};
  m_health[row] = {};
  m_placement[row] = {};
  m_placement[row].known = true;
  m_placement[row].name_hash = hash64(value.name);
  m_placement[row].subset_weight = hash64(value.name, m_entry_hash);
  return static_cast<upstream_id>(row);
}

void upstream_table::replace(time_point now, std::span<const upstream_info> upstreams) {
  string_map<upstream_id> old_names;
  old_names.swap(m_by_name);
  m_by_address.clear();
  std::vector<upstream_id> ids(upstreams.size());
  std::vector<bool> kept(m_info.size(), false);
  std::vector<bool> is_new(upstreams.size(), true);
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const auto found = old_names.find(upstreams[i].name);
    if (found != old_names.end() && same_identity(info(found->second), upstreams[i])) {
      ids[i] = found->second;
      is_new[i] = false;
      kept[index(ids[i])] = true;
    }
  }
  for (std::size_t row = 0; row < kept.size(); ++row) {
    m_placement[row].known = kept[row];
  }
  std::size_t first_free = 0;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const upstream_info& value = upstreams[i];
    if (is_new[i]) {
      ids[i] = add(value, first_free);
    }
    const std::size_t row = index(ids[i]);
    m_info[row] = value;
    m_placement[row].distance = value.availability_zone == m_options.availability_zone
                                    ? proximity::local_availability_zone
                                : value.region == m_options.region ? proximity::local_region
                                                                   : proximity::other_region;
    m_placement[row].reachable = !value.peer_address.empty();
    m_load[row].slots = std::max(value.slots, 1U);
    m_by_name[value.name] = ids[i];
    if (!value.peer_address.empty()) {
      m_by_address[value.peer_address].push_back(ids[i]);
    }
  }
  sort_pools();
  for (auto& [name, value] : m_pools) {
    fill_subset(now, value);
  }
  collect_in_use();
}

void upstream_table::sort_pools() {
  m_pools.clear();
  for (std::size_t row = 0; row < m_info.size(); ++row) {
    if (m_placement[row].known) {
      pool& value = m_pools[m_info[row].model_or_service];
      auto& list = m_placement[row].distance == proximity::local_availability_zone ? value.near : value.far;
      list.push_back(static_cast<upstream_id>(row));
    }
  }
  const auto precedes = [this](upstream_id left, upstream_id right) {
    const placement_state& a = placement(left);
    const placement_state& b = placement(right);
    return a.distance != b.distance ? a.distance < b.distance : a.subset_weight > b.subset_weight;
  };
  for (auto& [name, value] : m_pools) {
    std::sort(value.near.begin(), value.near.end(), precedes);
    std::sort(value.far.begin(), value.far.end(), precedes);
  }
}

void upstream_table::fill_subset(time_point now, pool& value) {
  value.subset.clear();
  const std::size_t size = m_options.subset_size;
  // A third of the subset is reserved for other availability zones, so that load can spill over without a new
  // subscription.
  const std::size_t near_quota = size - std::min(value.far.size(), size / 3);
  const std::size_t far_quota = size - std::min(value.near.size(), near_quota);
  const auto add_members = [&](const std::vector<upstream_id>& list, std::size_t quota) {
    // Unavailable members stay in the subset, so that their return is noticed, but do not count towards the
    // quota.
    std::size_t usable = 0;
    for (std::size_t i = 0; i < list.size() && usable < quota && i < 2 * quota; ++i) {
      placement_state& state = m_placement[index(list[i])];
      health_state& condition = m_health[index(list[i])];
      if (!state.in_subset) {
        state.in_subset = true;
        condition.last_message_at = now;
        condition.suspected = false;
      }
      usable += available(list[i]) ? 1 : 0;
      value.subset.push_back(list[i]);
    }
  };
  add_members(value.near, near_quota);
  add_members(value.far, far_quota);
}

void upstream_table::refresh_subset(time_point now, std::string_view model_or_service) {
  const auto found = m_pools.find(model_or_service);
  if (found != m_pools.end()) {
    fill_subset(now, found->second);
    collect_in_use();
  }
}

void upstream_table::collect_in_use() {
  std::vector<upstream_id> previous;
  previous.swap(m_in_use);
  for (const auto& [name, value] : m_pools) {
    m_in_use.insert(m_in_use.end(), value.subset.begin(), value.subset.end());
  }
  std::sort(m_in_use.begin(), m_in_use.end());
  for (const upstream_id id : previous) {
    if (!std::binary_search(m_in_use.begin(), m_in_use.end(), id)) {
      m_placement[index(id)].in_subset = false;
    }
  }
}

const pool* upstream_table::find_pool(std::string_view model_or_service) const {
  const auto found = m_pools.find(model_or_service);
  return found == m_pools.end() ? nullptr : &found->second;
}

std::optional<upstream_id> upstream_table::find(std::string_view name) const {
  const auto found = m_by_name.find(name);
  return found == m_by_name.end() ? std::nullopt : std::optional(found->second);
}

std::span<const upstream_id> upstream_table::at_address(std::string_view peer_address) const {
  const auto found = m_by_address.find(peer_address);
  return found == m_by_address.end() ? std::span<const upstream_id>{} : found->second;
}

bool upstream_table::available(upstream_id id) const {
  const health_state& condition = health(id);
  const placement_state& state = placement(id);
  return state.known && state.reachable && !condition.suspected && !condition.draining &&
         condition.upstream_healthy;
}

}  // namespace cuminpath::routing
