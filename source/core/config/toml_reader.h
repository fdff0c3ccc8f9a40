// Typed reading of TOML tables; every fault becomes a diagnostic. Private to this library.
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

struct diagnostics {
  std::string file;
  std::vector<diagnostic> errors;

  void add(std::uint32_t line, std::string key, std::string message);
};

// Parses the text unless it is larger than `max_bytes` or nested too deeply. Absent on errors.
std::optional<toml::table> parse_toml(std::string_view text, std::size_t max_bytes, diagnostics& faults);

std::uint32_t line_of(const toml::node& node);

template <class value_type>
struct bounds {
  value_type low;
  value_type high;
};

// Reads the keys of one table. Each key is read once; finish() then reports the keys that nobody read.
class table_reader {
public:
  // `path` precedes the key in diagnostics, like "upstream." or "".
  table_reader(const toml::table& table, std::string path, diagnostics& faults);

  // Marks a key whose value may be left out; the field then keeps its default.
  table_reader& optional() {
    m_required = false;
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
    constexpr auto k_largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const auto high = static_cast<std::int64_t>(std::min<std::uint64_t>(allowed.high, k_largest));
    field = static_cast<integer>(
        read_integer(key, static_cast<std::int64_t>(field), {static_cast<std::int64_t>(allowed.low), high}));
  }
  // Null if absent; a diagnostic if it is no table.
  const toml::table* table(std::string_view key);
  // The tables of an array of tables.
  std::vector<const toml::table*> tables(std::string_view key);

  void add_error(std::string_view key, std::string message);
  // Errors reported so far, by all readers of the same text.
  [[nodiscard]] std::size_t errors() const { return m_faults.errors.size(); }
  // Line of a key, or of the table if the key is absent.
  [[nodiscard]] std::uint32_t line(std::string_view key) const;
  [[nodiscard]] std::map<std::string, std::uint32_t> lines() const;
  void finish();

private:
  const toml::node* find(std::string_view key);
  std::int64_t read_integer(std::string_view key, std::int64_t fallback, bounds<std::int64_t> allowed);

  const toml::table& m_table;
  std::string m_path;
  diagnostics& m_faults;
  std::set<std::string, std::less<>> m_known;
  bool m_required = true;
};

}  // namespace cuminpath::config
