// Choice of the running job that gives its slot to a more urgent one.
#pragma once

#include <optional>

#include "core/scheduling/class_table.h"
#include "core/scheduling/scheduler.h"

namespace cuminpath::scheduling {

// Whether the first job of the class has waited long enough to preempt a run of a lower class.
bool may_preempt(time_point now, const preempt_running& policy, const config::priority_class& declared,
                 const job_state& waiting);

// A run of the least urgent class below `row`, of the workspace that is furthest above its share, the last
// one that started. Runs that a class's floor protects are left alone.
std::optional<job_id> choose_victim_below(time_point now, const preempt_running& policy,
                                          const class_table& classes, const job_table& jobs, class_index row);

// Runs below `row` that could be preempted one after the other.
std::size_t count_victims_below(time_point now, const preempt_running& policy, const class_table& classes,
                                const job_table& jobs, class_index row);

// Whether a workspace with one run more still has clearly less than its share. Smaller differences are left
// to the queue: between equal workspaces they come and go, and each exchange costs a restart.
bool clearly_below_share(const class_state& state, const flow& own);

// A run of the same class whose workspace is above its share by at least a run. For a job of a workspace
// that is clearly below its share.
std::optional<job_id> choose_victim_in_class(time_point now, const preempt_running& policy,
                                             const class_state& state, const job_table& jobs);

}  // namespace cuminpath::scheduling
