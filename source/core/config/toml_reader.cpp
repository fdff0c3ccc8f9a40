#include "core/config/toml_reader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace cuminpath::config {
namespace {

// toml++ limits the nesting of values but not the number of parts of a dotted key, and it destroys nested
// tables recursively, so a long dotted key would exhaust the stack.
constexpr std::size_t k_max_key_parts = 16;

std::string_view type_name(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::none:
      return "nothing";
    case toml::node_type::table:
      return "table";
    case toml::node_type::array:
      return "array";
    case toml::node_type::string:
      return "string";
    case toml::node_type::integer:
      return "integer";
    case toml::node_type::floating_point:
      return "float";
    case toml::node_type::boolean:
      return "boolean";
    case toml::node_type::date:
    case toml::node_type::time:
    case toml::node_type::date_time:
      return "date or time";
  }
  return "unknown";
}

std::string type_mismatch(std::string_view expected, const toml::node& node) {
  return "expected " + std::string(expected) + ", found " + std::string(type_name(node));
}

// Returns the position of the last character of the string literal that starts at `begin` (for a single-line
// string without a closing quote, its line feed), or the size of the text if the literal is not terminated.
std::size_t skip_string(std::string_view text, std::size_t begin) {
  const char quote = text[begin];
  const std::string triple(3, quote);
  const bool multi_line = text.substr(begin, 3) == triple;
  std::size_t i = begin + (multi_line ? 3 : 1);
  for (; i < text.size(); ++i) {
    if (quote == '"' && text[i] == '\\') {
      ++i;
    } else if (!multi_line && (text[i] == quote || text[i] == '\n')) {
      return i;
    } else if (multi_line && text.substr(i, 3) == triple) {
      return i + 2;
    }
  }
  return text.size();
}

// Returns the line of the first dotted key with too many parts, if there is one.
std::optional<std::uint32_t> find_overlong_key(std::string_view text) {
  std::uint32_t line = 1;
  std::size_t parts = 1;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"' || c == '\'') {
      const std::size_t end = skip_string(text, i);
      line += static_cast<std::uint32_t>(std::count(text.begin() + static_cast<std::ptrdiff_t>(i),
                                                    text.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
      i = end;
      if (i < text.size() && text[i] == '\n') {
        ++line;
      }
    } else if (c == '#') {
      i = std::min(text.find('\n', i), text.size()) - 1;
    } else if (c == '.') {
      if (++parts > k_max_key_parts) {
        return line;
      }
    } else if (std::string_view("=,{}[]\n").find(c) != std::string_view::npos) {
      parts = 1;
      line += c == '\n' ? 1 : 0;
    }
  }
  return std::nullopt;
}

}  // namespace

void diagnostic_list::add(std::uint32_t line, std::string key, std::string message) {
  errors.push_back({file, line, std::move(key), std::move(message)});
}

std::uint32_t line_of(const toml::node& node) {
  return node.source().begin.line;
}

std::optional<toml::table> parse_toml(std::string_view text, std::size_t max_bytes,
                                      diagnostic_list& diagnostics) {
  if (text.size() > max_bytes) {
    diagnostics.add(0, "", "larger than " + std::to_string(max_bytes) + " bytes");
    return std::nullopt;
  }
  if (const auto line = find_overlong_key(text)) {
    diagnostics.add(*line, "", "a key has more than " + std::to_string(k_max_key_parts) + " parts");
    return std::nullopt;
  }
  toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    diagnostics.add(parsed.error().source().begin.line, "", std::string(parsed.error().description()));
    return std::nullopt;
  }
  return std::move(parsed).table();
}

table_reader::table_reader(const toml::table& table, std::string path, diagnostic_list& diagnostics)
    : m_table(table), m_path(std::move(path)), m_diagnostics(diagnostics) {}

const toml::node* table_reader::find(std::string_view key) {
  m_known_keys.emplace(key);
  const toml::node* node = m_table.get(key);
  if (node == nullptr && m_next_required) {
    add_error(key, "missing");
  }
  m_next_required = true;
  return node;
}

void table_reader::read(std::string_view key, std::string& field) {
  if (const toml::node* node = find(key)) {
    if (const auto* value = node->as_string()) {
      field = value->get();
    } else {
      add_error(key, type_mismatch("string", *node));
    }
  }
}

void table_reader::read(std::string_view key, bool& field) {
  if (const toml::node* node = find(key)) {
    if (const auto* value = node->as_boolean()) {
      field = value->get();
    } else {
      add_error(key, type_mismatch("boolean", *node));
    }
  }
}

bool table_reader::contains(std::string_view key) const {
  return m_table.contains(key);
}

void table_reader::read(std::string_view key, double& field) {
  if (const toml::node* node = find(key)) {
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value) {
      add_error(key, type_mismatch("number", *node));
    } else if (!std::isfinite(*value)) {
      add_error(key, "not a finite number");
    } else {
      field = *value;
    }
  }
}

void table_reader::read(std::string_view key, std::vector<std::string>& field) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return;
  }
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    add_error(key, type_mismatch("array of strings", *node));
    return;
  }
  for (const toml::node& item : *list) {
    if (const auto* value = item.as_string()) {
      field.push_back(value->get());
    } else {
      m_diagnostics.add(line_of(item), m_path + std::string(key), type_mismatch("string", item));
    }
  }
}

void table_reader::read(std::string_view key, std::map<std::string, std::string>& field) {
  const toml::table* values = table(key);
  if (values == nullptr) {
    return;
  }
  table_reader reader(*values, m_path + std::string(key) + ".", m_diagnostics);
  for (const auto& [name, node] : *values) {
    reader.read(name.str(), field[std::string(name.str())]);
  }
}

void table_reader::read(std::string_view key, milliseconds& field, bounds<std::int64_t> allowed) {
  field = milliseconds(read_integer(key, field.count(), allowed));
}

std::int64_t table_reader::read_integer(std::string_view key, std::int64_t fallback,
                                        bounds<std::int64_t> allowed) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto* value = node->as_integer();
  if (value == nullptr) {
    add_error(key, type_mismatch("integer", *node));
    return fallback;
  }
  if (value->get() < allowed.low || value->get() > allowed.high) {
    add_error(key, std::to_string(value->get()) + " is not in " + std::to_string(allowed.low) + ".." +
                       std::to_string(allowed.high));
    return fallback;
  }
  return value->get();
}

const toml::table* table_reader::table(std::string_view key) {
  m_next_required = false;
  const toml::node* node = find(key);
  if (node != nullptr && !node->is_table()) {
    add_error(key, type_mismatch("table", *node));
    return nullptr;
  }
  return node == nullptr ? nullptr : node->as_table();
}

std::vector<const toml::table*> table_reader::tables(std::string_view key) {
  m_next_required = false;
  const toml::node* node = find(key);
  std::vector<const toml::table*> found;
  if (node == nullptr) {
    return found;
  }
  if (!node->is_array()) {
    add_error(key, type_mismatch("array of tables", *node));
    return found;
  }
  for (const toml::node& item : *node->as_array()) {
    if (item.is_table()) {
      found.push_back(item.as_table());
    } else {
      m_diagnostics.add(line_of(item), m_path + std::string(key), type_mismatch("table", item));
    }
  }
  return found;
}

void table_reader::add_error(std::string_view key, std::string message) {
  m_diagnostics.add(line(key), m_path + std::string(key), std::move(message));
}

std::uint32_t table_reader::line(std::string_view key) const {
  const toml::node* node = m_table.get(key);
  return line_of(node == nullptr ? static_cast<const toml::node&>(m_table) : *node);
}

std::map<std::string, std::uint32_t> table_reader::lines() const {
  std::map<std::string, std::uint32_t> found{{"", line_of(m_table)}};
  for (const auto& [key, node] : m_table) {
    found.emplace(key.str(), line_of(node));
  }
  return found;
}

void table_reader::report_unknown_keys() {
  for (const auto& [key, node] : m_table) {
    if (!m_known_keys.contains(key.str())) {
      m_diagnostics.add(key.source().begin.line, m_path + std::string(key.str()), "unknown key");
    }
  }
}

}  // namespace cuminpath::config
