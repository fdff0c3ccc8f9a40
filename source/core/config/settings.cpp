#include "core/config/settings.h"

#include "core/config/addresses.h"
#include "core/config/toml_reader.h"

namespace cuminpath::config {
namespace {

constexpr std::size_t k_max_settings_bytes = 64U << 10U;
constexpr std::int64_t k_hour_ms = 3'600'000;

class settings_reader {
public:
  settings_reader(const toml::table& table, diagnostics& faults)
      : m_root(table, "", faults), m_faults(faults) {}

  // Each setting is declared here once, with its key, type and bounds; its default is that of the member.
  void read(daemon_settings& value) {
    read_role(value.kind);
    read_filled(m_root, "name", value.name);
    read_filled(m_root, "host", value.host);
    read_filled(m_root, "availability_zone", value.availability_zone);
    m_root.optional().read("region", value.region);
    read_address("address", value.address, value.kind == role::entry);
    read_address("peer_address", value.peer_address, true);
    read_address("admin_address", value.admin_address, true);
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
    m_root.finish();
  }

private:
  static void read_filled(table_reader& reader, std::string_view key, std::string& field) {
    const std::size_t errors = reader.errors();
    reader.read(key, field);
    if (field.empty() && reader.errors() == errors) {
      reader.add_error(key, "must not be empty");
    }
  }

  void read_role(role& kind) {
    std::string name;
    m_root.read("role", name);
    if (name == "agent") {
      kind = role::agent;
    } else if (!name.empty() && name != "entry") {
      m_root.add_error("role", "must be \"entry\" or \"agent\"");
    }
  }

  void read_address(std::string_view key, std::string& field, bool required) {
    const std::size_t errors = m_root.errors();
    if (!required) {
      m_root.optional();
    }
    m_root.read(key, field);
    if (!is_address(field) && (required || !field.empty()) && m_root.errors() == errors) {
      m_root.add_error(key, "must be IP:PORT with a numeric address");
    }
  }

  static void read_url(table_reader& reader, std::string_view key, std::string& field, bool required) {
    const std::size_t errors = reader.errors();
    if (!required) {
      reader.optional();
    }
    reader.read(key, field);
    if (!is_url(field) && (required || !field.empty()) && reader.errors() == errors) {
      reader.add_error(key, "must be http://IP:PORT with a numeric address");
    }
  }

  void read_platform(daemon_settings::platform_urls& value) {
    const toml::table* table = m_root.table("platform");
    if (table == nullptr) {
      m_root.add_error("platform", "missing");
      return;
    }
    table_reader reader(*table, "platform.", m_faults);
    read_url(reader, "table", value.table, true);
    read_url(reader, "objects", value.objects, true);
    read_url(reader, "hosts", value.hosts, true);
    read_url(reader, "weights", value.weights, false);
    reader.finish();
  }

  void read_entry(daemon_settings::entry_settings& value) {
    if (const toml::table* table = m_root.table("entry")) {
      table_reader reader(*table, "entry.", m_faults);
      reader.optional().read("entries_ttl_ms", value.entries_ttl, {1, k_hour_ms});
      reader.optional().read("default_timeout_ms", value.default_timeout, {1, 24 * k_hour_ms});
      reader.optional().read("max_body_bytes", value.max_body_bytes,
                             {std::uint64_t{1}, std::uint64_t{12} << 20U});
      reader.optional().read("max_requests", value.max_requests, {1U, 1'000'000U});
      reader.finish();
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
    table_reader reader(*table, "agent.", m_faults);
    read_url(reader, "upstream_url", value.upstream_url, required);
    reader.optional().read("max_queued", value.max_queued, {1U, 1'000'000U});
    reader.optional().read("expert_interval_ms", value.expert_interval, {0, 24 * k_hour_ms});
    reader.optional().read("expert_spare_slots", value.expert_spare_slots, {0U, 1'000U});
    reader.optional().read("weight_store_bytes_per_s", value.weight_store_bytes_per_s,
                           {std::uint64_t{1}, std::uint64_t{1} << 50U});
    reader.finish();
  }

  void read_log(daemon_settings::log_settings& value) {
    const toml::table* table = m_root.table("log");
    if (table == nullptr) {
      return;
    }
    table_reader reader(*table, "log.", m_faults);
    reader.optional().read("level", value.level);
    reader.optional().read("subsystems", value.subsystems);
    if (!is_log_level(value.level)) {
      reader.add_error("level", "must be trace, debug, info, warning or error");
    }
    for (const auto& [subsystem, level] : value.subsystems) {
      if (!is_log_level(level)) {
        reader.add_error("subsystems", subsystem + " must be trace, debug, info, warning or error");
      }
    }
    reader.finish();
  }

  table_reader m_root;
  diagnostics& m_faults;
};

}  // namespace

parsed_settings parse_settings(std::string_view text, std::string_view file) {
  diagnostics faults{.file = std::string(file), .errors = {}};
  parsed_settings parsed;
  if (const auto table = parse_toml(text, k_max_settings_bytes, faults)) {
    settings_reader(*table, faults).read(parsed.value);
  }
  parsed.errors = std::move(faults.errors);
  return parsed;
}

}  // namespace cuminpath::config
