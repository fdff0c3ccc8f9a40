// Which headers of a message go on to the next recipient.
#pragma once

#include "core/http/message.h"

namespace cuminpath::proxy {

// All headers but those that concern one connection only (RFC 9110, 7.6.1) and those that the sender of a
// body sets.
http::header_list end_to_end_headers(const http::header_list& headers);

}  // namespace cuminpath::proxy
