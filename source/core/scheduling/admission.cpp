#include "core/scheduling/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminpath::scheduling {
namespace {

// Part of a target that the prediction may use up, because the prediction is a mean. With 1.0, a flood of
// live work of twice the slots has 0.208 within target instead of 0.310; 0.6 refuses more in smaller floods.
constexpr double k_margin = 0.75;
constexpr double k_min_retry_after_s = 0.1;

double seconds_of(duration value) {
  return std::chrono::duration<double>(value).count();
}

// Slots that a class can count on while others have work.
double slots_for(const class_table& classes, class_index row) {
  const class_state& own = classes.at(row);
  double share = 1;
  for (const class_index other : classes.order()) {
    if (other == row) {
      continue;
    }
    const class_state& value = classes.at(other);
    if (value.declared.rank < own.declared.rank) {
      share -= value.usage;
    } else {
      // A class with a floor takes it even if its queue is empty at this moment.
      const double used = value.queue.queued() > 0 ? value.declared.floor : value.usage;
      share -= std::min(used, value.declared.floor);
    }
  }
  const double least = std::max(own.declared.floor, 0.5 / classes.slots());
  return std::max(share, least) * classes.slots();
}

double higher_queued_s(const load_view& view, class_index row) {
  double seconds = 0;
  for (const class_index other : view.classes.order()) {
    if (view.classes.at(other).declared.rank < view.classes.at(row).declared.rank) {
      const fair_queue& queue = view.classes.at(other).queue;
      seconds += view.times.run_s(queue.queued(), static_cast<double>(queue.queued_tokens()));
    }
  }
  return seconds;
}

// Jobs in the queues of the class and the more urgent ones.
std::size_t queued_up_to(const class_table& classes, class_index row) {
  std::size_t sum = 0;
  for (const class_index other : classes.order()) {
    if (classes.at(other).declared.rank <= classes.at(row).declared.rank) {
      sum += classes.at(other).queue.queued();
    }
  }
  return sum;
}

struct shortfall {
  double excess_s = 0;  // How much shorter the wait would have to be.
  void require(double wait_s, double allowed_s) { excess_s = std::max(excess_s, wait_s - allowed_s); }
};

shortfall measure(time_point now, const load_view& view, const job& value, class_index row, double wait_s) {
  const config::priority_class& declared = view.classes.at(row).declared;
  const double first_token_s = view.times.first_token_s();
  const double run_s = view.times.run_s(1, value.expected_tokens);
  shortfall result;
  // Targets are not applied to a job that starts at once: to serve it late is better than never, and the
  // run corrects an estimate that has become too high.
  if (wait_s > 0 && declared.first_token_target.count() > 0) {
    result.require(wait_s, k_margin * seconds_of(declared.first_token_target) - first_token_s);
  }
  if (wait_s > 0 && declared.total_target.count() > 0) {
    result.require(wait_s, k_margin * seconds_of(declared.total_target) - run_s);
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
  double least = std::numeric_limits<double>::max();
  double rate = 0;  // Of ends of runs, if each were at a random point of its time.
  for (const class_index row : classes.order()) {
    for (const job_id id : classes.at(row).running) {
      const job_state& state = jobs.at(id);
      const double run_s = times.run_s(1, state.run_tokens);
      const double left = run_s - seconds_of(now - state.started_at);
      rate += run_s > 0 ? 1 / run_s : 0;
      least = std::min(least, std::max(left, 0.0));
    }
  }
  // Runs longer than announced would make `least` 0 most of the time.
  return rate > 0 ? std::max(least, 1 / rate) : least;
}

wait_estimate estimate_wait(const load_view& view, class_index row, const flow* own, double share) {
  const class_state& state = view.classes.at(row);
  if (queued_up_to(view.classes, row) < view.slots_by_preemption) {
    return {view.next_slot_s, view.next_slot_s};
  }
  const double own_s =
      own == nullptr ? 0 : view.times.run_s(own->queued, static_cast<double>(own->queued_tokens));
  const double all_s =
      view.times.run_s(state.queue.queued(), static_cast<double>(state.queue.queued_tokens()));
  const bool active = own != nullptr && (own->queued > 0 || own->running > 0);
  const double shares = state.queue.active_share() + (active ? 0 : share);
  // Fair queueing serves the workspace at its share of the class, and never later than the whole queue.
  const double ahead_s = std::min(all_s, own_s * shares / share);
  const double slots = slots_for(view.classes, row);
  const double higher_s = higher_queued_s(view, row) / view.classes.slots();
  const auto wait = [&](double work_s) {
    double queue_s = higher_s + work_s / slots;
    if (state.declared.floor > 0) {
      queue_s = std::min(queue_s, work_s / (state.declared.floor * view.classes.slots()));
    }
    return view.next_slot_s + queue_s;
  };
  return {wait(ahead_s), wait(0)};
}

admission judge(time_point now, const load_view& view, const job& value, class_index row, const flow* own,
                double share) {
  const wait_estimate estimate = estimate_wait(view, row, own, share);
  const shortfall missing = measure(now, view, value, row, estimate.wait_s);
  if (missing.excess_s <= 0) {
    return admitted{};
  }
  const bool own_backlog = measure(now, view, value, row, estimate.others_wait_s).excess_s <= 0;
  const double wait_s = std::max(missing.excess_s, k_min_retry_after_s);
  return refused{own_backlog ? wire::refusal_reason::over_share : wire::refusal_reason::infeasible,
                 milliseconds(static_cast<std::int64_t>(std::ceil(wait_s * 1000)))};
}

}  // namespace cuminpath::scheduling
