#include "core/scheduling/preemption.h"

#include <algorithm>
#include <utility>

namespace cuminpath::scheduling {
namespace {

// Part of its share below which a workspace may preempt. With 0.5, a small workspace's first-token p99 beside
// large ones is 3.3 times its value alone; with 1.0, equal workspaces preempt each other twice as often.
constexpr double k_clearly_below = 0.75;

double entitled(const class_state& state, const flow& value) {
  const bool active = value.queued > 0 || value.running > 0;
  const double shares = state.queue.active_share() + (active ? 0 : value.share);
  return value.share / std::max(shares, value.share) * static_cast<double>(state.running.size());
}

std::optional<job_id> choose_in(time_point now, const preempt_running& policy, const class_state& state,
                                const job_table& jobs, double min_excess) {
  std::optional<job_id> best;
  std::pair<double, time_point> best_key;
  for (const job_id id : state.running) {
    const job_state& candidate = jobs.at(id);
    const flow& owner = *state.queue.find(candidate.workspace_row);
    const double over = owner.running - entitled(state, owner);
    const std::pair key(over, candidate.started_at);
    if (candidate.preemptible && now - candidate.started_at >= policy.min_run && over >= min_excess &&
        (!best || key > best_key)) {
      best = id;
      best_key = key;
    }
  }
  return best;
}

}  // namespace

std::size_t count_victims_below(time_point now, const preempt_running& policy, const class_table& classes,
                                const job_table& jobs, class_index row) {
  std::size_t count = 0;
  for (const class_index other : classes.order()) {
    const class_state& state = classes.at(other);
    if (state.declared.rank > classes.at(row).declared.rank) {
      const auto candidates = static_cast<std::size_t>(
          std::count_if(state.running.begin(), state.running.end(), [&](const job_id id) {
            return jobs.at(id).preemptible && now - jobs.at(id).started_at >= policy.min_run;
          }));
      const std::size_t kept = classes.runs_kept_by_floor(other);
      count += std::min(candidates, state.running.size() - std::min(kept, state.running.size()));
    }
  }
  return count;
}

bool clearly_below_share(const class_state& state, const flow& own) {
  return own.running + 1 <= k_clearly_below * entitled(state, own);
}

bool may_preempt(time_point now, const preempt_running& policy, const config::priority_class& declared,
                 const job_state& waiting) {
  const milliseconds target =
      declared.first_token_target.count() > 0 ? declared.first_token_target : declared.total_target;
  const auto patience = std::chrono::duration<double, std::milli>(target) * policy.patience;
  return target.count() > 0 && now - waiting.queued_at >= patience;
}

std::optional<job_id> choose_victim_below(time_point now, const preempt_running& policy,
                                          const class_table& classes, const job_table& jobs,
                                          class_index row) {
  constexpr double k_any = -1e9;
  const std::span<const class_index> order = classes.order();
  for (auto place = order.rbegin(); place != order.rend(); ++place) {
    const class_index other = *place;
    const class_state& state = classes.at(other);
    if (state.declared.rank <= classes.at(row).declared.rank) {
      return std::nullopt;
    }
    if (classes.protected_by_floor(other)) {
      continue;
    }
    if (const auto victim = choose_in(now, policy, state, jobs, k_any)) {
      return victim;
    }
  }
  return std::nullopt;
}

std::optional<job_id> choose_victim_in_class(time_point now, const preempt_running& policy,
                                             const class_state& state, const job_table& jobs) {
  return policy.between_workspaces ? choose_in(now, policy, state, jobs, 1) : std::nullopt;
}

}  // namespace cuminpath::scheduling
