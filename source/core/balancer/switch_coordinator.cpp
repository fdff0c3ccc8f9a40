#include "core/balancer/switch_coordinator.h"

#include <algorithm>

#include "core/balancer/switch_recovery.h"

namespace cuminpath::balancer {
namespace {

using views = std::span<const std::optional<rank_view>>;

template <class predicate>
bool all_of(views ranks, predicate matches) {
  return std::all_of(ranks.begin(), ranks.end(),
                     [&](const auto& view) { return view && matches(view->status); });
}

// Returns the rank to hold: one of another host, so that a successor can release it. The lowest one is the
// next leader, for which that order is local.
std::uint32_t choose_holder(views ranks, std::uint32_t leader) {
  for (std::uint32_t rank = 0; rank < ranks.size(); ++rank) {
    if (rank != leader && ranks[rank] && ranks[rank]->read_by_own_balancer) {
      return rank;
    }
  }
  return leader;
}

}  // namespace

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
  return m_directive.kind == phase::idle && recoverable_epoch(ranks, m_options.max_view_age, now) &&
         std::any_of(ranks.begin(), ranks.end(), [&](const auto& view) {
           return is_recent(view, m_options.max_view_age, now) && (view->status.held || view->status.armed);
         });
}

bool switch_coordinator::holds_group(views ranks) const {
  switch (m_directive.kind) {
    case phase::holding:
    case phase::arming:
    case phase::arming_holder:
    case phase::arming_leader:
    case phase::disarming:
    case phase::releasing:
      return true;
    case phase::idle:
    case phase::preparing:
    case phase::checking:
    case phase::going:
    case phase::fencing:
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
  if (token_of_version(version) != token) {
    m_outdated_token = token;
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
  m_started_at = now;
  m_complete_at = now;
  m_started_token = token;
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
      step_idle(ranks, local_rank, token, now);
      return;
    case phase::preparing:
      m_directive.leader = local_rank;
      step_preparing(ranks, now);
      return;
    case phase::checking:
      step_checking(ranks, now);
      return;
    case phase::holding:
      step_holding(ranks, now);
      return;
    case phase::arming:
    case phase::arming_holder:
    case phase::arming_leader:
      step_arming(ranks, now);
      return;
    case phase::going:
      step_going(ranks, now);
      return;
    case phase::fencing:
      step_fencing(ranks, now);
      return;
    case phase::disarming:
      step_disarming(ranks, now);
      return;
    case phase::releasing:
      step_releasing(ranks, now);
      return;
  }
}

void switch_coordinator::require_new_token(time_point now) {
  m_outdated_token = m_directive.token;
  enter(phase::idle, now);
}

void switch_coordinator::step_idle(views ranks, std::uint32_t local_rank, std::uint64_t token,
                                   time_point now) {
  if (!needs_recovery(ranks, now)) {
    return;
  }
  m_directive = {.token = token,
                 .epoch = *recoverable_epoch(ranks, m_options.max_view_age, now),
                 .version = first_version_of_token(token),
                 .leader = local_rank};
  m_hold_decided_at.reset();
  enter(phase::fencing, now);
}

void switch_coordinator::step_fencing(views ranks, time_point now) {
  auto next = decide_recovery({.ranks = ranks,
                               .fence = m_directive,
                               .previous_token = m_acquired_token == m_directive.token ? m_previous_token : 0,
                               .max_view_age = m_options.max_view_age},
                              now);
  if (!next) {
    return;
  }
  if (next->kind == phase::disarming && m_started_token == m_directive.token) {
    // A leader that takes over concludes from a token that switches were started with that no rank was ever
    // disarmed with it.
    require_new_token(now);
    return;
  }
  m_directive = std::move(*next);
  enter(m_directive.kind, now);
}

bool switch_coordinator::must_give_up(views ranks, time_point now) {
  if (complete(ranks, now)) {
    m_complete_at = now;
  }
  return m_switching_stopped || now - m_started_at > m_options.prepare_timeout ||
         now - m_complete_at > m_options.max_silence;
}

void switch_coordinator::step_preparing(views ranks, time_point now) {
  if (must_give_up(ranks, now)) {
    enter(phase::idle, now);
    return;
  }
  if (!complete(ranks, now) || !all_of(ranks, [&](const engine_status& status) {
        return status.prepared == m_directive.version && !status.armed && !status.held;
      })) {
    return;
  }
  m_directive.round = 1;
  enter(phase::checking, now);
}

void switch_coordinator::step_checking(views ranks, time_point now) {
  if (must_give_up(ranks, now)) {
    enter(phase::idle, now);
    return;
  }
  if (now - m_entered_at > m_options.max_check_time) {
    ++m_directive.round;
    m_entered_at = now;
    return;
  }
  const bool can_hold = std::all_of(ranks.begin(), ranks.end(), [&](const auto& view) {
    return view && view->checked == status_check{m_directive.version, m_directive.round} &&
           view->status.epoch == m_directive.epoch && view->status.open &&
           view->status.prepared == m_directive.version && !view->status.armed && !view->status.held;
  });
  if (can_hold) {
    m_directive.holder = choose_holder(ranks, m_directive.leader);
    begin_hold(ranks, now);
  }
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
  const auto armed = [&](const auto& view) { return view && is_armed(*view, m_directive); };
  if (std::all_of(ranks.begin(), ranks.end(), armed)) {
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
    return view && view->status.epoch == m_directive.epoch &&
           view->status.armed != armed_switch{m_directive.version, m_directive.step} &&
           view->status.prepared != m_directive.version;
  });
  if (stuck) {
    require_new_token(now);
    return;
  }
  const bool turn_done = std::all_of(ranks.begin(), ranks.end(), [&](const auto& view) {
    return view && (armed(view) || !is_turn_to_arm(view->status.rank, m_directive));
  });
  if (turn_done && m_directive.kind == phase::arming) {
    enter(m_directive.holder == m_directive.leader ? phase::arming_leader : phase::arming_holder, now);
  } else if (turn_done && m_directive.kind == phase::arming_holder) {
    enter(phase::arming_leader, now);
  }
}

void switch_coordinator::step_going(views ranks, time_point now) {
  const auto& holder = ranks[m_directive.holder];
  if (m_hold_decided_at && holder && holder->status.held != m_directive.step) {
    m_lead_estimator.observe(std::chrono::duration_cast<milliseconds>(now - *m_hold_decided_at));
    m_hold_decided_at.reset();
  }
  const bool ended = all_of(ranks, [&](const engine_status& status) {
    return status.epoch == m_directive.epoch && !status.held && !status.armed;
  });
  if (ended) {
    enter(phase::idle, now);
    return;
  }
  const bool other_hold = std::any_of(ranks.begin(), ranks.end(), [&](const auto& view) {
    return view && view->status.held &&
           (view->status.rank != m_directive.holder || view->status.held != m_directive.step);
  });
  if (other_hold) {
    require_new_token(
        now);  // An order of an earlier switch that was executed late. Nothing here releases it.
  }
}

void switch_coordinator::step_disarming(views ranks, time_point now) {
  const bool disarmed = std::all_of(ranks.begin(), ranks.end(), [&](const auto& view) {
    return view && (view->status.rank == m_directive.absent ||
                    (view->status.epoch == m_directive.epoch && !view->status.armed &&
                     view->disarmed_token == m_directive.token && view->disarmed_epoch == m_directive.epoch));
  });
  if (disarmed) {
    enter(phase::releasing, now);
  }
}

void switch_coordinator::step_releasing(views ranks, time_point now) {
  const bool released = std::all_of(ranks.begin(), ranks.end(), [&](const auto& view) {
    return view && (view->status.rank == m_directive.absent ||
                    (view->status.epoch == m_directive.epoch && !view->status.held && !view->status.armed));
  });
  if (released) {
    // A `go` that is executed late could release the next switch, if it holds the same pass.
    require_new_token(now);
  }
}

}  // namespace cuminpath::balancer
