#include "engine_group.h"

#include <algorithm>

namespace cuminpath::balancer {
namespace {

constexpr milliseconds k_copy_time{150};

}  // namespace

engine_status engine_group::status(std::uint32_t rank) const {
  return m_ranks[rank].status;
}

bool engine_group::held() const {
  return std::any_of(m_ranks.begin(), m_ranks.end(),
                     [](const engine& each) { return each.status.held.has_value(); });
}

order_result engine_group::apply(std::uint32_t rank, const order& value, time_point now) {
  engine& target = m_ranks[rank];
  engine_status& status = target.status;
  if (value.epoch != status.epoch) {
    return order_result::conflict;
  }
  if (m_fencing && value.token < target.highest_token) {
    return order_result::stale;
  }
  target.highest_token = std::max(target.highest_token, value.token);
  if (const auto* prepare = std::get_if<prepare_order>(&value.body)) {
    if (status.prepared == prepare->version || target.copying == prepare->version) {
      return order_result::accepted;
    }
    if (prepare->version <= target.highest_version || status.armed) {
      return order_result::conflict;
    }
    target.highest_version = prepare->version;
    target.copying = prepare->version;
    target.copy_done_at = now + k_copy_time;
    target.prepared_map = prepare->map;
    status.prepared.reset();
    status.busy = true;
    return order_result::accepted;
  }
  if (const auto* arm = std::get_if<arm_order>(&value.body)) {
    if (status.armed == arm->value) {
      return order_result::accepted;
    }
    if (status.armed || status.prepared != arm->value.version || arm->value.step <= status.step) {
      return order_result::conflict;
    }
    status.armed = arm->value;
    return order_result::accepted;
  }
  if (const auto* disarm = std::get_if<disarm_order>(&value.body)) {
    if (status.map_version == disarm->version && disarm->version != 0) {
      return order_result::conflict;
    }
    if (status.armed && status.armed->version == disarm->version) {
      status.armed.reset();
    }
    return order_result::accepted;
  }
  if (const auto* hold = std::get_if<hold_order>(&value.body)) {
    if (status.held == hold->step) {
      return order_result::accepted;
    }
    if (status.held || hold->step <= status.step) {
      return order_result::conflict;
    }
    status.held = hold->step;
    return order_result::accepted;
  }
  const auto& go = std::get<go_order>(value.body);
  if (status.held == go.step) {
    status.held.reset();
  }
  return order_result::accepted;
}

void engine_group::tick(time_point now, bool has_work) {
  while (!m_delayed_orders.empty() && m_delayed_orders.begin()->first <= now) {
    const auto [rank, value] = m_delayed_orders.begin()->second;
    m_delayed_orders.erase(m_delayed_orders.begin());
    apply(rank, value, now);
  }
  for (engine& each : m_ranks) {
    if (each.copying != 0 && each.copy_done_at <= now) {
      each.status.prepared = std::exchange(each.copying, 0);
      each.status.busy = false;
    }
  }
  const std::uint64_t next = m_ranks[0].status.step + 1;
  const bool held = std::any_of(m_ranks.begin(), m_ranks.end(),
                                [&](const engine& each) { return each.status.held == next; });
  if (!has_work || held) {
    return;
  }
  ++m_passes;
  for (engine& each : m_ranks) {
    each.status.step = next;
    if (each.status.armed && each.status.armed->step == next) {
      each.status.map_version = each.status.armed->version;
      each.map = each.prepared_map;
      each.status.armed.reset();
      each.status.prepared.reset();
    }
  }
  m_maps_differed =
      m_maps_differed || std::any_of(m_ranks.begin(), m_ranks.end(), [&](const engine& each) {
        return each.status.map_version != m_ranks[0].status.map_version || each.map != m_ranks[0].map;
      });
}

void engine_group::restart() {
  for (engine& each : m_ranks) {
    const std::uint64_t epoch = each.status.epoch + 1;
    each = {.status = {.group = "g",
                       .epoch = epoch,
                       .rank = each.status.rank,
                       .ranks = each.status.ranks,
                       .open = true,
                       .step = each.status.step}};
  }
}

}  // namespace cuminpath::balancer
