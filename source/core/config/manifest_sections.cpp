#include <algorithm>
#include <array>
#include <tuple>

#include "core/common/hash.h"
#include "core/config/manifest_checks.h"
#include "core/config/manifest_parser.h"
#include "core/config/manifest_rows.h"

namespace cuminpath::config {
namespace {

// Incremented when older processes must not read the index. Unknown keys are ignored and need no new version.
constexpr int k_index_format = 1;

// With 12,000 upstreams, a section has about 47 rows (5 KB) and the index 20 KB. Fewer buckets make the
// sections larger and more buckets make the index larger; each change transfers one section and the index.
constexpr std::size_t k_upstream_buckets = 256;
constexpr std::size_t k_workspace_buckets = 32;

// Omits the fields that have their default value, which reduces the size of the sections by about half.
template <class entity>
json to_compact_row(const entity& value) {
  json row = to_row(value);
  const json defaults = to_row(entity{});
  for (const auto& [key, initial] : defaults.items()) {
    if (row.at(key) == initial) {
      row.erase(key);
    }
  }
  return row;
}

template <class entity>
std::vector<const entity*> sorted_by_name(const std::vector<entity>& list) {
  std::vector<const entity*> sorted;
  sorted.reserve(list.size());
  for (const entity& value : list) {
    sorted.push_back(&value);
  }
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const entity* a, const entity* b) { return a->name < b->name; });
  return sorted;
}

std::string add_section(sections& target, const json& rows) {
  std::string text = rows.dump();
  std::string digest = sha256_hex(text);
  target.contents.emplace(digest, std::move(text));
  return digest;
}

template <class entity>
std::string add_list(sections& target, const std::vector<entity>& list) {
  json rows = json::array();
  for (const entity* value : sorted_by_name(list)) {
    rows.push_back(to_compact_row(*value));
  }
  return add_section(target, rows);
}

template <class entity>
json add_buckets(sections& target, const std::vector<entity>& list, std::size_t buckets) {
  std::vector<json> rows(buckets, json::array());
  for (const entity* value : sorted_by_name(list)) {
    rows[hash64(value->name) % buckets].push_back(to_compact_row(*value));
  }
  json digests = json::array();
  for (const json& bucket : rows) {
    digests.push_back(bucket.empty() ? std::string() : add_section(target, bucket));
  }
  return digests;
}

// Reads members of a JSON object. A field whose member is absent keeps its default; a member of a wrong type
// makes valid() return false.
class row_reader {
public:
  explicit row_reader(const json& row) : m_row(row), m_valid(row.is_object()) {}

  [[nodiscard]] bool valid() const { return m_valid; }

  void read(const char* key, std::string& field) {
    if (const json* value = find(key, &json::is_string)) {
      field = value->get_ref<const std::string&>();
    }
  }
  void read(const char* key, bool& field) {
    if (const json* value = find(key, &json::is_boolean)) {
      field = value->get<bool>();
    }
  }
  void read(const char* key, double& field) {
    if (const json* value = find(key, &json::is_number)) {
      field = value->get<double>();
    }
  }
  template <std::unsigned_integral integer>
  void read(const char* key, integer& field) {
    if (const json* value = find(key, &json::is_number_unsigned)) {
      const auto number = value->get<std::uint64_t>();
      m_valid = m_valid && number <= std::numeric_limits<integer>::max();
      field = static_cast<integer>(number);
    }
  }
  void read(const char* key, milliseconds& field) {
    auto count = static_cast<std::uint32_t>(field.count());
    read(key, count);
    field = milliseconds(count);
  }
  void read(const char* key, std::vector<std::string>& field) {
    if (const json* value = find(key, &json::is_array)) {
      for (const json& item : *value) {
        m_valid = m_valid && item.is_string();
        field.push_back(item.is_string() ? item.get<std::string>() : std::string());
      }
    }
  }
  [[nodiscard]] const json* list(const char* key) { return find(key, &json::is_array); }
  void mark_invalid() { m_valid = false; }

private:
  const json* find(const char* key, bool (json::*has_type)() const noexcept) {
    if (!m_valid) {
      return nullptr;
    }
    const auto found = m_row.find(key);
    if (found == m_row.end()) {
      return nullptr;
    }
    m_valid = ((*found).*has_type)();
    return m_valid ? &*found : nullptr;
  }

  const json& m_row;
  bool m_valid;
};

void from_row(row_reader& reader, priority_class& value) {
  reader.read("name", value.name);
  reader.read("rank", value.priority);
  reader.read("first_token_target_ms", value.first_token_target);
  reader.read("total_target_ms", value.total_target);
  reader.read("worth", value.worth);
  reader.read("floor", value.floor);
}

void from_row(row_reader& reader, model& value) {
  reader.read("name", value.name);
  reader.read("layers", value.layers);
  reader.read("experts", value.experts);
  reader.read("expert_bytes", value.expert_bytes);
  reader.read("max_tokens", value.max_tokens);
}

void from_row(row_reader& reader, group& value) {
  reader.read("name", value.name);
  reader.read("model", value.model);
  reader.read("ranks", value.ranks);
}

void from_row(row_reader& reader, service& value) {
  reader.read("name", value.name);
  if (const json* rules = reader.list("rules")) {
    for (const json& row : *rules) {
      row_reader rule_reader(row);
      service_rule rule;
      rule_reader.read("method", rule.method);
      rule_reader.read("path_prefix", rule.path_prefix);
      rule_reader.read("repeatable", rule.repeatable);
      if (!rule_reader.valid()) {
        reader.mark_invalid();
      }
      value.rules.push_back(std::move(rule));
    }
  }
}

void from_row(row_reader& reader, workspace& value) {
  reader.read("name", value.name);
  reader.read("key_sha256", value.key_sha256);
  reader.read("share", value.share);
  reader.read("classes", value.classes);
  reader.read("default_class", value.default_class);
}

void from_row(row_reader& reader, upstream& value) {
  reader.read("name", value.name);
  reader.read("host", value.host);
  std::string kind = "engine";
  reader.read("kind", kind);
  if (kind != "engine" && kind != "service") {
    reader.mark_invalid();
  }
  value.kind = kind == "service" ? upstream_kind::service : upstream_kind::engine;
  reader.read("serves", value.model_or_service);
  reader.read("group", value.group);
  reader.read("rank", value.rank);
  reader.read("slots", value.slots);
  reader.read("checks_fencing", value.checks_fencing);
}

using contents_map = std::map<std::string, std::string>;

template <class entity>
using parsed_sections = std::map<std::string, std::vector<entity>>;  // Rows of each section, by digest.

using section_cache =
    std::tuple<parsed_sections<priority_class>, parsed_sections<model>, parsed_sections<group>,
               parsed_sections<service>, parsed_sections<workspace>, parsed_sections<upstream>>;

template <class entity>
result<std::vector<entity>> parse_section(const std::string& digest, const contents_map& contents) {
  const auto found = contents.find(digest);
  if (found == contents.end()) {
    return make_error(error_code::not_found, "section " + digest + " is missing");
  }
  if (sha256_hex(found->second) != digest) {
    return make_error(error_code::invalid_input, "section " + digest + " does not match its digest");
  }
  const auto rows = parse_json(found->second);
  if (!rows || !rows.value().is_array()) {
    return make_error(error_code::invalid_input, "section " + digest + " is not a JSON array");
  }
  std::vector<entity> list;
  list.reserve(rows.value().size());
  for (const json& row : rows.value()) {
    row_reader reader(row);
    entity value;
    from_row(reader, value);
    if (!reader.valid()) {
      return make_error(error_code::invalid_input, "section " + digest + " has a malformed row");
    }
    list.push_back(std::move(value));
  }
  return list;
}

// Loads the lists of one manifest. Sections that the cache of the previous manifest holds are moved from
// there, others are parsed; both end up in the cache of the current manifest.
class section_loader {
public:
  section_loader(const contents_map& contents, section_cache& previous, section_cache& current)
      : m_contents(contents), m_previous(previous), m_current(current) {}

  // `digests` is one digest, or an array with the digest of each bucket. The loaded list is ordered by name.
  template <class entity>
  result<void> load(const json& digests, std::vector<entity>& list) {
    std::vector<const entity*> rows;
    for (const json& digest : digests.is_array() ? digests : json::array({digests})) {
      const auto& text = digest.get_ref<const std::string&>();
      if (text.empty()) {
        continue;
      }
      const auto section = find<entity>(text);
      if (!section) {
        return section.error();
      }
      for (const entity& row : *section.value()) {
        rows.push_back(&row);
      }
    }
    std::stable_sort(rows.begin(), rows.end(),
                     [](const entity* a, const entity* b) { return a->name < b->name; });
    list.reserve(rows.size());
    for (const entity* row : rows) {
      list.push_back(*row);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

private:
  template <class entity>
  result<const std::vector<entity>*> find(const std::string& digest) {
    auto& current = std::get<parsed_sections<entity>>(m_current);
    if (const auto found = current.find(digest); found != current.end()) {
      return &found->second;
    }
    if (auto node = std::get<parsed_sections<entity>>(m_previous).extract(digest)) {
      return &current.insert(std::move(node)).position->second;
    }
    auto parsed = parse_section<entity>(digest, m_contents);
    if (!parsed) {
      return parsed.error();
    }
    return &current.emplace(digest, std::move(parsed.value())).first->second;
  }

  const contents_map& m_contents;
  section_cache& m_previous;
  section_cache& m_current;
};

constexpr std::array<const char*, 4> k_single_sections{"classes", "models", "groups", "services"};
constexpr std::array<const char*, 2> k_bucketed_sections{"workspaces", "upstreams"};

bool valid_index(const json& index) {
  if (!index.is_object() || index.value("format", json()) != k_index_format) {
    return false;
  }
  const auto is_digest = [](const json& value) {
    return value.is_string() && is_sha256(value.get_ref<const std::string&>());
  };
  const auto is_bucket = [&](const json& value) {
    return is_digest(value) || (value.is_string() && value.get_ref<const std::string&>().empty());
  };
  return std::all_of(k_single_sections.begin(), k_single_sections.end(),
                     [&](const char* name) { return index.contains(name) && is_digest(index[name]); }) &&
         std::all_of(k_bucketed_sections.begin(), k_bucketed_sections.end(), [&](const char* name) {
           return index.contains(name) && index[name].is_array() &&
                  std::all_of(index[name].begin(), index[name].end(), is_bucket);
         });
}

result<json> parse_index(std::string_view text) {
  // Twice the size of an index in which every bucket is used.
  constexpr std::size_t k_max_index_bytes = 64U << 10U;
  if (text.size() > k_max_index_bytes) {
    return make_error(error_code::invalid_input, "oversized index");
  }
  auto index = parse_json(text);
  if (!index) {
    return index;
  }
  if (!valid_index(index.value())) {
    return make_error(error_code::invalid_input, "malformed index");
  }
  return index;
}

}  // namespace

json to_row(const priority_class& value) {
  return {{"name", value.name},
          {"rank", value.priority},
          {"first_token_target_ms", value.first_token_target.count()},
          {"total_target_ms", value.total_target.count()},
          {"worth", value.worth},
          {"floor", value.floor}};
}

json to_row(const model& value) {
  return {{"name", value.name},
          {"layers", value.layers},
          {"experts", value.experts},
          {"expert_bytes", value.expert_bytes},
          {"max_tokens", value.max_tokens}};
}

json to_row(const group& value) {
  return {{"name", value.name}, {"model", value.model}, {"ranks", value.ranks}};
}

json to_row(const service& value) {
  json rules = json::array();
  for (const service_rule& rule : value.rules) {
    rules.push_back(
        {{"method", rule.method}, {"path_prefix", rule.path_prefix}, {"repeatable", rule.repeatable}});
  }
  return {{"name", value.name}, {"rules", std::move(rules)}};
}

json to_row(const workspace& value) {
  return {{"name", value.name},
          {"key_sha256", value.key_sha256},
          {"share", value.share},
          {"classes", value.classes},
          {"default_class", value.default_class}};
}

json to_row(const upstream& value) {
  return {{"name", value.name},
          {"host", value.host},
          {"kind", value.kind == upstream_kind::engine ? "engine" : "service"},
          {"serves", value.model_or_service},
          {"group", value.group},
          {"rank", value.rank},
          {"slots", value.slots},
          {"checks_fencing", value.checks_fencing}};
}

sections split_into_sections(const manifest& value) {
  sections parts;
  const json index = {{"format", k_index_format},
                      {"classes", add_list(parts, value.classes)},
                      {"models", add_list(parts, value.models)},
                      {"groups", add_list(parts, value.groups)},
                      {"services", add_list(parts, value.services)},
                      {"workspaces", add_buckets(parts, value.workspaces, k_workspace_buckets)},
                      {"upstreams", add_buckets(parts, value.upstreams, k_upstream_buckets)}};
  parts.index = index.dump();
  return parts;
}

result<std::vector<std::string>> referenced_digests(std::string_view index) {
  const auto parsed = parse_index(index);
  if (!parsed) {
    return parsed.error();
  }
  std::vector<std::string> digests;
  digests.reserve(k_single_sections.size() + k_upstream_buckets + k_workspace_buckets);
  for (const char* name : k_single_sections) {
    digests.push_back(parsed.value()[name].get<std::string>());
  }
  for (const char* name : k_bucketed_sections) {
    for (const json& digest : parsed.value()[name]) {
      if (!digest.get_ref<const std::string&>().empty()) {
        digests.push_back(digest.get<std::string>());
      }
    }
  }
  std::sort(digests.begin(), digests.end());
  digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
  return digests;
}

class manifest_joiner::impl {
public:
  result<manifest> join(std::string_view index, const contents_map& contents) {
    const auto parsed = parse_index(index);
    if (!parsed) {
      return parsed.error();
    }
    const json& names = parsed.value();
    section_cache current;
    section_loader loader(contents, m_cache, current);
    manifest value;
    const std::array<result<void>, 6> loaded{
        loader.load(names["classes"], value.classes),       loader.load(names["models"], value.models),
        loader.load(names["groups"], value.groups),         loader.load(names["services"], value.services),
        loader.load(names["workspaces"], value.workspaces), loader.load(names["upstreams"], value.upstreams)};
    m_cache = std::move(current);
    for (const result<void>& outcome : loaded) {
      if (!outcome) {
        return outcome.error();
      }
    }
    if (const auto diagnostics = check(value, {}, "index"); !diagnostics.empty()) {
      return make_error(error_code::invalid_input, to_string(diagnostics.front()));
    }
    return value;
  }

private:
  section_cache m_cache;
};

manifest_joiner::manifest_joiner() : m_impl(std::make_unique<impl>()) {}
manifest_joiner::~manifest_joiner() = default;
manifest_joiner::manifest_joiner(manifest_joiner&&) noexcept = default;
manifest_joiner& manifest_joiner::operator=(manifest_joiner&&) noexcept = default;

result<manifest> manifest_joiner::join(std::string_view index, const contents_map& contents) {
  return m_impl->join(index, contents);
}

result<manifest> join_sections(std::string_view index, const std::map<std::string, std::string>& contents) {
  return manifest_joiner().join(index, contents);
}

}  // namespace cuminpath::config
