#include "core/balancer/switch_coordinator.h"

#include <algorithm>

namespace cuminpath::balancer {
namespace {

using views = std::span<const std::optional<rank_view>>;

template <class predicate>
bool all_of(views ranks, predicate matches) {
  return std::all_of(ranks.begin(), ranks.end(),
                     [&](const auto& view) { return view && matches(view->status); });
}

}  // namespace

std::string_view phase_name(phase value) {
  switch (value) {
    case phase::idle:
      return "idle";
    case phase::preparing:
      return "preparing";
    case phase::holding:
      return "holding";
    case phase::arming:
      return "arming";
    case phase::going:
      return "going";
    case phase::disarming:
      return "disarming";
    case phase::releasing:
      return "releasing";
  }
  return "";
}

bool has_to_act(const rank_view& rank, const directive& active) {
  const engine_status& status = rank.status;
  switch (active.kind) {
    case phase::idle:
    case phase::preparing:
      return false;
    case phase::holding:
    case phase::going:
    case phase::releasing:
      return status.rank == active.holder;
    case phase::arming:
      return status.epoch != active.epoch || (status.armed != armed_switch{active.version, active.step} &&
                                              status.map_version != active.version);
    case phase::disarming:
      return status.armed || rank.disarmed_token != active.token || rank.disarmed_epoch != active.epoch;
  }
  return true;
}

void switch_coordinator::enter(phase next, time_point now) {
  m_directive.kind = next;
  m_entered_at = now;
  if (next != phase::preparing) {
    m_directive.map.clear();
  }
}

void switch_coordinator::begin_hold(views ranks, time_point now) {
  m_directive.step = switch_step(ranks, now);
  m_hold_decided_at = now;
  enter(phase::holding, now);
}

std::uint64_t switch_coordinator::switch_step(views ranks, time_point now) const {
  // Passes can have begun since the view was read that shows the highest one.
  std::uint64_t newest_step = 0;
  time_point read_at = now;
  for (const auto& view : ranks) {
    if (view && view->status.step > newest_step) {
      newest_step = view->status.step;
      read_at = view->updated_at;
    }
  }
  if (m_pass_time.count() <= 0) {
    return newest_step + m_options.default_lead_steps;
  }
  const auto lead = m_lead_estimator.lead() + std::chrono::duration_cast<milliseconds>(now - read_at);
  // The pass in progress may be about to end and is not counted.
  const auto steps = 1 + (lead + m_pass_time - milliseconds{1}) / m_pass_time;
  return newest_step + std::min(m_options.max_lead_steps, static_cast<std::uint64_t>(steps));
}

bool switch_coordinator::complete(views ranks, time_point now) const {
  if (ranks.empty() || !ranks.front()) {
    return false;
  }
  const std::uint64_t epoch = ranks.front()->status.epoch;
  return std::all_of(ranks.begin(), ranks.end(), [&](const auto& view) {
    return view && now - view->updated_at <= m_options.max_view_age && view->status.epoch == epoch &&
           view->status.open;
  });
}

bool switch_coordinator::needs_recovery(views ranks, time_point now) const {
  return m_directive.kind == phase::idle && complete(ranks, now) &&
         std::any_of(ranks.begin(), ranks.end(),
                     [](const auto& view) { return view->status.held || view->status.armed; });
}

bool switch_coordinator::holds_group(views ranks) const {
  switch (m_directive.kind) {
    case phase::holding:
    case phase::arming:
    case phase::disarming:
    case phase::releasing:
      return true;
    case phase::idle:
    case phase::preparing:
    case phase::going:
      return std::any_of(ranks.begin(), ranks.end(),
                         [](const auto& view) { return view && view->status.held.has_value(); });
  }
  return true;
}

bool switch_coordinator::start(views ranks, std::uint64_t token, std::uint64_t version, rank_map map,
                               time_point now) {
  if (m_switching_stopped || m_directive.kind != phase::idle || token <= m_outdated_token ||
      !complete(ranks, now) || needs_recovery(ranks, now)) {
    return false;
  }
  const std::uint64_t current = ranks.front()->status.map_version;
  if (!all_of(ranks, [&](const engine_status& status) {
        return std::max(status.map_version, status.prepared.value_or(0)) < version;
      })) {
    m_outdated_token = token;  // Versions grow with tokens, so another process has led with a higher token.
    return false;
  }
  if (!all_of(ranks, [&](const engine_status& status) { return status.map_version == current; })) {
    return false;
  }
  m_directive = {.kind = phase::preparing,
                 .token = token,
                 .epoch = ranks.front()->status.epoch,
                 .version = version,
                 .map = std::move(map)};
  m_entered_at = now;
  return true;
}

void switch_coordinator::update_outdated_token(views ranks, std::uint64_t token) {
  for (const auto& view : ranks) {
    if (view && (view->refused_token >= token || view->followed_token > token)) {
      m_outdated_token = std::max(m_outdated_token, token);
    }
  }
}

void switch_coordinator::step(views ranks, std::uint32_t local_rank, std::uint64_t token, time_point now) {
  if (token == 0 || (m_directive.kind != phase::idle && m_directive.token != token)) {
    // Another process leads, or this one has acquired a new token. A switch under way is recovered from the
    // state of the ranks.
    enter(phase::idle, now);
  }
  update_outdated_token(ranks, token);
  if (token <= m_outdated_token) {
    enter(phase::idle, now);
    return;
  }
  // In a new epoch the ranks start with map 0 and nothing prepared, armed or held.
  const bool group_reformed = std::any_of(ranks.begin(), ranks.end(), [&](const auto& view) {
    return view && view->status.epoch > m_directive.epoch && now - view->updated_at <= m_options.max_view_age;
  });
  if (m_directive.kind != phase::idle && group_reformed) {
    enter(phase::idle, now);
  }
  switch (m_directive.kind) {
    case phase::idle:
      step_idle(ranks, token, now);
      return;
    case phase::preparing:
      step_preparing(ranks, local_rank, now);
      return;
    case phase::holding:
      step_holding(ranks, now);
      return;
    case phase::arming:
      step_arming(ranks, now);
      return;
    case phase::going:
    case phase::releasing:
      step_going(ranks, now);
      return;
    case phase::disarming:
      step_disarming(ranks, now);
      return;
  }
}

void switch_coordinator::step_idle(views ranks, std::uint64_t token, time_point now) {
  if (!needs_recovery(ranks, now)) {
    return;
  }
  m_directive = {.token = token, .epoch = ranks.front()->status.epoch};
  m_hold_decided_at.reset();
  bool held = false;
  bool armed = false;
  std::uint64_t prepared = 0;
  for (std::uint32_t rank = 0; rank < ranks.size(); ++rank) {
    const engine_status& status = ranks[rank]->status;
    if (status.held) {
      held = true;
      m_directive.holder = rank;
      m_directive.step = *status.held;
    }
    if (status.armed) {
      armed = true;
      m_directive.version = status.armed->version;
    }
    prepared = std::max(prepared, status.prepared.value_or(0));
  }
  if (!armed) {
    m_directive.version = prepared;
  }
  if (!held) {
    // The group has been released, and the pass that switches maps begins with the next request. Disarming
    // now could reach some ranks before that pass and others after it.
    enter(phase::going, now);
    return;
  }
  const bool can_finish = all_of(ranks, [&](const engine_status& status) {
    return status.prepared == m_directive.version &&
           (!status.armed || *status.armed == armed_switch{m_directive.version, m_directive.step});
  });
  if (!armed && prepared <= ranks.front()->status.map_version) {
    enter(phase::releasing, now);  // No rank has a newer map, so none was ever ordered to use one.
  } else {
    enter(can_finish ? phase::arming : phase::disarming, now);
  }
}

void switch_coordinator::step_preparing(views ranks, std::uint32_t local_rank, time_point now) {
  if (m_switching_stopped || now - m_entered_at > m_options.prepare_timeout) {
    enter(phase::idle, now);
    return;
  }
  if (!complete(ranks, now) || !all_of(ranks, [&](const engine_status& status) {
        return status.prepared == m_directive.version && !status.armed && !status.held;
      })) {
    return;
  }
  m_directive.holder = local_rank;
  begin_hold(ranks, now);
}

void switch_coordinator::step_holding(views ranks, time_point now) {
  const auto& holder = ranks[m_directive.holder];
  if (!holder) {
    return;
  }
  if (holder->status.held == m_directive.step) {
    enter(phase::arming, now);
    return;
  }
  if (now - m_entered_at > m_options.hold_timeout) {
    enter(phase::idle, now);
  } else if (holder->status.step >= m_directive.step) {
    // The pass began before the hold arrived. Nothing is armed yet, so a later pass can be chosen.
    m_directive.step = switch_step(ranks, now);
    m_hold_decided_at = now;
  }
}

void switch_coordinator::step_arming(views ranks, time_point now) {
  const armed_switch wanted{m_directive.version, m_directive.step};
  if (all_of(ranks, [&](const engine_status& status) {
        return status.epoch == m_directive.epoch && status.armed == wanted;
      })) {
    enter(phase::going, now);
    return;
  }
  const bool any_switched = std::any_of(ranks.begin(), ranks.end(), [&](const auto& view) {
    return view && view->status.epoch == m_directive.epoch && view->status.map_version == m_directive.version;
  });
  if (any_switched) {
    enter(phase::going, now);  // The previous leader had armed all ranks and released the group.
    return;
  }
  // A rank without its copy cannot be armed. Late orders with this token cannot be distinguished from new
  // ones, so a higher token is needed first.
  const bool stuck = std::any_of(ranks.begin(), ranks.end(), [&](const auto& view) {
    return view && view->status.epoch == m_directive.epoch && view->status.armed != wanted &&
           view->status.prepared != m_directive.version;
  });
  if (stuck) {
    m_outdated_token = m_directive.token;
    enter(phase::idle, now);
  }
}

void switch_coordinator::step_going(views ranks, time_point now) {
  const auto& holder = ranks[m_directive.holder];
  if (m_hold_decided_at && holder && holder->status.held != m_directive.step) {
    m_lead_estimator.observe(std::chrono::duration_cast<milliseconds>(now - *m_hold_decided_at));
    m_hold_decided_at.reset();
  }
  const bool released = all_of(ranks, [&](const engine_status& status) {
    return status.epoch == m_directive.epoch && !status.held && !status.armed;
  });
  if (released) {
    enter(phase::idle, now);
  }
}

void switch_coordinator::step_disarming(views ranks, time_point now) {
  const bool disarmed = std::all_of(ranks.begin(), ranks.end(), [&](const auto& view) {
    return view && view->status.epoch == m_directive.epoch && !view->status.armed &&
           view->disarmed_token == m_directive.token && view->disarmed_epoch == m_directive.epoch;
  });
  if (disarmed) {
    enter(phase::releasing, now);
  }
}

}  // namespace cuminpath::balancer
