// Builds the HTTP request of a run.
#pragma once

#include <string>
#include <string_view>

#include "core/agent/attempt_table.h"
#include "core/common/error.h"
#include "core/http/message.h"

namespace cuminpath::agent {

// Returns the request to an engine: always streamed, with the priority (0 is the most urgent) and, if tokens
// have already been generated, the point at which to resume. Errors: invalid_input if the body is not a JSON
// object.
result<http::request> engine_request(const attempt& value, std::uint32_t priority);

// Returns the request to a service: the caller's request without its connection-specific headers.
http::request service_request(const attempt& value);

// Returns the headers without those that apply to a single connection only, and without malformed ones.
wire::header_list end_to_end_headers(const http::header_list& headers);

}  // namespace cuminpath::agent
