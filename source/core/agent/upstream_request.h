// The HTTP request of one run.
#pragma once

#include <string>
#include <string_view>

#include "core/agent/attempt_table.h"
#include "core/common/error.h"
#include "core/http/message.h"

namespace cuminpath::agent {

// The engine's request: always streamed, with the priority (0 is the most urgent) and, if tokens exist
// already, the point at which to resume. Errors: invalid_input if the body is not a JSON object.
result<http::request> engine_request(const attempt& value, std::uint32_t priority);

// The service's request, as the caller sent it but for the headers of a single connection.
http::request service_request(const attempt& value);

// Headers of an upstream's response without those of a single connection.
wire::header_list end_to_end_headers(const http::header_list& headers);

}  // namespace cuminpath::agent
