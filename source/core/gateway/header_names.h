// Names of the HTTP headers that callers, gateways and upstreams use to identify and control a request. They
// depend on the platform.
#pragma once

#include <string>

namespace cuminpath::gateway {

struct header_names {
  std::string request_id;       // Identifies one attempt of a caller; upstreams echo it.
  std::string time_left_ms;     // How long the sender waits for the response, in milliseconds.
  std::string api_key;          // API key of the caller's workspace; never forwarded.
  std::string workspace;        // Name of the caller's workspace, for upstreams.
  std::string target_instance;  // The upstream that may run the request; others refuse it.
  std::string urgency;          // 0 to 9 for the queue of the upstream; 0 is the most urgent.
  std::string resume_after;     // Id of the last event that the caller has received.
  std::string not_executed;     // In a response: the upstream has not run the request.
  std::string stamp;            // In a response: stamp set by the upstream.
  std::string leaving;          // In a response: "1" if the responding upstream is leaving.
  std::string cold_for_ms;      // In a response: for how long the upstream stays cold, in milliseconds.
  std::string model;            // Name of the model that the request is for.
  std::string prompt_parts;     // Parts of the prompt in order: ID:TOKENS, separated by commas.
  std::string token_counts;     // Of the prompt and at most of the output: PROMPT,MAX_OUTPUT.
};

}  // namespace cuminpath::gateway
