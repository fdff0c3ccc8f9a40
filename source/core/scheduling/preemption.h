// Choice of the running job that gives its slot to a more urgent one.
#pragma once

#include <optional>

#include "core/scheduling/class_table.h"
#include "core/scheduling/scheduler.h"

namespace cuminpath::scheduling {

// Whether the first job of the class has waited long enough to preempt.
bool may_preempt(time_point now, const preempt_running& policy, const config::priority_class& declared,
                 const job_state& waiting);

// The run of the least urgent class, of its workspace that is furthest above its share, that started last.
std::optional<job_id> choose_victim(time_point now, const preempt_running& policy, const class_table& classes,
                                    const job_table& jobs, const job_state& waiting);

}  // namespace cuminpath::scheduling
