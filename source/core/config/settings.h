// Settings of one daemon process, read from a TOML file.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/config/log_settings.h"
#include "core/config/manifest_parser.h"

namespace cuminpath::config {

enum class role : std::uint8_t { entry, agent };

// A member is read from the key of the same name unless its comment names another key. A nested struct is
// read from the table of that name.
struct daemon_settings {
  role kind = role::entry;  // Key "role".
  std::string name;         // Unique name of the process.
  std::string host;         // Name of the host in the platform's host list.
  std::string availability_zone;
  std::string region;
  std::string address;        // IP:PORT for callers; required for an entry.
  std::string peer_address;   // IP:PORT for messages of other processes.
  std::string admin_address;  // IP:PORT for operators.
  std::string operator_key_sha256;
  std::vector<std::string> seed_peers;  // Peer addresses to query if the platform is unavailable at startup.

  struct platform_urls {
    std::string table;
    std::string objects;
    std::string hosts;
    std::string weights;
  } platform;

  struct entry_settings {
    milliseconds entries_ttl{30000};  // Lifetime of a response of GET /v1/entries. Key entries_ttl_ms.
    // Timeout of a request without X-Request-Timeout-Ms. Key default_timeout_ms.
    milliseconds default_timeout{120000};
    std::uint64_t max_body_bytes = 4U << 20U;
    std::uint32_t max_requests = 20000;  // Limit on requests in flight; requests above it are refused.
  } entry;

  struct agent_settings {
    std::string upstream_url;  // http://IP:PORT of the engine or service on this host.
    std::uint32_t max_queued = 10000;
    // Time between plans of the group's expert map; 0 disables planning. Applies to rank 0 only.
    // Key expert_interval_ms.
    milliseconds expert_interval{60000};
    // Number of experts of each layer that a rank can hold beyond its even share.
    std::uint32_t expert_spare_slots = 1;
    // Read rate that the weight store grants a group.
    std::uint64_t weight_store_bytes_per_s = 1'000'000'000;
  } agent;

  log_settings log;
};

struct parsed_settings {
  daemon_settings value;
  std::vector<diagnostic> errors;
};

parsed_settings parse_settings(std::string_view text, std::string_view file);

}  // namespace cuminpath::config
