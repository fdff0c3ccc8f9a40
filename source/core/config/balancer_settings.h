// Settings of a balancer process, read from a TOML file.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/config/log_settings.h"
#include "core/config/manifest_parser.h"

namespace cuminpath::config {

// The key of each member in the file is its name; members of a nested struct are in a table of that name.
struct balancer_settings {
  std::string name;            // Unique name of the host.
  std::string service;         // Of the engine on this host.
  std::string engine_address;  // IP:PORT of the engine on this host.
  std::string
      report_address;  // IP:PORT (UDP) for messages of other balancers; the port is the same on all hosts.
  std::string metrics_address;  // IP:PORT for /metrics; empty for none.
  std::string store_url;        // http://IP:PORT of the platform's store.
  // Mirror addresses of gateways that are asked for the lists of the store, so that it is not read by each
  // balancer. Empty: the store is read.
  std::vector<std::string> seeds;
  milliseconds report_interval{200};  // Between reports to the group. Key report_interval_ms.
  milliseconds plan_interval{60};     // Between looks at the loads. Key plan_interval_ms.
  milliseconds load_half_life{250};  // Of the window of loads that plans are made for. Key load_half_life_ms.
  milliseconds max_copy_time{
      160};                  // Of one plan at each rank; one expert is always allowed. Key max_copy_time_ms.
  double min_saving = 0.12;  // Share of the expert time of a pass that a switch must save.

  log_settings log;
};

struct parsed_balancer_settings {
  balancer_settings value;
  std::vector<diagnostic> errors;
};

parsed_balancer_settings parse_balancer_settings(std::string_view text, std::string_view file);

}  // namespace cuminpath::config
