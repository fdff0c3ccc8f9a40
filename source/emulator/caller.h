// A caller of the load balancer, which sends a request and classifies its outcome.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/common/json.h"
#include "core/common/time.h"
#include "core/http/client.h"

namespace cuminpath::emulator {

// A model or service request to send, and how to send it.
struct request_description {
  enum class kind : std::uint8_t { completion, chat_completion, service };

  std::string url = {};  // Base URL of an entry.
  kind what = kind::completion;
  std::string key = {};
  std::string idempotency_key = {};
  std::string priority_class = {};
  std::string request_id = {};
  std::uint32_t deadline_ms = 0;  // Value of X-Request-Timeout-Ms; 0 sends no header.
  milliseconds timeout{30000};    // The caller gives up after this time.
  // For model requests only.
  std::string model = {};
  std::string prompt = {};
  std::uint32_t max_tokens = 16;
  bool stream = true;
  // For service requests only.
  std::string method = "POST";
  std::string path = {};
  std::string body = {};
};

// How a request ended, with what was received of the response.
struct call_outcome {
  enum class kind : std::uint8_t {
    complete,  // The complete response to this request was received.
    not_run,   // Refused; the response states that the request was not run.
    unknown,   // Refused; the response states that the request may have been run.
    refused,   // Refused; the response does not state whether the request was run.
    failed,    // The stream ended with an error event.
    broken,    // The connection failed or ended before the end of the response.
    wrong,     // The response is incomplete, malformed or belongs to another request.
  };

  kind what = kind::broken;
  int status = 0;
  std::string detail;  // Why the outcome is not `complete`.
  std::string text;    // Concatenated tokens, or the body of a service response.
  json problem;        // The problem object of a refusal or of an error event.
  http::header_list headers;
  std::uint32_t tokens = 0;
  double first_ms = 0;  // Time to the first token, or to the response head if there is none.
  double total_ms = 0;
};

const char* to_string(call_outcome::kind value);

// Sends the request. Calls `done` once, on the thread that runs the io_context.
http::call_id send_call(http::client& client, const request_description& description,
                        std::function<void(call_outcome)> done);

}  // namespace cuminpath::emulator
