// Reading and checking of a caller's request against the configuration.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "core/common/time.h"
#include "core/entry/directory.h"
#include "core/entry/problem.h"
#include "core/http/message.h"
#include "core/wire/messages.h"

namespace cuminpath::entry {

struct request_limits {
  milliseconds default_timeout{120000};
  // Under the HTTP server's limit of 900 s between parts of a response, which would otherwise end it first.
  milliseconds max_timeout{870000};
};

// A request that may be sent to an upstream.
struct accepted_request {
  std::string caller_id;  // X-Request-Id, taken from the caller or empty.
  wire::request_kind kind = wire::request_kind::completion;
  std::string workspace;
  std::string priority_class;
  bool top_class = false;  // The class is the most urgent one.
  std::string model_or_service;
  std::string method;  // Services only, like `path`, which has the query.
  std::string path;
  wire::header_list headers;
  std::string body;
  milliseconds timeout{0};
  std::uint32_t expected_tokens = 0;
  std::uint64_t prefix_hash = 0;  // 0: too short for affinity.
  bool streaming = false;
  bool repeatable = true;
  std::string idempotency_key;
  std::string fingerprint;  // Calls that may not be repeated only.
};

// X-Request-Id if it is short printable text, otherwise empty.
std::string caller_request_id(const http::request& request);

std::variant<accepted_request, problem> read_caller_request(http::request request, const directory& directory,
                                                            const request_limits& limits);

}  // namespace cuminpath::entry
