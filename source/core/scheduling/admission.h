// Predicts when a job would start, and admits it if it can meet its latency target and its deadline.
#pragma once

#include "core/scheduling/class_table.h"
#include "core/scheduling/run_time_estimator.h"
#include "core/scheduling/scheduler.h"

namespace cuminpath::scheduling {

// Predicted wait of a job that would be queued now.
struct wait_estimate {
  double wait_s = 0;                    // Until the job would start.
  double wait_without_workspace_s = 0;  // The same without the jobs that its workspace has queued.
};

// The state that an estimate is computed from.
struct load_view {
  const class_table& classes;
  const job_table& jobs;
  const run_time_estimator& times;
  // Seconds until a slot becomes free for the class, without the time spent in the queue.
  double next_slot_s = 0;
  // Slots that the class can get by preemption. A queue shorter than this does not delay a new job.
  std::size_t slots_by_preemption = 0;
};

// Returns the seconds until the first running job is expected to end, or 0 if a slot is free.
double next_slot_s(time_point now, const class_table& classes, const job_table& jobs,
                   const run_time_estimator& times);

// Estimates the wait of a new job. `workspace_flow` is the flow of its workspace, or null if there is none
// yet; `share` is the weight of the workspace.
wait_estimate estimate_wait(const load_view& view, class_index row, const flow* workspace_flow, double share);

// Admits a job that is expected to meet its targets and its deadline, and refuses it otherwise.
admission check_feasibility(time_point now, const load_view& view, const job& value, class_index row,
                            const flow* workspace_flow, double share);

}  // namespace cuminpath::scheduling
