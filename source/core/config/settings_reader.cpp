#include "core/config/settings_reader.h"

#include "core/config/addresses.h"

namespace cuminpath::config {

void settings_reader::read_non_empty(std::string_view key, std::string& field) {
  const std::size_t errors_before = m_root.error_count();
  m_root.read(key, field);
  if (field.empty() && m_root.error_count() == errors_before) {
    m_root.add_error(key, "must not be empty");
  }
}

void settings_reader::read_address(std::string_view key, std::string& field) {
  const std::size_t errors_before = m_root.error_count();
  m_root.read(key, field);
  if (!is_address(field) && m_root.error_count() == errors_before) {
    m_root.add_error(key, "must be IP:PORT with a numeric address");
  }
}

void settings_reader::read_optional_address(std::string_view key, std::string& field) {
  m_root.optional().read(key, field);
  if (!field.empty() && !is_address(field)) {
    m_root.add_error(key, "must be IP:PORT with a numeric address");
  }
}

void settings_reader::read_url(table_reader& reader, std::string_view key, std::string& field,
                               bool required) {
  const std::size_t errors_before = reader.error_count();
  if (!required) {
    reader.optional();
  }
  reader.read(key, field);
  if (!is_http_url(field) && (required || !field.empty()) && reader.error_count() == errors_before) {
    reader.add_error(key, "must be http://IP:PORT with a numeric address");
  }
}

void settings_reader::read_log(log_settings& value) {
  const toml::table* table = m_root.table("log");
  if (table == nullptr) {
    return;
  }
  table_reader reader(*table, "log.", m_diagnostics);
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
  reader.report_unknown_keys();
}

}  // namespace cuminpath::config
