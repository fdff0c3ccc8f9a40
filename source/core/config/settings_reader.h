// What the readers of all roles' settings share. Private to this library.
#pragma once

#include <string>
#include <string_view>

#include "core/config/log_settings.h"
#include "core/config/toml_reader.h"

namespace cuminpath::config {

constexpr std::size_t k_max_settings_bytes = 64U << 10U;

class settings_reader {
protected:
  settings_reader(const toml::table& table, diagnostics& faults)
      : m_root(table, "", faults), m_faults(faults) {}

  void read_filled(std::string_view key, std::string& field);
  void read_address(std::string_view key, std::string& field);
  void read_optional_address(std::string_view key, std::string& field);
  static void read_url(table_reader& reader, std::string_view key, std::string& field, bool required);
  void read_log(log_settings& value);

  table_reader m_root;
  diagnostics& m_faults;
};

// Parses the text and lets `reader_type` fill in the settings.
template <class reader_type, class parsed_type>
parsed_type parse_with(std::string_view text, std::string_view file) {
  diagnostics faults{.file = std::string(file), .errors = {}};
  parsed_type parsed;
  if (const auto table = parse_toml(text, k_max_settings_bytes, faults)) {
    reader_type(*table, faults).read(parsed.value);
  }
  parsed.errors = std::move(faults.errors);
  return parsed;
}

}  // namespace cuminpath::config
