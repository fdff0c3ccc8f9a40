// Parses a caller's request and validates it against the configuration.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/common/time.h"
#include "core/entry/manifest_index.h"
#include "core/entry/problem.h"
#include "core/http/message.h"
#include "core/routing/prompt_quarantine.h"
#include "core/wire/messages.h"

namespace cuminpath::entry {

struct request_limits {
  milliseconds default_timeout{120000};
  // Less than the HTTP server's timeout of 900 s between parts of a response, which would otherwise end the
  // request first.
  milliseconds max_timeout{870000};
};

// A valid request that may be sent to an upstream.
struct accepted_request {
  std::string request_id;  // The caller's X-Request-Id, or empty if it sent no valid one.
  wire::request_kind kind = wire::request_kind::completion;
  std::string workspace;
  std::string priority_class;
  bool is_top_priority = false;  // Whether the priority class is the most urgent one.
  std::string model_or_service;
  std::string method;  // Services only, as is `path`, which includes the query.
  std::string path;
  wire::header_list headers;
  std::string body;
  milliseconds timeout{0};
  std::uint32_t expected_tokens = 0;
  std::uint64_t prefix_hash = 0;  // 0 if the prompt is too short for prefix affinity.
  // Parts of the prompt that other requests may share: the messages of a chat without the last one, and the
  // beginning of another prompt.
  std::vector<routing::prompt_part> prompt_parts;
  bool streaming = false;
  bool repeatable = true;
  std::string idempotency_key;
  std::string fingerprint;  // Only for calls that may not be repeated.
};

// Returns the X-Request-Id header if it is short printable text, otherwise an empty string.
std::string caller_request_id(const http::request& request);

std::variant<accepted_request, problem> read_caller_request(http::request request,
                                                            const manifest_index& index,
                                                            const request_limits& limits);

}  // namespace cuminpath::entry
