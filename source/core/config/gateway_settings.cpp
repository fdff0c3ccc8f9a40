#include "core/config/gateway_settings.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/config/addresses.h"
#include "core/config/balancer_settings.h"
#include "core/config/settings_reader.h"

namespace cuminpath::config {
namespace {

constexpr std::int64_t k_minute_ms = 60'000;
constexpr std::int64_t k_min_grace_ms = 500;
constexpr std::int64_t k_max_grace_ms = 60 * k_minute_ms;
constexpr std::uint32_t k_max_retry_burst = 1'000'000;
constexpr double k_max_cold_rate_factor = 1000;
constexpr std::uint32_t k_max_cold_rate_slack = 1'000'000;
constexpr std::uint32_t k_max_queue_requests = 100'000;
constexpr double k_max_memory_limit_mb = 1'000'000;
// A gateway without callers has about 20 descriptors open, and one for each upstream in use.
constexpr std::uint32_t k_min_descriptors = 64;
constexpr std::uint32_t k_max_descriptors = 10'000'000;

// Skips malformed seeds: the list may be stale, and the remaining seeds are still useful.
void read_seeds(table_reader& reader, std::vector<std::string>& seeds) {
  reader.optional().read("seeds", seeds);
  std::erase_if(seeds, [](const std::string& seed) { return !is_address(seed); });
}

void read_share(table_reader& reader, std::string_view key, double& field) {
  reader.optional().read(key, field);
  if (field < 0 || field > 1) {
    reader.add_error(key, "must be from 0 to 1");
  }
}

// Reads grace_s, which may have a fraction, or grace_ms, the key of earlier versions.
void read_grace(table_reader& reader, milliseconds& field) {
  reader.optional().read("grace_ms", field, {k_min_grace_ms, k_max_grace_ms});
  if (!reader.contains("grace_s")) {
    return;
  }
  if (reader.contains("grace_ms")) {
    reader.add_error("grace_s", "must not be given with grace_ms");
  }
  constexpr double k_ms_per_s = 1000;
  double grace_s = static_cast<double>(field.count()) / k_ms_per_s;
  reader.read("grace_s", grace_s);
  if (grace_s < k_min_grace_ms / k_ms_per_s || grace_s > k_max_grace_ms / k_ms_per_s) {
    reader.add_error("grace_s", fmt::format("must be from {} to {}", k_min_grace_ms / k_ms_per_s,
                                            k_max_grace_ms / k_ms_per_s));
    return;
  }
  field = std::chrono::floor<milliseconds>(std::chrono::duration<double>(grace_s));
}

// Reads the limits that the platform sets for the process. The memory may have a fraction.
void read_process_limits(table_reader& reader, gateway_settings& value) {
  const std::size_t errors_before = reader.error_count();
  reader.optional().read("memory_limit_mb", value.memory_limit_mb);
  if (reader.contains("memory_limit_mb") && reader.error_count() == errors_before &&
      (value.memory_limit_mb < 1 || value.memory_limit_mb > k_max_memory_limit_mb)) {
    reader.add_error("memory_limit_mb", fmt::format("must be from 1 to {}", k_max_memory_limit_mb));
  }
  reader.optional().read("max_descriptors", value.max_descriptors, {k_min_descriptors, k_max_descriptors});
}

class gateway_reader : private settings_reader {
public:
  gateway_reader(const toml::table& table, diagnostic_list& diagnostics)
      : settings_reader(table, diagnostics) {}

  // Reads each setting by its key and checks its type and bounds. The member initializers are the defaults.
  void read(gateway_settings& value) {
    std::string role;
    m_root.read("role", role);
    read_non_empty("name", value.name);
    read_non_empty("availability_zone", value.availability_zone);
    m_root.optional().read("region", value.region);
    read_address("address", value.address);
    read_address("ready_address", value.ready_address);
    read_address("directory_address", value.directory_address);
    read_address("mirror_address", value.mirror_address);
    read_address("report_address", value.report_address);
    value.public_mirror_address = value.mirror_address;
    read_optional_address("public_mirror_address", value.public_mirror_address);
    value.public_report_address = value.report_address;
    read_optional_address("public_report_address", value.public_report_address);
    read_optional_address("metrics_address", value.metrics_address);
    read_url(m_root, "store_url", value.store_url, true);
    read_seeds(m_root, value.seeds);
    m_root.optional().read("directory_ttl_ms", value.directory_ttl, {100, k_minute_ms});
    m_root.optional().read("report_interval_ms", value.report_interval, {20, k_minute_ms});
    read_grace(m_root, value.shutdown_grace);
    m_root.optional().read("retry_ratio", value.retry_ratio);
    if (value.retry_ratio < 0 || value.retry_ratio > 1) {
      m_root.add_error("retry_ratio", "must be from 0 to 1");
    }
    m_root.optional().read("retry_burst", value.retry_burst, {0U, k_max_retry_burst});
    m_root.optional().read("cold_rate_factor", value.cold_rate_factor);
    if (!(value.cold_rate_factor >= 0 && value.cold_rate_factor <= k_max_cold_rate_factor)) {
      m_root.add_error("cold_rate_factor", fmt::format("must be from 0 to {}", k_max_cold_rate_factor));
    }
    m_root.optional().read("cold_rate_slack", value.cold_rate_slack, {0U, k_max_cold_rate_slack});
    read_share(m_root, "second_attempt_share", value.second_attempt_share);
    read_share(m_root, "second_attempt_token_share", value.second_attempt_token_share);
    m_root.optional().read("workspace_shares", value.workspace_shares);
    read_share(m_root, "admission_queue_share", value.admission_queue_share);
    m_root.optional().read("admission_queue_requests", value.admission_queue_requests,
                           {1U, k_max_queue_requests});
    m_root.optional().read("upstream_heartbeat_ms", value.upstream_heartbeat, {100, k_minute_ms});
    read_process_limits(m_root, value);
    read_log(value.log);
    m_root.report_unknown_keys();
  }

private:
};

class balancer_reader : private settings_reader {
public:
  balancer_reader(const toml::table& table, diagnostic_list& diagnostics)
      : settings_reader(table, diagnostics) {}

  // Reads each setting by its key and checks its type and bounds. The member initializers are the defaults.
  void read(balancer_settings& value) {
    std::string role;
    m_root.read("role", role);
    read_non_empty("name", value.name);
    read_non_empty("service", value.service);
    read_address("engine_address", value.engine_address);
    read_address("report_address", value.report_address);
    read_optional_address("metrics_address", value.metrics_address);
    read_url(m_root, "store_url", value.store_url, true);
    read_seeds(m_root, value.seeds);
    m_root.optional().read("report_interval_ms", value.report_interval, {20, k_minute_ms});
    m_root.optional().read("plan_interval_ms", value.plan_interval, {20, k_minute_ms});
    m_root.optional().read("load_half_life_ms", value.load_half_life, {20, 10 * k_minute_ms});
    m_root.optional().read("max_copy_time_ms", value.max_copy_time, {1, k_minute_ms});
    read_grace(m_root, value.shutdown_grace);
    m_root.optional().read("min_saving", value.min_saving);
    if (value.min_saving < 0 || value.min_saving > 1) {
      m_root.add_error("min_saving", "must be from 0 to 1");
    }
    read_log(value.log);
    m_root.report_unknown_keys();
  }
};

}  // namespace

parsed_gateway_settings parse_gateway_settings(std::string_view text, std::string_view file) {
  return parse_with<gateway_reader, parsed_gateway_settings>(text, file);
}

parsed_balancer_settings parse_balancer_settings(std::string_view text, std::string_view file) {
  return parse_with<balancer_reader, parsed_balancer_settings>(text, file);
}

std::string read_role(std::string_view text) {
  diagnostic_list ignored;
  const auto table = parse_toml(text, k_max_settings_bytes, ignored);
  return table ? (*table)["role"].value_or(std::string()) : std::string();
}

}  // namespace cuminpath::config
