// Chooses the running job that is preempted for a waiting one.
#pragma once

#include <optional>

#include "core/scheduling/class_table.h"
#include "core/scheduling/scheduler.h"

namespace cuminpath::scheduling {

// Whether a waiting job of the class has waited long enough to preempt a run of a lower class.
bool may_preempt(time_point now, const preempt_running& policy, const config::priority_class& declared,
                 const job_state& waiting);

// Returns a run of the least urgent class below `row`: that of the workspace furthest above its share, and of
// those the one that started last. Skips classes that are protected by their floor.
std::optional<job_id> choose_victim_below(time_point now, const preempt_running& policy,
                                          const class_table& classes, const job_table& jobs, class_index row);

// Returns how many runs of the classes below `row` could be preempted one after the other.
std::size_t count_victims_below(time_point now, const preempt_running& policy, const class_table& classes,
                                const job_table& jobs, class_index row);

// Whether a workspace with one more run would still be clearly below its share. Smaller differences are left
// to the queue: between equal workspaces they appear and disappear, and each preemption costs a restart.
bool clearly_below_share(const class_state& state, const flow& workspace_flow);

// Returns a run of the class whose workspace is above its share by at least one run. It is preempted for a
// job of a workspace that is clearly below its share.
std::optional<job_id> choose_victim_in_class(time_point now, const preempt_running& policy,
                                             const class_state& state, const job_table& jobs);

}  // namespace cuminpath::scheduling
