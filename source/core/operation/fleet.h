// Questions and orders to the processes of the host list, through their admin addresses.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/common/json.h"
#include "core/operation/session.h"
#include "core/telemetry/timeline.h"

namespace cuminpath::operation {

struct host_answer {
  storage::host_entry host;
  result<json> body = json();
};

// GET of `path` from every host, at most 64 at a time, in the order of the host list.
std::vector<host_answer> ask_all(session& on, const std::vector<storage::host_entry>& hosts,
                                 const std::string& path);

// Events of all answers in causal order. Answers and events that are malformed are left out.
std::vector<telemetry::event> merge_timelines(const std::vector<host_answer>& answers);

// One request to one process; orders carry the operator key. Errors: unreachable, timed_out, refused with the
// status and the detail of the problem, conflict for status 409.
result<json> ask(session& on, const storage::host_entry& host, const std::string& method,
                 const std::string& path, const std::string& operator_key);

}  // namespace cuminpath::operation
