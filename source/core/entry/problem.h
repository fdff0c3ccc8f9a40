// Error responses to callers: problem documents (RFC 9457) with the execution state of the request.
#pragma once

#include <string>
#include <string_view>

#include "core/common/time.h"
#include "core/http/message.h"
#include "core/wire/messages.h"

namespace cuminpath::entry {

struct problem {
  int status = 500;
  wire::execution execution = wire::execution::not_run;
  std::string detail;
  milliseconds retry_after{
      0};  // Rounded up to whole seconds. Responses with 429 and 503 always state at least 1 s.
};

std::string problem_json(const problem& value);
http::response problem_response(const problem& value, std::string_view request_id);

}  // namespace cuminpath::entry
