#include "core/scheduling/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminpath::scheduling {
namespace {

// Fraction of a latency target that a predicted time may use. It is below 1 because the prediction is a mean:
// with 1.0, live work that asks for twice the slots has 0.208 of its requests within the latency target
// instead of 0.310. 0.6 refuses more requests under smaller overloads.
constexpr double k_max_target_fraction = 0.75;
constexpr double k_min_retry_after_s = 0.1;

double seconds_of(duration value) {
  return std::chrono::duration<double>(value).count();
}

// Returns the number of slots that a class can count on while other classes have work.
double expected_slots(const class_table& classes, class_index row) {
  const class_state& requested = classes.at(row);
  double share = 1;
  for (const class_index other : classes.order()) {
    if (other == row) {
      continue;
    }
    const class_state& value = classes.at(other);
    if (value.declared.priority < requested.declared.priority) {
      share -= value.usage;
    } else {
      // A class without queued jobs is still expected to use its recent share of the slots, up to its floor.
      const double used = value.queue.queued() > 0 ? value.declared.floor : value.usage;
      share -= std::min(used, value.declared.floor);
    }
  }
  const double min_share = std::max(requested.declared.floor, 0.5 / classes.slots());
  return std::max(share, min_share) * classes.slots();
}

// Returns the slot time of the queued jobs of all more urgent classes.
double more_urgent_queued_s(const load_view& view, class_index row) {
  double seconds = 0;
  for (const class_index other : view.classes.order()) {
    if (view.classes.at(other).declared.priority < view.classes.at(row).declared.priority) {
      const fair_queue& queue = view.classes.at(other).queue;
      seconds += view.times.run_s(queue.queued(), static_cast<double>(queue.queued_tokens()));
    }
  }
  return seconds;
}

// Returns the number of queued jobs of the class and of all classes that are at least as urgent.
std::size_t queued_at_least_as_urgent(const class_table& classes, class_index row) {
  std::size_t sum = 0;
  for (const class_index other : classes.order()) {
    if (classes.at(other).declared.priority <= classes.at(row).declared.priority) {
      sum += classes.at(other).queue.queued();
    }
  }
  return sum;
}

// The largest amount by which a wait exceeds one of its limits.
struct shortfall {
  double excess_s = 0;  // By how much the wait would have to be shorter.
  void require(double wait_s, double allowed_s) { excess_s = std::max(excess_s, wait_s - allowed_s); }
};

// Compares a wait with the limits set by the targets of the class and by the deadline of the job.
shortfall compute_shortfall(time_point now, const load_view& view, const job& value, class_index row,
                            double wait_s) {
  const config::priority_class& declared = view.classes.at(row).declared;
  const double first_token_s = view.times.first_token_s();
  const double run_s = view.times.run_s(1, value.expected_tokens);
  shortfall result;
  // Targets are not applied to a job that starts at once: a late response is better than none, and the run
  // corrects an estimate that has become too high.
  if (wait_s > 0 && declared.first_token_target.count() > 0) {
    result.require(wait_s, k_max_target_fraction * seconds_of(declared.first_token_target) - first_token_s);
  }
  if (wait_s > 0 && declared.total_target.count() > 0) {
    result.require(wait_s, k_max_target_fraction * seconds_of(declared.total_target) - run_s);
  }
  if (view.classes.running() > 0) {
    result.require(wait_s, seconds_of(value.deadline - now) - run_s);
  }
  return result;
}

}  // namespace

double next_slot_s(time_point now, const class_table& classes, const job_table& jobs,
                   const run_time_estimator& times) {
  if (classes.running() < classes.slots()) {
    return 0;
  }
  double min_remaining_s = std::numeric_limits<double>::max();
  double end_rate_per_s = 0;  // Runs that end per second, if each run is at a random point of its duration.
  for (const class_index row : classes.order()) {
    for (const job_id id : classes.at(row).running) {
      const job_state& state = jobs.at(id);
      const double run_s = times.run_s(1, state.run_tokens);
      const double remaining_s = run_s - seconds_of(now - state.started_at);
      end_rate_per_s += run_s > 0 ? 1 / run_s : 0;
      min_remaining_s = std::min(min_remaining_s, std::max(remaining_s, 0.0));
    }
  }
  // Runs that take longer than announced would make the minimum 0 most of the time.
  return end_rate_per_s > 0 ? std::max(min_remaining_s, 1 / end_rate_per_s) : min_remaining_s;
}

wait_estimate estimate_wait(const load_view& view, class_index row, const flow* workspace_flow,
                            double share) {
  const class_state& state = view.classes.at(row);
  if (queued_at_least_as_urgent(view.classes, row) < view.slots_by_preemption) {
    return {view.next_slot_s, view.next_slot_s};
  }
  const double workspace_s =
      workspace_flow == nullptr
          ? 0
          : view.times.run_s(workspace_flow->queued, static_cast<double>(workspace_flow->queued_tokens));
  const double all_s =
      view.times.run_s(state.queue.queued(), static_cast<double>(state.queue.queued_tokens()));
  const bool active =
      workspace_flow != nullptr && (workspace_flow->queued > 0 || workspace_flow->running > 0);
  const double total_share = state.queue.active_share() + (active ? 0 : share);
  // Fair queueing serves the workspace at its share of the class, and no later than the end of the whole
  // queue.
  const double ahead_s = std::min(all_s, workspace_s * total_share / share);
  const double slots = expected_slots(view.classes, row);
  const double more_urgent_s = more_urgent_queued_s(view, row) / view.classes.slots();
  const auto wait = [&](double work_s) {
    double queue_s = more_urgent_s + work_s / slots;
    if (state.declared.floor > 0) {
      queue_s = std::min(queue_s, work_s / (state.declared.floor * view.classes.slots()));
    }
    return view.next_slot_s + queue_s;
  };
  return {wait(ahead_s), wait(0)};
}

admission check_feasibility(time_point now, const load_view& view, const job& value, class_index row,
                            const flow* workspace_flow, double share) {
  const wait_estimate estimate = estimate_wait(view, row, workspace_flow, share);
  const shortfall with_backlog = compute_shortfall(now, view, value, row, estimate.wait_s);
  if (with_backlog.excess_s <= 0) {
    return admitted{};
  }
  const bool backlog_is_cause =
      compute_shortfall(now, view, value, row, estimate.wait_without_workspace_s).excess_s <= 0;
  const double wait_s = std::max(with_backlog.excess_s, k_min_retry_after_s);
  return refused{backlog_is_cause ? wire::refusal_reason::over_share : wire::refusal_reason::infeasible,
                 milliseconds(static_cast<std::int64_t>(std::ceil(wait_s * 1000)))};
}

}  // namespace cuminpath::scheduling
