// Helpers that the platform's clients share.
#pragma once

#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/common/json.h"
#include "core/http/client.h"

namespace cuminpath::storage {

// Percent-encodes everything but unreserved characters (RFC 3986), so that a key is one path segment.
std::string encode_segment(std::string_view text);

// The parsed body of a 200 response. A failed call keeps its error code; 404 is not_found; 5xx is unreachable
// because the operation may have taken effect; any other status or a malformed body is internal.
result<json> to_json(const http::client::call_result& answer);
// The error of a response that is not 200, by the same rules.
error to_error(const http::client::call_result& answer);

}  // namespace cuminpath::storage
