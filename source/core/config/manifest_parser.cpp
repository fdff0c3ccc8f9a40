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

void read_service(table_reader& reader, service& value, diagnostic_list& diagnostics) {
  reader.read("name", value.name);
  for (const toml::table* table : reader.tables("rule")) {
    table_reader rule_reader(*table, "service.rule.", diagnostics);
    service_rule rule;
    rule_reader.read("method", rule.method);
    rule_reader.read("path_prefix", rule.path_prefix);
    rule_reader.read("repeatable", rule.repeatable);
    rule_reader.report_unknown_keys();
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
              std::vector<entity_lines>& lines, diagnostic_list& diagnostics, function read_one) {
  for (const toml::table* table : root.tables(key)) {
    table_reader reader(*table, std::string(key) + ".", diagnostics);
    entity value;
    read_one(reader, value);
    reader.report_unknown_keys();
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
  diagnostic_list diagnostics{.file = std::string(file), .errors = {}};
  parsed_manifest parsed;
  manifest& value = parsed.value;
  if (const auto table = parse_toml(text, k_max_manifest_bytes, diagnostics)) {
    manifest_lines lines;
    table_reader root(*table, "", diagnostics);
    read_all(root, "priority_class", value.classes, lines.classes, diagnostics, read_class);
    read_all(root, "model", value.models, lines.models, diagnostics, read_model);
    read_all(root, "group", value.groups, lines.groups, diagnostics, read_group);
    read_all(
        root, "service", value.services, lines.services, diagnostics,
        [&diagnostics](table_reader& reader, service& item) { read_service(reader, item, diagnostics); });
    read_all(root, "workspace", value.workspaces, lines.workspaces, diagnostics, read_workspace);
    read_all(root, "upstream", value.upstreams, lines.upstreams, diagnostics, read_upstream);
    root.report_unknown_keys();
    // Skips check errors of keys that could not be read: these keys have been reported, and the checks only
    // saw their defaults.
    std::set<std::pair<std::uint32_t, std::string>> reported_keys;
    for (const diagnostic& reported : diagnostics.errors) {
      reported_keys.emplace(reported.line, reported.key);
    }
    for (diagnostic& found : check(value, lines, diagnostics.file)) {
      if (!reported_keys.contains({found.line, found.key})) {
        diagnostics.errors.push_back(std::move(found));
      }
    }
  }
  parsed.errors = std::move(diagnostics.errors);
  return parsed;
}

}  // namespace cuminpath::config
