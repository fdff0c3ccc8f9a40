// Settings of a balancer process, read from a TOML file.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/config/log_settings.h"
#include "core/config/manifest_parser.h"

namespace cuminpath::config {

// A member is read from the key of the same name unless its comment names another key. A nested struct is
// read from the table of that name.
struct balancer_settings {
  std::string name;            // Unique name of the host.
  std::string service;         // Name of the service that the engine on this host belongs to.
  std::string engine_address;  // IP:PORT of the engine on this host.
  // IP:PORT (UDP) for messages of other balancers; the port is the same on all hosts.
  std::string report_address;
  std::string metrics_address;  // IP:PORT for /metrics; empty disables it.
  std::string store_url;        // http://IP:PORT of the platform's store.
  // Mirror addresses of gateways. A balancer fetches the lists of the store from them, so that not every
  // balancer reads the store. If empty, the balancer reads the store itself.
  std::vector<std::string> seeds;
  milliseconds report_interval{200};  // Time between reports to the group. Key report_interval_ms.
  milliseconds plan_interval{60};     // Time between checks of the expert loads. Key plan_interval_ms.
  // Half-life of the decaying window of loads on which plans are based. Key load_half_life_ms.
  milliseconds load_half_life{250};
  // Limit on the copy time of one plan at each rank. A plan may always copy one expert. Key max_copy_time_ms.
  milliseconds max_copy_time{160};
  milliseconds shutdown_grace{8000};  // Time from SIGTERM until the platform kills the process. Key grace_s.
  double min_saving = 0.12;           // Share of a forward pass's expert time that a map switch must save.

  log_settings log;
};

struct parsed_balancer_settings {
  balancer_settings value;
  std::vector<diagnostic> errors;
};

parsed_balancer_settings parse_balancer_settings(std::string_view text, std::string_view file);

}  // namespace cuminpath::config
