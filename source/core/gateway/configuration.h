// The routing configuration under which requests of callers are served: one immutable version at a time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/common/time.h"

namespace cuminpath::gateway {

enum class call_kind : std::uint8_t {
  repeatable,    // May run more than once.
  at_most_once,  // May run once for each attempt of the caller.
  stream,        // Server-sent events; repeatable only if the route allows resuming.
};

struct service_share {
  std::string service;
  double weight = 1;
};

struct route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  call_kind kind = call_kind::at_most_once;
  bool resumable = false;             // Streams only: may continue at another upstream after the last event.
  bool is_public = false;             // Requires no API key.
  milliseconds timeout{30000};        // Maximum time until the end of the response.
  milliseconds target_latency{1000};  // To the end of the response, or to the first event of a stream.
  milliseconds max_event_gap{0};      // Maximum pause between events of an on-time stream; 0 if not set.
  std::uint32_t priority = 0;         // 0 is the most urgent.
  std::uint32_t max_attempts = 1;     // Maximum number of upstreams for one attempt of the caller.
  std::vector<service_share> shares;  // At least one.

  // Returns true if a second upstream may receive the request after the first may have run it.
  [[nodiscard]] bool repeatable() const {
    return kind == call_kind::repeatable || (kind == call_kind::stream && resumable);
  }
};

// Published cost model of an engine's forward passes; times in milliseconds.
struct engine_cost {
  double step_ms = 0;
  double per_sequence_ms = 0;
  double prefill_tokens_per_ms = 0;
  std::uint32_t steps_per_pass = 1;
};

// Constraints on the placement of the experts of an expert-parallel engine on the ranks of a group.
struct expert_layout {
  std::uint32_t layers = 0;             // Number of sets of layers that share an expert map.
  std::uint32_t experts = 0;            // For each set of layers.
  std::uint32_t slots_per_rank = 0;     // Maximum number of experts of one layer that a rank can hold.
  std::uint32_t max_new_per_layer = 0;  // Maximum number of experts of one layer that a rank copies per map.
  double copy_ms = 0;                   // Time to copy one expert to a rank.
};

struct service {
  std::string name;
  std::uint32_t max_connections = 0;  // To one upstream, summed over all gateways; 0 if not limited.
  std::optional<engine_cost> engine;  // Absent for plain services.
  std::optional<expert_layout> experts;
  milliseconds cold_start{0};  // For how long an upstream is cold after a start during traffic.
  double cold_per_s = 0;       // Requests a second that a cold upstream can handle; 0 if not limited.
};

struct caller_limits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = 4U << 20U;
  milliseconds header_timeout{10000};
  milliseconds idle_timeout{60000};
};

struct workspace {
  std::string name;
  std::optional<std::uint32_t> priority;  // Overrides the priority of the route.
};

class configuration {
public:
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  caller_limits limits;
  std::vector<workspace> workspaces;
  std::unordered_map<std::string, std::uint32_t> workspace_of_key;  // Index into `workspaces`.
  bool keys_required = false;

  // Builds the lookup tables. Must be called once after the members are filled.
  void build_index();

  // Returns the route of that host with the longest matching prefix of `path`; null if none matches. A port
  // in `host` is ignored.
  [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
  [[nodiscard]] const workspace* find_workspace(std::string_view key) const;
  [[nodiscard]] const service* find_service(std::string_view name) const;
  // Returns the names of all services that are configured or to which a route leads.
  [[nodiscard]] std::unordered_set<std::string> service_names() const;
  // Returns the most urgent priority that a request to the service can have by its route or workspace; 0 if
  // no route leads there.
  [[nodiscard]] std::uint32_t most_urgent_priority(std::string_view service) const;

private:
  void index_priorities();

  std::unordered_map<std::string, std::uint32_t> m_route_of_prefix;  // Key: host and prefix.
  std::size_t m_longest_prefix = 0;
  std::unordered_map<std::string, std::uint32_t> m_service_of_name;
  std::unordered_map<std::string, std::uint32_t> m_most_urgent_priority;  // By service.
};

}  // namespace cuminpath::gateway
