// State shared by all requests of a gateway. Used on one thread only.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/common/random.h"
#include "core/gateway/admission.h"
#include "core/gateway/admission_queue.h"
#include "core/gateway/cold_rate_limiter.h"
#include "core/gateway/concurrency_limiter.h"
#include "core/gateway/configuration.h"
#include "core/gateway/header_names.h"
#include "core/gateway/recent_maximum.h"
#include "core/gateway/second_attempt_policy.h"
#include "core/gateway/silent_upstreams.h"
#include "core/gateway/stop_schedule.h"
#include "core/gateway/upstream_table.h"
#include "core/gateway/workspace_shares.h"
#include "core/proxy/caller_memory_budget.h"
#include "core/proxy/process_limits.h"
#include "core/proxy/response_buffers.h"
#include "core/proxy/upstream_check.h"
#include "core/proxy/upstream_connection_pool.h"
#include "core/routing/prompt_quarantine.h"
#include "core/routing/retry_budget.h"
#include "core/telemetry/metrics.h"

namespace cuminpath::proxy {

class exchange;

// Configuration, upstreams, connections and statistics that exchanges use.
struct proxy_state {
  explicit proxy_state(asio::io_context& io) : context(io) {}

  asio::io_context& context;
  gateway::header_names header_names;
  std::string availability_zone;
  std::shared_ptr<const gateway::configuration> configuration;  // Null until the first version has been read.
  std::optional<time_point> configured_at;                      // When the version came into force here.
  std::optional<time_point> reloaded_at;                        // When the settings were last reloaded.
  gateway::upstream_table upstreams;
  gateway::cold_rate_limiter cold_limiter{""};  // Replaced once the name of the gateway is known.
  gateway::silent_upstreams silent_upstreams;
  upstream_connection_pool upstream_connections;
  std::unique_ptr<upstream_check> upstream_checks;  // Null if the platform has no status to ask for.
  routing::prompt_quarantine prompt_quarantine;
  telemetry::metrics metrics;
  random_source random;
  // The retries of a service are limited over all gateways together; each gateway gets an equal share.
  routing::retry_budget_options retry_options;
  std::unordered_map<std::string, routing::retry_budget> retry_budgets;  // By service.
  std::unordered_map<std::string, milliseconds> mean_service_times;      // By service.
  gateway::second_attempt_shares second_attempt_shares;
  std::unordered_map<std::string, gateway::second_attempt_policy> second_attempts;  // By service.
  bool workspace_shares_enabled = false;
  std::unordered_map<std::string, gateway::workspace_shares> workspace_shares;  // By service.

  std::optional<gateway::stop_schedule> stop;  // Absent until the planned stop of the process begins.
  bool other_gateway_ready = false;  // Callers that are refused can turn to another gateway at once.
  std::unordered_map<std::string, gateway::recent_maximum> service_times;  // By route.

  process_limits limits;
  caller_memory_budget caller_memory{limits.caller_memory};
  std::size_t served_requests = 0;  // Including those that have not been sent to an upstream.

  response_buffers buffered_responses{k_max_buffered_response_bytes};

  std::unordered_map<std::string, gateway::service_availability> service_states;       // By service.
  std::unordered_map<std::string, gateway::concurrency_limiter> concurrency_limiters;  // By service.
  std::unordered_map<std::string, gateway::retry_detector> caller_retries;             // By route.

  gateway::admission_queue admission_queue;
  std::unordered_map<gateway::admission_queue::ticket, std::weak_ptr<exchange>> queued_requests;
  asio::steady_timer queue_timer{context};  // Runs while requests wait in the queue.

  // Streams whose upstream was lost and whose rest waits for a free place at another one, by service.
  std::unordered_map<std::string, std::uint32_t> waiting_streams;

  [[nodiscard]] std::uint32_t waiting(const std::string& service) const {
    const auto found = waiting_streams.find(service);
    return found == waiting_streams.end() ? 0 : found->second;
  }
  gateway::service_availability& service_state(const std::string& service) { return service_states[service]; }
  routing::retry_budget& budget(const std::string& service) {
    return retry_budgets.try_emplace(service, retry_options).first->second;
  }
  // Drops the recorded use if shares are switched off: what follows is not counted.
  void enable_workspace_shares(bool enabled) {
    workspace_shares_enabled = enabled;
    if (!enabled) {
      workspace_shares.clear();
    }
  }
  // Drops what was learned if second attempts are switched off: what follows is not counted.
  void set_second_attempt_shares(const gateway::second_attempt_shares& shares) {
    second_attempt_shares = shares;
    if (shares.requests <= 0) {
      second_attempts.clear();
    }
  }
};

}  // namespace cuminpath::proxy
