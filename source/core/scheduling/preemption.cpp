#include "core/scheduling/preemption.h"

#include <algorithm>
#include <utility>

namespace cuminpath::scheduling {
namespace {

// Fraction of its share below which a workspace may preempt. With 0.5, the first-token p99 of a small
// workspace beside large ones is 3.3 times its value alone. With 1.0, equal workspaces preempt each other
// twice as often.
constexpr double k_preemption_threshold = 0.75;

// Returns how many of the running jobs of the class the share of a workspace amounts to.
double entitled_runs(const class_state& state, const flow& value) {
  const bool active = value.queued > 0 || value.running > 0;
  const double total_share = state.queue.active_share() + (active ? 0 : value.share);
  return value.share / std::max(total_share, value.share) * static_cast<double>(state.running.size());
}

// Returns the preemptible run whose workspace exceeds its share most, by at least `min_excess` runs.
std::optional<job_id> choose_most_above_share(time_point now, const preempt_running& policy,
                                              const class_state& state, const job_table& jobs,
                                              double min_excess) {
  std::optional<job_id> best;
  std::pair<double, time_point> best_key;
  for (const job_id id : state.running) {
    const job_state& candidate = jobs.at(id);
    const flow& owner = *state.queue.find(candidate.workspace_row);
    const double excess = owner.running - entitled_runs(state, owner);
    const std::pair key(excess, candidate.started_at);
    if (candidate.preemptible && now - candidate.started_at >= policy.min_run && excess >= min_excess &&
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
    if (state.declared.priority > classes.at(row).declared.priority) {
      const auto candidates = static_cast<std::size_t>(
          std::count_if(state.running.begin(), state.running.end(), [&](const job_id id) {
            return jobs.at(id).preemptible && now - jobs.at(id).started_at >= policy.min_run;
          }));
      const std::size_t kept = classes.runs_protected_by_floor(other);
      count += std::min(candidates, state.running.size() - std::min(kept, state.running.size()));
    }
  }
  return count;
}

bool clearly_below_share(const class_state& state, const flow& workspace_flow) {
  return workspace_flow.running + 1 <= k_preemption_threshold * entitled_runs(state, workspace_flow);
}

bool may_preempt(time_point now, const preempt_running& policy, const config::priority_class& declared,
                 const job_state& waiting) {
  const milliseconds target =
      declared.first_token_target.count() > 0 ? declared.first_token_target : declared.total_target;
  const auto min_wait = std::chrono::duration<double, std::milli>(target) * policy.min_wait_fraction;
  return target.count() > 0 && now - waiting.queued_at >= min_wait;
}

std::optional<job_id> choose_victim_below(time_point now, const preempt_running& policy,
                                          const class_table& classes, const job_table& jobs,
                                          class_index row) {
  constexpr double k_no_min_excess = -1e9;
  const std::span<const class_index> order = classes.order();
  for (auto position = order.rbegin(); position != order.rend(); ++position) {
    const class_index other = *position;
    const class_state& state = classes.at(other);
    if (state.declared.priority <= classes.at(row).declared.priority) {
      return std::nullopt;
    }
    if (classes.protected_by_floor(other)) {
      continue;
    }
    if (const auto victim = choose_most_above_share(now, policy, state, jobs, k_no_min_excess)) {
      return victim;
    }
  }
  return std::nullopt;
}

std::optional<job_id> choose_victim_in_class(time_point now, const preempt_running& policy,
                                             const class_state& state, const job_table& jobs) {
  return policy.between_workspaces ? choose_most_above_share(now, policy, state, jobs, 1) : std::nullopt;
}

}  // namespace cuminpath::scheduling
