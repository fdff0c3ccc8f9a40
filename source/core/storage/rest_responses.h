// Encoding of paths and conversion of responses, shared by the clients of the platform's services.
#pragma once

#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/common/json.h"
#include "core/http/client.h"

namespace cuminpath::storage {

// Percent-encodes all characters except the unreserved ones of RFC 3986, so that a key forms one path
// segment. The dot is encoded too.
std::string encode_segment(std::string_view text);

// Returns the parsed body of a 200 response. Errors: that of a failed call; not_found for status 404;
// unreachable for 5xx, because the operation may have taken effect; internal for any other status or a
// malformed body.
result<json> to_json(const http::client::call_result& response);
// Returns the error of a failed call or a response other than 200, by the same rules.
error to_error(const http::client::call_result& response);

}  // namespace cuminpath::storage
