#include "core/rollout/index_delta.h"

#include <map>

#include "core/common/hash.h"
#include "core/common/json.h"

namespace cuminpath::rollout {
namespace {

error malformed() {
  return make_error(error_code::invalid_input, "malformed index difference");
}

// Appends the changed digests of one section. Returns false if the two values differ in more than digests.
bool append_changes(json& changes, const std::string& name, const json& from, const json& to) {
  if (from.is_array() && to.is_array() && from.size() == to.size()) {
    for (std::size_t i = 0; i < to.size(); ++i) {
      if (from[i] != to[i]) {
        changes.push_back({name, i, to[i]});
      }
    }
    return true;
  }
  if (from != to) {
    changes.push_back({name, nullptr, to});
  }
  return from.is_string() == to.is_string() && !to.is_array();
}

bool apply_change(json& index, const json& change) {
  constexpr std::size_t k_change_fields = 3;
  if (!change.is_array() || change.size() != k_change_fields || !change[0].is_string()) {
    return false;
  }
  const auto section = index.find(change[0].get_ref<const std::string&>());
  if (section == index.end()) {
    return false;
  }
  if (change[1].is_null()) {
    *section = change[2];
    return true;
  }
  if (!change[1].is_number_unsigned() || !section->is_array() ||
      change[1].get<std::uint64_t>() >= section->size()) {
    return false;
  }
  (*section)[change[1].get<std::size_t>()] = change[2];
  return true;
}

using row_map = std::map<std::string, json>;

// Reads the rows of a section into a map by name. Returns false for anything but a list of rows with names.
bool read_rows(std::string_view text, row_map& rows) {
  const auto list = parse_json(text);
  if (!list || !list.value().is_array()) {
    return false;
  }
  for (const json& row : list.value()) {
    const json name = row.is_object() ? row.value("name", json()) : json();
    if (!name.is_string()) {
      return false;
    }
    rows.emplace(name.get<std::string>(), row);
  }
  return true;
}

}  // namespace

std::string make_index_delta(std::string_view base_digest, std::string_view base_text,
                             std::string_view text) {
  const auto from = parse_json(base_text);
  const auto to = parse_json(text);
  if (!from || !to || !from.value().is_object() || !to.value().is_object() ||
      from.value().size() != to.value().size()) {
    return std::string(text);
  }
  json changes = json::array();
  for (const auto& [name, value] : to.value().items()) {
    if (!from.value().contains(name) || !append_changes(changes, name, from.value()[name], value)) {
      return std::string(text);
    }
  }
  const json delta = {{"base", base_digest}, {"digest", sha256_hex(text)}, {"set", std::move(changes)}};
  std::string out = delta.dump();
  return out.size() < text.size() ? out : std::string(text);
}

result<std::string> apply_index_delta(std::string_view received, const text_lookup& lookup) {
  const auto parsed = parse_json(received);
  if (!parsed || !parsed.value().is_object()) {
    return malformed();
  }
  const json& delta = parsed.value();
  if (!delta.contains("base")) {
    return std::string(received);
  }
  if (!delta["base"].is_string() || !delta.contains("set") || !delta["set"].is_array()) {
    return malformed();
  }
  auto index = parse_json(lookup(delta["base"].get_ref<const std::string&>()));
  if (!index || !index.value().is_object()) {
    return make_error(error_code::not_found, "the base of the index difference is not available");
  }
  for (const json& change : delta["set"]) {
    if (!apply_change(index.value(), change)) {
      return malformed();
    }
  }
  std::string text = index.value().dump();
  if (delta.value("digest", json()) != sha256_hex(text)) {
    return malformed();
  }
  return text;
}

std::vector<std::pair<std::string, std::string>> changed_sections(std::string_view base_text,
                                                                  std::string_view text) {
  std::vector<std::pair<std::string, std::string>> changed;
  const auto from = parse_json(base_text);
  const auto to = parse_json(text);
  if (!from || !to) {
    return changed;
  }
  const json before = from.value().flatten();
  const json after = to.value().flatten();
  for (const auto& [path, digest] : after.items()) {
    const auto old = before.find(path);
    const bool known = old != before.end() && old->is_string();
    if (digest.is_string() && (!known || *old != digest)) {
      changed.emplace_back(known ? old->get<std::string>() : "", digest.get<std::string>());
    }
  }
  return changed;
}

std::string make_section_delta(std::string_view base_digest, std::string_view base_text,
                               std::string_view text) {
  row_map from;
  row_map to;
  if (!read_rows(base_text, from) || !read_rows(text, to)) {
    return std::string(text);
  }
  json set = json::array();
  json removed = json::array();
  for (const auto& [name, row] : to) {
    const auto old = from.find(name);
    if (old == from.end() || old->second != row) {
      set.push_back(row);
    }
  }
  for (const auto& [name, row] : from) {
    if (!to.contains(name)) {
      removed.push_back(name);
    }
  }
  const json delta = {{"base", base_digest}, {"set", std::move(set)}, {"removed", std::move(removed)}};
  std::string out = delta.dump();
  return out.size() < text.size() ? out : std::string(text);
}

result<std::string> apply_section_delta(std::string_view received, const text_lookup& lookup) {
  if (!received.starts_with('{')) {
    return std::string(received);
  }
  const auto parsed = parse_json(received);
  if (!parsed || !parsed.value().value("base", json()).is_string() ||
      !parsed.value().value("set", json()).is_array() ||
      !parsed.value().value("removed", json()).is_array()) {
    return malformed();
  }
  const json& delta = parsed.value();
  row_map rows;
  if (!read_rows(lookup(delta["base"].get_ref<const std::string&>()), rows)) {
    return make_error(error_code::not_found, "the base of the section difference is not available");
  }
  for (const json& name : delta["removed"]) {
    rows.erase(name.is_string() ? name.get<std::string>() : std::string());
  }
  row_map set;
  if (!read_rows(delta["set"].dump(-1, ' ', false, json::error_handler_t::replace), set)) {
    return malformed();
  }
  set.merge(rows);
  json list = json::array();
  for (auto& [name, row] : set) {
    list.push_back(std::move(row));
  }
  return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace cuminpath::rollout
