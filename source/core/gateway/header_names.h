// Names of the headers by which callers, gateways and upstreams agree on a request. They depend on the
// platform.
#pragma once

#include <string>

namespace cuminpath::gateway {

struct header_names {
  std::string request_id;       // Identifies one attempt of a caller; upstreams echo it.
  std::string time_left_ms;     // How long the sender will wait for the answer, in milliseconds.
  std::string api_key;          // Key of the caller's workspace; never passed on.
  std::string workspace;        // Name of the caller's workspace, for upstreams.
  std::string target_instance;  // The upstream that may run the request; others refuse it.
  std::string urgency;          // 0 to 9 for the upstream's queue, 0 first.
  std::string resume_after;     // Id of the last event that the caller has.
  std::string not_executed;     // In an answer: the upstream has not run the request.
  std::string stamp;            // In an answer: the upstream's own mark.
  std::string leaving;          // In an answer: "1" if the upstream that gave it is leaving.
};

}  // namespace cuminpath::gateway
