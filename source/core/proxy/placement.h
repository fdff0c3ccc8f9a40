// The checks that decide whether and where a request is sent, without side effects. The exchange places
// requests with them, and placement_explanation explains requests with them.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/gateway/admission.h"
#include "core/gateway/configuration.h"
#include "core/http/message.h"
#include "core/proxy/proxy_state.h"

namespace cuminpath::proxy {

// Reasons of refusals, as callers see them.
constexpr std::string_view k_no_configuration = "no configuration yet";
constexpr std::string_view k_no_route = "no route";
constexpr std::string_view k_deadline_passed = "deadline has passed";
constexpr std::string_view k_unknown_key = "unknown key";
constexpr std::string_view k_no_service = "route has no service";
constexpr std::string_view k_stopping = "the gateway is being stopped";
constexpr std::string_view k_no_descriptor = "no descriptor for a connection to an upstream";
constexpr std::string_view k_quarantined = "a part of the prompt crashes upstreams";
constexpr std::string_view k_passes_too_long = "passes would get too long";
constexpr std::string_view k_no_free_place = "no upstream has a free place";

// Retry-After while there is no configuration: gateways read it within a second of their start.
constexpr milliseconds k_retry_after_without_service{1000};

// What placement depends on besides the state of the gateway.
struct placement_facts {
  const gateway::configuration& configuration;
  const gateway::route& route;
  std::string_view service;
  std::uint32_t priority = 0;  // 0 is the most urgent.
  milliseconds time_left{0};
  bool is_retry = false;                              // An earlier try of the caller has been refused.
  bool resumes = false;                               // The rest of a stream that has begun.
  bool resumed_by_caller = false;                     // The caller itself asks for the rest of a stream.
  bool first_attempt = true;                          // No upstream has been tried yet.
  std::span<const std::string> tried_upstreams = {};  // Ids.
};

// Returns the time that the request states to have left, not negative; absent if it states none. A malformed
// value counts as the time limit of the route.
std::optional<milliseconds> stated_time_left(const proxy_state& state, const http::request& request,
                                             const gateway::route& route);
// Returns the time until the deadline, or until the end of the planned stop if that is earlier; not negative.
milliseconds time_left(const proxy_state& state, time_point deadline, time_point now);
bool requires_key(const gateway::configuration& configuration, const gateway::route& route);
// `workspace` is null if the route requires no key.
std::uint32_t priority_of(const gateway::route& route, const gateway::workspace* workspace);
bool is_engine(const gateway::configuration& configuration, std::string_view service);
// Returns true unless the planned stop leaves no time for the request.
bool fits_planned_stop(const proxy_state& state, const gateway::route& route, time_point deadline,
                       time_point now);
// `requests` is the number in service, with the one that is to be placed.
bool lacks_descriptors(const proxy_state& state, std::size_t requests);
// Returns the hashes of the parts of the prompt that other requests may share.
std::vector<routing::prompt_part> hash_prompt_parts(const proxy_state& state, const http::request& request);
gateway::admission_request make_admission_request(const proxy_state& state, const placement_facts& facts,
                                                  time_point now);
// Returns false if the places that are free are owed to streams that wait for one.
bool leaves_places_to_waiting_streams(const proxy_state& state, const placement_facts& facts, time_point now);
// The result refers to `state` and `facts`.
gateway::choice_options make_choice_options(const proxy_state& state, const placement_facts& facts,
                                            time_point now);

// What the Retry-After of a refusal is computed from.
struct refusal_facts {
  gateway::upstream_table::service_totals totals;
  milliseconds mean_service{0};
  gateway::admission_request admission;
};
refusal_facts describe_refusal(const proxy_state& state, const placement_facts& facts, time_point now);

// Bounds of a random Retry-After, both included.
struct wait_range {
  milliseconds min{0};
  milliseconds max{0};
};
wait_range wait_after_stop(const proxy_state& state);

}  // namespace cuminpath::proxy
