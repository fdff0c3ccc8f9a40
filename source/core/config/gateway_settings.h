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

// The key of each member in the file is its name; members of a nested struct are in a table of that name.
struct gateway_settings {
  std::string name;  // Unique name of the host.
  std::string availability_zone;
  std::string region;
  std::string address;            // IP:PORT for callers.
  std::string ready_address;      // IP:PORT for readiness checks.
  std::string directory_address;  // IP:PORT for callers that ask which gateways to use.
  std::string mirror_address;     // IP:PORT where other gateways read this one's mirror of the store.
  std::string report_address;     // IP:PORT (UDP) for reports of other gateways.
  // Where other gateways reach the two addresses above, if there is a link with an address of its own
  // between.
  std::string public_mirror_address;
  std::string public_report_address;
  std::string metrics_address;     // IP:PORT for /metrics; empty for none.
  std::string store_url;           // http://IP:PORT of the platform's store.
  std::vector<std::string> seeds;  // Mirror addresses of gateways to ask when the store is away at the start.

  milliseconds directory_ttl{2000};   // Lifetime of an answer of the directory. Key directory_ttl_ms.
  milliseconds report_interval{200};  // Between reports to other gateways. Key report_interval_ms.
  milliseconds grace{8000};           // From SIGTERM to the kill by the platform. Key grace_ms.
  double retry_ratio = 0.2;           // Retries to requests of a service, of all gateways together.
  std::uint32_t retry_burst = 100;    // Retries beyond that in one window, of all gateways together.

  log_settings log;
};

struct parsed_gateway_settings {
  gateway_settings value;
  std::vector<diagnostic> errors;
};

parsed_gateway_settings parse_gateway_settings(std::string_view text, std::string_view file);

// The role that a settings file names, whatever else it holds; empty if it names none.
std::string role_of(std::string_view text);

}  // namespace cuminpath::config
