// Settings of a gateway process, read from a TOML file.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/config/log_settings.h"
#include "core/config/manifest_parser.h"

namespace cuminpath::config {

// A member is read from the key of the same name unless its comment names another key. A nested struct is
// read from the table of that name.
struct gateway_settings {
  std::string name;  // Unique name of the host.
  std::string availability_zone;
  std::string region;
  std::string address;            // IP:PORT for callers.
  std::string ready_address;      // IP:PORT for readiness checks.
  std::string directory_address;  // IP:PORT of the directory, which tells callers which gateways to use.
  std::string mirror_address;     // IP:PORT where other gateways read this gateway's mirror of the store.
  std::string report_address;     // IP:PORT (UDP) for reports of other gateways.
  // Addresses at which other gateways reach the two addresses above, if they differ because traffic passes
  // through an intermediate link with its own address.
  std::string public_mirror_address;
  std::string public_report_address;
  std::string metrics_address;  // IP:PORT for /metrics; empty disables it.
  std::string store_url;        // http://IP:PORT of the platform's store.
  // Mirror addresses of gateways that are read if the store is unavailable at startup.
  std::vector<std::string> seeds;

  milliseconds directory_ttl{2000};   // Lifetime of a directory response. Key directory_ttl_ms.
  milliseconds report_interval{200};  // Time between reports to other gateways. Key report_interval_ms.
  milliseconds shutdown_grace{8000};  // Time from SIGTERM until the platform kills the process. Key grace_s.
  double retry_ratio = 0.2;           // Ratio of retries to requests of a service, over all gateways.
  std::uint32_t retry_burst = 100;    // Retries allowed beyond the ratio in one window, over all gateways.
  // Over any second, all gateways together send at most the rate of the service x cold_rate_factor +
  // cold_rate_slack requests to a cold upstream. A factor of 0 disables the limit.
  double cold_rate_factor = 0;
  std::uint32_t cold_rate_slack = 0;
  // Second attempts beside slow ones, as a share of the requests of a service, and of the tokens of an
  // engine.
  double second_attempt_share = 0;        // 0: none.
  double second_attempt_token_share = 0;  // 0: none at engines.
  bool workspace_shares = false;          // Refuse workspaces above their share while slots are scarce.
  // Longest wait of a request for a place, as a share of the latency target of its route; 0: nothing waits.
  double admission_queue_share = 0;
  std::uint32_t admission_queue_requests = 256;  // That wait at one time.
  // Between two writes of an upstream's row in the platform's list. Key upstream_heartbeat_ms.
  milliseconds upstream_heartbeat{2000};
  double memory_limit_mb = 0;         // Memory in MB at which the process is killed; 0: that of the host.
  std::uint32_t max_descriptors = 0;  // That the process may have open; 0: the limit of the operating system.

  log_settings log;
};

struct parsed_gateway_settings {
  gateway_settings value;
  std::vector<diagnostic> errors;
};

parsed_gateway_settings parse_gateway_settings(std::string_view text, std::string_view file);

// Returns the value of the key "role" of a settings file without checking the other keys. Returns an empty
// string if the text cannot be parsed or names no role.
std::string read_role(std::string_view text);

}  // namespace cuminpath::config
