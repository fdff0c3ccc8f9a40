// Sends requests to the admin addresses of the processes in the host list.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/common/json.h"
#include "core/operation/platform_session.h"
#include "core/telemetry/timeline.h"

namespace cuminpath::operation {

// A host and the response of its process, or the error.
struct host_response {
  storage::host_entry host;
  result<json> body = json();
};

// Sends a GET for `path` to every host, at most 64 at a time. Returns the responses in the order of `hosts`.
std::vector<host_response> query_all(platform_session& session, const std::vector<storage::host_entry>& hosts,
                                     const std::string& path);

// Returns the JSON body of a response. Errors: those of the call, refused with the status and the detail of
// the problem, conflict for status 409.
result<json> to_result(const http::client::call_result& response);

// Returns the events of all responses in causal order. Malformed responses and events are skipped.
std::vector<telemetry::event> merge_timelines(const std::vector<host_response>& responses);

// Sends a request to one process; every request but a GET carries the operator key. Errors: unreachable,
// timed_out, refused with the status and the detail of the problem, conflict for status 409.
result<json> send_request(platform_session& session, const storage::host_entry& host,
                          const std::string& method, const std::string& path,
                          const std::string& operator_key);

}  // namespace cuminpath::operation
