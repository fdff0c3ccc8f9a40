#include "core/config/manifest_parser.h"

#include <limits>
#include <set>

#include "core/config/manifest_checks.h"
#include "core/config/toml_reader.h"

namespace cuminpath::config {
namespace {

constexpr std::int64_t k_day_ms = 86'400'000;
constexpr std::uint32_t k_max_ranks = 4096;
constexpr std::uint32_t k_max_count = 1'000'000;

void read_class(table_reader& reader, priority_class& value) {
  reader.read("name", value.name);
  reader.read("rank", value.priority, {0U, k_max_count});
  reader.optional().read("first_token_target_ms", value.first_token_target, {0, k_day_ms});
  reader.optional().read("total_target_ms", value.total_target, {0, k_day_ms});
  reader.optional().read("worth", value.worth);
  reader.optional().read("floor", value.floor);
}

void read_model(table_reader& reader, model& value) {
  reader.read("name", value.name);
  reader.optional().read("layers", value.layers, {1U, k_max_count});
  reader.optional().read("experts", value.experts, {1U, k_max_count});
  reader.optional().read("expert_bytes", value.expert_bytes,
                         {std::uint64_t{0}, std::numeric_limits<std::uint64_t>::max()});
  reader.optional().read("max_tokens", value.max_tokens, {1U, k_max_count});
}

void read_group(table_reader& reader, group& value) {
  reader.read("name", value.name);
  reader.read("model", value.model);
  reader.read("ranks", value.ranks, {1U, k_max_ranks});
}

void read_service(table_reader& reader, service& value, diagnostics& faults) {
  reader.read("name", value.name);
  for (const toml::table* table : reader.tables("rule")) {
    table_reader rule_reader(*table, "service.rule.", faults);
    service_rule rule;
    rule_reader.read("method", rule.method);
    rule_reader.read("path_prefix", rule.path_prefix);
    rule_reader.read("repeatable", rule.repeatable);
    rule_reader.finish();
    value.rules.push_back(std::move(rule));
  }
}

void read_workspace(table_reader& reader, workspace& value) {
  reader.read("name", value.name);
  reader.read("key_sha256", value.key_sha256);
  reader.optional().read("share", value.share);
  reader.read("classes", value.classes);
  reader.read("default_class", value.default_class);
}

void read_upstream(table_reader& reader, upstream& value) {
  reader.read("name", value.name);
  reader.read("host", value.host);
  std::string kind;
  reader.read("kind", kind);
  if (kind == "service") {
    value.kind = upstream_kind::service;
    reader.read("service", value.model_or_service);
  } else {
    reader.read("model", value.model_or_service);
  }
  if (!kind.empty() && kind != "engine" && kind != "service") {
    reader.add_error("kind", "must be \"engine\" or \"service\"");
  }
  reader.optional().read("group", value.group);
  reader.optional().read("rank", value.rank, {0U, k_max_ranks});
  reader.read("slots", value.slots, {1U, k_max_count});
  reader.optional().read("checks_fencing", value.checks_fencing);
}

template <class entity, class function>
void read_all(table_reader& root, std::string_view key, std::vector<entity>& list,
              std::vector<entity_lines>& lines, diagnostics& faults, function read_one) {
  for (const toml::table* table : root.tables(key)) {
    table_reader reader(*table, std::string(key) + ".", faults);
    entity value;
    read_one(reader, value);
    reader.finish();
    list.push_back(std::move(value));
    lines.push_back(reader.lines());
  }
}

}  // namespace

std::string to_string(const diagnostic& value) {
  return value.file + ":" + std::to_string(value.line) + ": " + (value.key.empty() ? "" : value.key + ": ") +
         value.message;
}

parsed_manifest parse_manifest(std::string_view text, std::string_view file) {
  diagnostics faults{.file = std::string(file), .errors = {}};
  parsed_manifest parsed;
  manifest& value = parsed.value;
  if (const auto table = parse_toml(text, k_max_manifest_bytes, faults)) {
    manifest_lines lines;
    table_reader root(*table, "", faults);
    read_all(root, "priority_class", value.classes, lines.classes, faults, read_class);
    read_all(root, "model", value.models, lines.models, faults, read_model);
    read_all(root, "group", value.groups, lines.groups, faults, read_group);
    read_all(root, "service", value.services, lines.services, faults,
             [&faults](table_reader& reader, service& one) { read_service(reader, one, faults); });
    read_all(root, "workspace", value.workspaces, lines.workspaces, faults, read_workspace);
    read_all(root, "upstream", value.upstreams, lines.upstreams, faults, read_upstream);
    root.finish();
    // A key that could not be read has been reported; the checks would only see its default.
    std::set<std::pair<std::uint32_t, std::string>> unread;
    for (const diagnostic& fault : faults.errors) {
      unread.emplace(fault.line, fault.key);
    }
    for (diagnostic& fault : check(value, lines, faults.file)) {
      if (!unread.contains({fault.line, fault.key})) {
        faults.errors.push_back(std::move(fault));
      }
    }
  }
  parsed.errors = std::move(faults.errors);
  return parsed;
}

}  // namespace cuminpath::config
