#include "core/config/settings.h"

#include "core/config/addresses.h"
#include "core/config/settings_reader.h"

namespace cuminpath::config {
namespace {

constexpr std::int64_t k_hour_ms = 3'600'000;

class daemon_reader : private settings_reader {
public:
  daemon_reader(const toml::table& table, diagnostic_list& diagnostics)
      : settings_reader(table, diagnostics) {}

  // Reads each setting by its key and checks its type and bounds. The member initializers are the defaults.
  void read(daemon_settings& value) {
    read_role(value.kind);
    read_non_empty("name", value.name);
    read_non_empty("host", value.host);
    read_non_empty("availability_zone", value.availability_zone);
    m_root.optional().read("region", value.region);
    if (value.kind == role::entry) {
      read_address("address", value.address);
    } else {
      read_optional_address("address", value.address);
    }
    read_address("peer_address", value.peer_address);
    read_address("admin_address", value.admin_address);
    m_root.read("operator_key_sha256", value.operator_key_sha256);
    if (!value.operator_key_sha256.empty() && !is_sha256(value.operator_key_sha256)) {
      m_root.add_error("operator_key_sha256", "must be 64 lower-case hexadecimal digits");
    }
    m_root.optional().read("seed_peers", value.seed_peers);
    for (const std::string& peer : value.seed_peers) {
      if (!is_address(peer)) {
        m_root.add_error("seed_peers", "\"" + peer + "\" is not IP:PORT");
      }
    }
    read_platform(value.platform);
    read_entry(value.entry);
    read_agent(value.agent, value.kind == role::agent);
    read_log(value.log);
    m_root.report_unknown_keys();
  }

private:
  void read_role(role& kind) {
    std::string name;
    m_root.read("role", name);
    if (name == "agent") {
      kind = role::agent;
    } else if (!name.empty() && name != "entry") {
      m_root.add_error("role", "must be \"entry\" or \"agent\"");
    }
  }

  void read_platform(daemon_settings::platform_urls& value) {
    const toml::table* table = m_root.table("platform");
    if (table == nullptr) {
      m_root.add_error("platform", "missing");
      return;
    }
    table_reader reader(*table, "platform.", m_diagnostics);
    read_url(reader, "table", value.table, true);
    read_url(reader, "objects", value.objects, true);
    read_url(reader, "hosts", value.hosts, true);
    read_url(reader, "weights", value.weights, false);
    reader.report_unknown_keys();
  }

  void read_entry(daemon_settings::entry_settings& value) {
    if (const toml::table* table = m_root.table("entry")) {
      table_reader reader(*table, "entry.", m_diagnostics);
      reader.optional().read("entries_ttl_ms", value.entries_ttl, {1, k_hour_ms});
      reader.optional().read("default_timeout_ms", value.default_timeout, {1, 24 * k_hour_ms});
      reader.optional().read("max_body_bytes", value.max_body_bytes,
                             {std::uint64_t{1}, std::uint64_t{12} << 20U});
      reader.optional().read("max_requests", value.max_requests, {1U, 1'000'000U});
      reader.report_unknown_keys();
    }
  }

  void read_agent(daemon_settings::agent_settings& value, bool required) {
    const toml::table* table = m_root.table("agent");
    if (table == nullptr) {
      if (required) {
        m_root.add_error("agent.upstream_url", "missing");
      }
      return;
    }
    table_reader reader(*table, "agent.", m_diagnostics);
    read_url(reader, "upstream_url", value.upstream_url, required);
    reader.optional().read("max_queued", value.max_queued, {1U, 1'000'000U});
    reader.optional().read("expert_interval_ms", value.expert_interval, {0, 24 * k_hour_ms});
    reader.optional().read("expert_spare_slots", value.expert_spare_slots, {0U, 1'000U});
    reader.optional().read("weight_store_bytes_per_s", value.weight_store_bytes_per_s,
                           {std::uint64_t{1}, std::uint64_t{1} << 50U});
    reader.report_unknown_keys();
  }
};

}  // namespace

parsed_settings parse_settings(std::string_view text, std::string_view file) {
  return parse_with<daemon_reader, parsed_settings>(text, file);
}

}  // namespace cuminpath::config
