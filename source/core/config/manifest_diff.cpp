#include <fmt/format.h>

#include <map>

#include "core/config/manifest_parser.h"
#include "core/config/manifest_rows.h"

namespace cuminpath::config {
namespace {

std::string describe(const std::string& key, const json& value) {
  if (key == "key_sha256") {
    return std::to_string(value.size()) + " keys";
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string describe_change(const std::string& key, const json& from, const json& to) {
  const std::string before = describe(key, from);
  const std::string after = describe(key, to);
  return key + " " + before + " -> " + after + (before == after ? " (other content)" : "");
}

template <class entity>
void append_diff(std::vector<std::string>& lines, const std::string& kind, const std::vector<entity>& from,
                 const std::vector<entity>& to) {
  std::map<std::string, std::pair<json, json>> rows;
  for (const entity& value : from) {
    rows[value.name].first = to_row(value);
  }
  for (const entity& value : to) {
    rows[value.name].second = to_row(value);
  }
  for (const auto& [name, row] : rows) {
    const auto& [before, after] = row;
    if (before.is_null() || after.is_null()) {
      lines.push_back(fmt::format("{} {} {}", before.is_null() ? '+' : '-', kind, name));
      continue;
    }
    std::string changes;
    for (const auto& [key, value] : after.items()) {
      if (before.at(key) != value) {
        changes += (changes.empty() ? "" : ", ") + describe_change(key, before.at(key), value);
      }
    }
    if (!changes.empty()) {
      lines.push_back(fmt::format("~ {} {}: {}", kind, name, changes));
    }
  }
}

}  // namespace

std::vector<std::string> diff(const manifest& from, const manifest& to) {
  std::vector<std::string> lines;
  append_diff(lines, "priority_class", from.classes, to.classes);
  append_diff(lines, "model", from.models, to.models);
  append_diff(lines, "group", from.groups, to.groups);
  append_diff(lines, "service", from.services, to.services);
  append_diff(lines, "workspace", from.workspaces, to.workspaces);
  append_diff(lines, "upstream", from.upstreams, to.upstreams);
  return lines;
}

}  // namespace cuminpath::config
