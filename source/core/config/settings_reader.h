// Base of the settings readers of all roles. Private to this library.
#pragma once

#include <string>
#include <string_view>

#include "core/config/log_settings.h"
#include "core/config/toml_reader.h"

namespace cuminpath::config {

constexpr std::size_t k_max_settings_bytes = 64U << 10U;

class settings_reader {
protected:
  settings_reader(const toml::table& table, diagnostic_list& diagnostics)
      : m_root(table, "", diagnostics), m_diagnostics(diagnostics) {}

  // Reads a required string, which must not be empty.
  void read_non_empty(std::string_view key, std::string& field);
  void read_address(std::string_view key, std::string& field);
  // Reads an address that may be absent or empty.
  void read_optional_address(std::string_view key, std::string& field);
  static void read_url(table_reader& reader, std::string_view key, std::string& field, bool required);
  void read_log(log_settings& value);

  table_reader m_root;
  diagnostic_list& m_diagnostics;
};

// Parses the text as TOML and fills in the settings with `reader_type`.
template <class reader_type, class parsed_type>
parsed_type parse_with(std::string_view text, std::string_view file) {
  diagnostic_list diagnostics{.file = std::string(file), .errors = {}};
  parsed_type parsed;
  if (const auto table = parse_toml(text, k_max_settings_bytes, diagnostics)) {
    reader_type(*table, diagnostics).read(parsed.value);
  }
  parsed.errors = std::move(diagnostics.errors);
  return parsed;
}

}  // namespace cuminpath::config
