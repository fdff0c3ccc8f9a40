// Explains where a gateway would place a request now, and why, without placing it and without any effect on
// the state: it takes no budget, allowance or trial, records no statistics and draws no random number.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/json.h"
#include "core/common/time.h"
#include "core/http/message.h"
#include "core/proxy/explain_headers.h"
#include "core/proxy/placement.h"

namespace cuminpath::proxy {

// A request that is explained as if it had arrived now. It is taken to have a request id.
struct explained_request {
  http::request request;
  // Name of the workspace of the caller; if absent, the API key of the request decides.
  std::optional<std::string> workspace;
};

// Why and how a request is refused.
struct refusal_explanation {
  int status = 503;
  std::string_view reason;
  wait_range retry_after = {};                // 0 if the response has no Retry-After.
  routing::prompt_part quarantined_part = 0;  // That the request is refused for; 0 if there is none.
};

struct upstream_explanation {
  const gateway::upstream_table::upstream* known = nullptr;
  double load = 0;          // By which eligible upstreams are compared.
  bool other_zone = false;  // Less preferred at equal load.
  bool trial = false;       // Gets the request before all others, if it is eligible.
  std::optional<gateway::exclusion> excluded;
};

// What happens if the service is chosen; a route with several services chooses at random.
struct service_explanation {
  std::string_view service;
  double probability = 1;
  gateway::upstream_table::service_totals totals;
  gateway::admission_request admission;
  double max_utilization = 0;                   // Of an eligible upstream, as a multiple of its slots.
  std::uint32_t waiting_streams = 0;            // That free places are kept for.
  std::vector<upstream_explanation> upstreams;  // All of the service.
  std::optional<refusal_explanation> refused;   // Absent if an upstream gets the request.
};

// Refers to the state that it was made from.
struct placement_explanation {
  std::optional<std::uint64_t> configuration_version;
  const gateway::route* route = nullptr;
  const gateway::workspace* workspace = nullptr;
  std::uint32_t priority = 0;
  milliseconds time_left{0};
  bool is_retry = false;
  std::optional<refusal_explanation> refused;  // Whichever service is chosen.
  std::vector<service_explanation> services;   // With a probability above 0.
};

placement_explanation explain_placement(const proxy_state& state, const explained_request& explained,
                                        time_point now);

std::string_view exclusion_name(gateway::exclusion reason);

// Lists at most 1,000 upstreams of a service, the eligible ones first, each group in the order of the ids.
// Contains neither a key nor a prompt.
json to_json(const placement_explanation& explanation);

// Responds to a request for k_explain_path: 200 with the explanation, or 400 if host or path are missing.
http::response explain_page(const proxy_state& state, std::string_view gateway_name,
                            const http::request& page_request, time_point now);

}  // namespace cuminpath::proxy
