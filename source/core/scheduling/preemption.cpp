#include "core/scheduling/preemption.h"

#include <algorithm>
#include <ranges>

namespace cuminpath::scheduling {
namespace {

// Runs of a workspace above its share of the runs of its class.
double excess(const class_state& state, const flow& value) {
  const double share = value.share / std::max(state.queue.active_share(), value.share);
  return value.running - share * static_cast<double>(state.running.size());
}

// Whether the waiting job's workspace is below its share by a run that the victim's workspace has too much.
bool unfair(const class_state& state, const job_state& waiting, const job_state& running) {
  const flow& gains = *state.queue.find(waiting.workspace_row);
  const flow& loses = *state.queue.find(running.workspace_row);
  return excess(state, gains) <= -1 && excess(state, loses) >= 1;
}

}  // namespace

bool may_preempt(time_point now, const preempt_running& policy, const config::priority_class& declared,
                 const job_state& waiting) {
  const milliseconds target =
      declared.first_token_target.count() > 0 ? declared.first_token_target : declared.total_target;
  const auto patience = std::chrono::duration<double, std::milli>(target) * policy.patience;
  return target.count() > 0 && now - waiting.queued_at >= patience;
}

std::optional<job_id> choose_victim(time_point now, const preempt_running& policy, const class_table& classes,
                                    const job_table& jobs, const job_state& waiting) {
  const std::uint32_t rank = classes.at(waiting.class_row).declared.rank;
  for (const class_index row : std::views::reverse(classes.order())) {
    const class_state& state = classes.at(row);
    const bool same = row == waiting.class_row;
    if (state.declared.rank < rank || (same && !policy.between_workspaces)) {
      return std::nullopt;
    }
    if (!same && (state.declared.rank == rank || classes.protected_by_floor(row))) {
      continue;
    }
    std::optional<job_id> best;
    for (const job_id id : state.running) {
      const job_state& candidate = jobs.at(id);
      if (!candidate.preemptible || now - candidate.started_at < policy.min_run ||
          (same && !unfair(state, waiting, candidate))) {
        continue;
      }
      const auto key = [&](const job_state& value) {
        return std::pair(excess(state, *state.queue.find(value.workspace_row)), value.started_at);
      };
      if (!best || key(candidate) > key(jobs.at(*best))) {
        best = id;
      }
    }
    if (best) {
      return best;
    }
  }
  return std::nullopt;
}

}  // namespace cuminpath::scheduling
