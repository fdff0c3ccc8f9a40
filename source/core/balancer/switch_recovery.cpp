#include "core/balancer/switch_recovery.h"

#include <algorithm>

namespace cuminpath::balancer {
namespace {

// What the ranks that can be read report.
struct group_summary {
  std::optional<std::uint32_t> absent;
  bool all_fenced = true;
  std::uint32_t holds = 0;
  std::uint32_t holder = 0;     // Of the first pass that is held.
  std::uint64_t held_step = 0;  // The first pass that is held.
  std::optional<armed_switch> armed;
  bool same_switch_armed = true;  // All armed ranks are armed with the same map and pass.
  std::uint64_t prepared = 0;     // Highest version that a rank has prepared.
  std::uint64_t map_version = 0;
};

void add_rank(group_summary& summary, const rank_view& view, std::uint32_t rank, const directive& fence) {
  const engine_status& status = view.status;
  summary.all_fenced = summary.all_fenced && view.fenced == token_use{fence.token, fence.epoch};
  if (status.held) {
    if (summary.holds == 0 || *status.held < summary.held_step) {
      summary.holder = rank;
      summary.held_step = *status.held;
    }
    ++summary.holds;
  }
  if (status.armed) {
    summary.same_switch_armed =
        summary.same_switch_armed && (!summary.armed || *summary.armed == *status.armed);
    summary.armed = status.armed;
  }
  summary.prepared = std::max(summary.prepared, status.prepared.value_or(0));
  summary.map_version = std::max(summary.map_version, status.map_version);
}

group_summary summarize(const recovery_state& state, time_point now) {
  group_summary summary;
  for (std::uint32_t rank = 0; rank < state.ranks.size(); ++rank) {
    if (is_recent(state.ranks[rank], state.max_view_age, now)) {
      add_rank(summary, *state.ranks[rank], rank, state.fence);
    } else {
      summary.absent = rank;
    }
  }
  return summary;
}

// Returns the version of the switch for which the process that led beside the rank `leader` has ordered a
// hold with the token `token`; 0 if no balancer that reports has seen such an order.
std::uint64_t last_hold_version(const recovery_state& state, std::uint32_t leader, std::uint64_t token) {
  std::uint64_t version = 0;
  for (const auto& view : state.ranks) {
    if (view && view->latched.epoch == state.fence.epoch && view->latched.leader == leader &&
        token_of_version(view->latched.version) == token) {
      version = std::max(version, view->latched.version);
    }
  }
  return version;
}

// Returns the version of the switch if the absent rank cannot be armed with it, nor with any other; 0 if it
// may be.
std::uint64_t version_not_armed_at_absent_rank(const recovery_state& state, std::uint32_t absent) {
  const std::uint64_t version =
      state.previous_token == 0 ? 0 : last_hold_version(state, absent, state.previous_token);
  if (version == 0) {
    return 0;
  }
  for (std::uint32_t rank = 0; rank < state.ranks.size(); ++rank) {
    // Only the balancer on the rank's own host reads a status that is newer than the fence: engines may
    // answer requests from other hosts with an earlier one.
    const auto& view = state.ranks[rank];
    if (rank != absent && view && view->read_by_own_balancer && !view->status.armed &&
        view->status.map_version < version) {
      return version;
    }
  }
  return 0;
}

std::optional<directive> decide_without_rank(const recovery_state& state, const group_summary& group) {
  const std::uint64_t version = version_not_armed_at_absent_rank(state, *group.absent);
  if (version == 0 || group.holds == 0) {
    return std::nullopt;
  }
  directive next = state.fence;
  next.kind = phase::disarming;
  next.version = group.armed ? group.armed->version : version;
  next.step = group.held_step;
  next.holder = group.holder;
  next.absent = group.absent;
  return next;
}

}  // namespace

bool is_recent(const std::optional<rank_view>& view, milliseconds max_age, time_point now) {
  return view && now - view->updated_at <= max_age;
}

std::optional<std::uint64_t> recoverable_epoch(rank_views ranks, milliseconds max_age, time_point now) {
  std::optional<std::uint64_t> epoch;
  std::size_t recent = 0;
  for (const auto& view : ranks) {
    if (!is_recent(view, max_age, now)) {
      continue;
    }
    if (!view->status.open || (epoch && *epoch != view->status.epoch)) {
      return std::nullopt;
    }
    epoch = view->status.epoch;
    ++recent;
  }
  return recent + 1 >= ranks.size() ? epoch : std::nullopt;
}

std::optional<directive> decide_recovery(const recovery_state& state, time_point now) {
  if (recoverable_epoch(state.ranks, state.max_view_age, now) != state.fence.epoch) {
    return std::nullopt;
  }
  const group_summary group = summarize(state, now);
  directive next = state.fence;
  if (group.holds == 0 && !group.armed) {
    next.kind = phase::idle;
    return next;
  }
  if (!group.all_fenced) {
    return std::nullopt;
  }
  if (group.armed && (group.holds == 0 || group.held_step > group.armed->step)) {
    // The pass that switches maps is not held and may begin at any time. Disarming now could reach some ranks
    // before that pass and others after it.
    return std::nullopt;
  }
  if (group.absent) {
    return decide_without_rank(state, group);
  }
  next.version = group.armed ? group.armed->version : group.prepared;
  next.holder = group.holder;
  next.step = group.held_step;
  if (!group.armed && group.prepared <= group.map_version) {
    next.kind = phase::releasing;  // No rank has a newer map, so none was ever ordered to use one.
    return next;
  }
  const armed_switch target{next.version, next.step};
  const bool can_finish =
      group.holds == 1 && group.same_switch_armed && (!group.armed || *group.armed == target) &&
      std::all_of(state.ranks.begin(), state.ranks.end(),
                  [&](const auto& view) { return view->status.prepared == next.version; });
  next.kind = can_finish ? phase::arming : phase::disarming;
  return next;
}

}  // namespace cuminpath::balancer
