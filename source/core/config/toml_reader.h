// Typed access to TOML tables. Every error is recorded as a diagnostic. Private to this library.
#pragma once

#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#define TOML_MAX_NESTED_VALUES 16
#include <toml++/toml.h>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/config/manifest_parser.h"

namespace cuminpath::config {

struct diagnostic_list {
  std::string file;
  std::vector<diagnostic> errors;

  void add(std::uint32_t line, std::string key, std::string message);
};

// Parses the text. Fails if it is larger than `max_bytes`, nested too deeply or not valid TOML.
std::optional<toml::table> parse_toml(std::string_view text, std::size_t max_bytes,
                                      diagnostic_list& diagnostics);

std::uint32_t line_of(const toml::node& node);

template <class value_type>
struct bounds {
  value_type low;
  value_type high;
};

// Reads the keys of one table. Each key is to be read once, because a second read would repeat its errors.
// After all known keys have been read, report_unknown_keys() reports the others.
class table_reader {
public:
  // `path` is the prefix of the keys in error reports, for example "upstream." or "".
  table_reader(const toml::table& table, std::string path, diagnostic_list& diagnostics);

  // Makes the next key to be read optional. If the key is absent, the field keeps its default.
  table_reader& optional() {
    m_next_required = false;
    return *this;
  }

  void read(std::string_view key, std::string& field);
  void read(std::string_view key, bool& field);
  void read(std::string_view key, double& field);
  void read(std::string_view key, std::vector<std::string>& field);
  void read(std::string_view key, std::map<std::string, std::string>& field);
  void read(std::string_view key, milliseconds& field, bounds<std::int64_t> allowed);
  template <std::unsigned_integral integer>
  void read(std::string_view key, integer& field, bounds<integer> allowed) {
    constexpr auto k_max_integer = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const auto high = static_cast<std::int64_t>(std::min<std::uint64_t>(allowed.high, k_max_integer));
    field = static_cast<integer>(
        read_integer(key, static_cast<std::int64_t>(field), {static_cast<std::int64_t>(allowed.low), high}));
  }
  [[nodiscard]] bool contains(std::string_view key) const;
  // Returns null if the key is absent or its value is not a table; the latter is reported as an error.
  const toml::table* table(std::string_view key);
  // Returns the tables of an array of tables; empty if the key is absent.
  std::vector<const toml::table*> tables(std::string_view key);

  void add_error(std::string_view key, std::string message);
  // Returns the number of errors reported so far by all readers of the same text.
  [[nodiscard]] std::size_t error_count() const { return m_diagnostics.errors.size(); }
  // Returns the line of a key, or that of the table if the key is absent.
  [[nodiscard]] std::uint32_t line(std::string_view key) const;
  // Returns the line of each key; the key "" holds the line of the table itself.
  [[nodiscard]] std::map<std::string, std::uint32_t> lines() const;
  void report_unknown_keys();

private:
  const toml::node* find(std::string_view key);
  std::int64_t read_integer(std::string_view key, std::int64_t fallback, bounds<std::int64_t> allowed);

  const toml::table& m_table;
  std::string m_path;
  diagnostic_list& m_diagnostics;
  std::set<std::string, std::less<>> m_known_keys;
  bool m_next_required = true;
};

}  // namespace cuminpath::config
