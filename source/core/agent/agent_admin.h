// The agent's HTTP interface for operators (section 10 of the design).
#pragma once

#include <functional>
#include <string>

#include "core/agent/agent_core.h"
#include "core/http/message.h"
#include "core/telemetry/metrics.h"
#include "core/telemetry/timeline.h"
#include "core/transport/mailbox.h"

namespace cuminpath::agent {

// The state of the agent process that the operators' interface reads, and the operations that it starts.
struct admin_view {
  const std::string& name;
  const std::string& operator_key_sha256;
  const agent_core& core;
  const telemetry::metrics& metrics;
  const telemetry::timeline& timeline;
  transport::mailbox_counters links;
  std::function<void()> drain;
  // Handles GET and POST of /expert-map and the paths below it. Called for a POST only if the operator key is
  // correct.
  std::function<http::response(const http::request&)> expert_map;
};

// Returns the response to an operator's request. POST requires the operator key.
http::response respond_to_operator(time_point now, const http::request& request, const admin_view& view);

}  // namespace cuminpath::agent
