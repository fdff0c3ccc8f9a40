#include "core/config/gateway_settings.h"

#include <algorithm>

#include "core/config/addresses.h"
#include "core/config/toml_reader.h"

namespace cuminpath::config {
namespace {

constexpr std::size_t k_max_settings_bytes = 64U << 10U;
constexpr std::int64_t k_minute_ms = 60'000;
constexpr std::uint32_t k_max_retry_burst = 1'000'000;

class reader {
public:
  reader(const toml::table& table, diagnostics& faults) : m_root(table, "", faults), m_faults(faults) {}

  // Each setting is declared here once, with its key, type and bounds; its default is that of the member.
  void read(gateway_settings& value) {
    std::string role;
    m_root.read("role", role);
    read_filled("name", value.name);
    read_filled("availability_zone", value.availability_zone);
    m_root.optional().read("region", value.region);
    read_address("address", value.address);
    read_address("ready_address", value.ready_address);
    read_address("directory_address", value.directory_address);
    read_address("mirror_address", value.mirror_address);
    read_address("report_address", value.report_address);
    if (m_root.optional().read("metrics_address", value.metrics_address);
        !value.metrics_address.empty() && !is_address(value.metrics_address)) {
      m_root.add_error("metrics_address", "must be IP:PORT with a numeric address");
    }
    m_root.read("store_url", value.store_url);
    if (!is_url(value.store_url)) {
      m_root.add_error("store_url", "must be http://IP:PORT with a numeric address");
    }
    m_root.optional().read("seeds", value.seeds);
    // Seeds may be stale; one that cannot be read is left out and the others hold.
    std::erase_if(value.seeds, [](const std::string& seed) { return !is_address(seed); });
    m_root.optional().read("directory_ttl_ms", value.directory_ttl, {100, k_minute_ms});
    m_root.optional().read("report_interval_ms", value.report_interval, {20, k_minute_ms});
    m_root.optional().read("grace_ms", value.grace, {500, 60 * k_minute_ms});
    m_root.optional().read("retry_ratio", value.retry_ratio);
    if (value.retry_ratio < 0 || value.retry_ratio > 1) {
      m_root.add_error("retry_ratio", "must be from 0 to 1");
    }
    m_root.optional().read("retry_burst", value.retry_burst, {0U, k_max_retry_burst});
    read_log(value.log);
    m_root.finish();
  }

private:
  void read_filled(std::string_view key, std::string& field) {
    const std::size_t errors = m_root.errors();
    m_root.read(key, field);
    if (field.empty() && m_root.errors() == errors) {
      m_root.add_error(key, "must not be empty");
    }
  }

  void read_address(std::string_view key, std::string& field) {
    const std::size_t errors = m_root.errors();
    m_root.read(key, field);
    if (!is_address(field) && m_root.errors() == errors) {
      m_root.add_error(key, "must be IP:PORT with a numeric address");
    }
  }

  void read_log(gateway_settings::log_settings& value) {
    const toml::table* table = m_root.table("log");
    if (table == nullptr) {
      return;
    }
    table_reader log(*table, "log.", m_faults);
    log.optional().read("level", value.level);
    log.optional().read("subsystems", value.subsystems);
    if (!is_log_level(value.level)) {
      log.add_error("level", "must be trace, debug, info, warning or error");
    }
    for (const auto& [subsystem, level] : value.subsystems) {
      if (!is_log_level(level)) {
        log.add_error("subsystems", subsystem + " must be trace, debug, info, warning or error");
      }
    }
    log.finish();
  }

  table_reader m_root;
  diagnostics& m_faults;
};

}  // namespace

parsed_gateway_settings parse_gateway_settings(std::string_view text, std::string_view file) {
  diagnostics faults{.file = std::string(file), .errors = {}};
  parsed_gateway_settings parsed;
  if (const auto table = parse_toml(text, k_max_settings_bytes, faults)) {
    reader(*table, faults).read(parsed.value);
  }
  parsed.errors = std::move(faults.errors);
  return parsed;
}

bool is_gateway_file(std::string_view text) {
  diagnostics ignored;
  const auto table = parse_toml(text, k_max_settings_bytes, ignored);
  return table && (*table)["role"].value_or(std::string_view()) == "gateway";
}

}  // namespace cuminpath::config
