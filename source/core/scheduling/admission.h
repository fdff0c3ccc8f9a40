// Predicts when a job would start and whether it can meet its target and its deadline.
#pragma once

#include "core/scheduling/class_table.h"
#include "core/scheduling/run_time_estimator.h"
#include "core/scheduling/scheduler.h"

namespace cuminpath::scheduling {

struct wait_estimate {
  double wait_s = 0;         // Until the job would start.
  double others_wait_s = 0;  // The same without the queued jobs of its own workspace.
};

// What the estimate needs to know about the present state.
struct load_view {
  const class_table& classes;
  const job_table& jobs;
  const run_time_estimator& times;
  // Seconds until a slot becomes free for the class, apart from the queue.
  double next_slot_s = 0;
  // Jobs that can get a slot by preemption; so many in the queue do not delay another one.
  std::size_t slots_by_preemption = 0;
};

// Seconds until the first of the running jobs is expected to end; 0 with a free slot.
double next_slot_s(time_point now, const class_table& classes, const job_table& jobs,
                   const run_time_estimator& times);

wait_estimate estimate_wait(const load_view& view, class_index row, const flow* own, double share);

// `share` is the weight of the job's workspace.
admission judge(time_point now, const load_view& view, const job& value, class_index row, const flow* own,
                double share);

}  // namespace cuminpath::scheduling
