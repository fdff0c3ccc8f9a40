// Selects the headers of a message that a proxy forwards.
#pragma once

#include "core/http/message.h"

namespace cuminpath::proxy {

// Returns the headers without the hop-by-hop ones (RFC 9110, 7.6.1) and without those that the sender of a
// message sets itself, such as Content-Length.
http::header_list end_to_end_headers(const http::header_list& headers);

}  // namespace cuminpath::proxy
