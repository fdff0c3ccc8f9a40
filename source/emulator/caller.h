// A caller of the load balancer: sends one request and judges how it ended.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/common/json.h"
#include "core/common/time.h"
#include "core/http/client.h"

namespace cuminpath::emulator {

struct call_order {
  enum class kind : std::uint8_t { completion, chat_completion, service };

  std::string url = {};  // Base URL of an entry.
  kind what = kind::completion;
  std::string key = {};
  std::string idempotency_key = {};
  std::string priority_class = {};
  std::string request_id = {};
  std::uint32_t deadline_ms = 0;  // X-Request-Timeout-Ms; 0: no header.
  milliseconds timeout{30000};    // After which the caller gives up.
  // Model requests.
  std::string model = {};
  std::string prompt = {};
  std::uint32_t max_tokens = 16;
  bool stream = true;
  // Service requests.
  std::string method = "POST";
  std::string path = {};
  std::string body = {};
};

struct call_outcome {
  enum class kind : std::uint8_t {
    complete,  // The whole response to this request.
    not_run,   // A refusal that says that it was not run.
    unknown,   // A refusal that says that it may have run.
    refused,   // A refusal without a statement on execution.
    failed,    // A stream that ended with an explicit error.
    broken,    // The connection failed or ended before the end of the response.
    wrong,     // A response that is not the one to this request, or not whole.
  };

  kind what = kind::broken;
  int status = 0;
  std::string detail;  // Why it is not complete.
  std::string text;    // Joined tokens, or the body of a service's response.
  json problem;        // The problem object of a refusal or of an error event.
  http::header_list headers;
  std::uint32_t tokens = 0;
  double first_ms = 0;  // To the first token, or to the head of the response.
  double total_ms = 0;
};

const char* to_string(call_outcome::kind value);

// Sends the request. `done` is called once, on the thread of the io_context.
http::call_id send_call(http::client& client, const call_order& order,
                        std::function<void(call_outcome)> done);

}  // namespace cuminpath::emulator
