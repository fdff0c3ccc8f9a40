#include "core/gateway/mirror.h"

#include <algorithm>

#include "core/common/json.h"

namespace cuminpath::gateway {
namespace {

// Maximum number of removals that a collection stores for gateways that lag behind; gateways that lag further
// receive the whole collection.
constexpr std::size_t k_max_removals = 200;
// Before the name of a collection, marks the entry with its era. Gateways of a release without eras take it
// for a collection that they do not have.
constexpr std::string_view k_era_prefix = "era:";

}  // namespace

bool lacks_changes(const collection_versions& known, const collection_versions& newest) {
  return std::any_of(newest.begin(), newest.end(), [&](const auto& named) {
    const auto found = known.find(named.first);
    return named.second > (found == known.end() ? store_version{} : found->second);
  });
}

std::string encode_versions(const collection_versions& versions) {
  json document = json::object();
  for (const auto& [name, version] : versions) {
    document[name] = version.number;
    document[std::string(k_era_prefix) + name] = version.era;
  }
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

result<collection_versions> decode_versions(std::string_view bytes) {
  collection_versions versions;
  if (bytes.empty()) {
    return versions;
  }
  const auto document = parse_msgpack(bytes);
  if (!document) {
    return document.error();
  }
  if (!document.value().is_object()) {
    return make_error(error_code::invalid_input, "not versions of collections");
  }
  for (const auto& [name, value] : document.value().items()) {
    if (!value.is_number_unsigned()) {
      return make_error(error_code::invalid_input, "version of a collection is no number");
    }
    const bool is_era = name.starts_with(k_era_prefix);
    auto& version = versions
                        .try_emplace(is_era ? name.substr(k_era_prefix.size()) : name,
                                     store_version{.era = k_era_not_stated})
                        .first->second;
    (is_era ? version.era : version.number) = value.get<std::uint64_t>();
  }
  return versions;
}

void mirror::collection_state::forget_removals(store_version up_to) {
  removals.clear();
  removals_since = up_to;
}

void mirror::collection_state::remember_removal(std::string_view key, store_version at) {
  removals.insert_or_assign(std::string(key), at);
  if (removals.size() > k_max_removals) {
    const auto oldest = std::min_element(removals.begin(), removals.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    removals_since = std::max(removals_since, oldest->second);
    removals.erase(oldest);
  }
}

mirror::collection_state& mirror::state(std::string_view name) {
  const auto found = m_collections.find(name);
  return found != m_collections.end() ? found->second : m_collections[std::string(name)];
}

void mirror::put(std::string_view collection, std::string_view key, document value) {
  collection_state& target = state(collection);
  if (value.version.era != target.version.era || value.version <= target.version) {
    return;  // The content refers to other changes, or includes this one.
  }
  const auto known = target.content.find(key);
  if (known != target.content.end() && known->second.version >= value.version) {
    return;
  }
  target.last_change_version = std::max(target.last_change_version, value.version);
  target.content.insert_or_assign(std::string(key), std::move(value));
}

void mirror::remove(std::string_view collection, std::string_view key, store_version version) {
  collection_state& target = state(collection);
  const auto known = target.content.find(key);
  if (version.era != target.version.era || version <= target.version ||
      (known != target.content.end() && known->second.version > version)) {
    return;
  }
  if (known != target.content.end()) {
    target.content.erase(known);
  }
  // Others may have seen a row that came and went between two reads of this mirror.
  target.remember_removal(key, version);
  target.last_change_version = std::max(target.last_change_version, version);
}

bool mirror::replace(std::string_view collection, documents content, store_version version) {
  collection_state& target = state(collection);
  if (version < target.version) {
    return false;
  }
  if (content != target.content) {
    target.content = std::move(content);
    store_version newest = target.last_change_version;
    for (const auto& [key, value] : target.content) {
      newest = std::max(newest, value.version);
    }
    // A removal leaves no document behind, so the version of the read is used for it. In a new era, any row
    // may have been removed.
    const bool may_hide_removal = newest == target.last_change_version ||
                                  (target.version != store_version{} && version.era > target.version.era);
    target.last_change_version = may_hide_removal ? version : newest;
  }
  if (target.last_change_version.era < version.era) {
    // Empty before and after, but others may have seen a row in between.
    target.last_change_version =
        target.version == store_version{} ? store_version{.era = version.era} : version;
  }
  if (version > target.version) {
    // Rows that were added and removed between the two reads are not known.
    target.forget_removals(version);
  }
  target.version = version;
  return true;
}

void mirror::advance(std::string_view collection, store_version version) {
  collection_state& target = state(collection);
  if (version.era == target.version.era) {
    target.version = std::max(target.version, version);
  }
}

const mirror::documents& mirror::collection(std::string_view name) const {
  static const documents s_empty;
  const auto found = m_collections.find(name);
  return found == m_collections.end() ? s_empty : found->second.content;
}

store_version mirror::version(std::string_view collection) const {
  const auto found = m_collections.find(collection);
  return found == m_collections.end() ? store_version{} : found->second.version;
}

std::uint64_t mirror::era() const {
  std::uint64_t highest = 0;
  for (const auto& [name, current] : m_collections) {
    highest = std::max(highest, current.version.era);
  }
  return highest;
}

collection_versions mirror::known_versions() const {
  collection_versions known;
  for (const auto& [name, current] : m_collections) {
    known.emplace(name, current.version);
  }
  return known;
}

std::uint64_t mirror::content_version() const {
  std::uint64_t sum = 0;
  for (const auto& [name, current] : m_collections) {
    sum += current.last_change_version.number;
  }
  return sum;
}

collection_versions mirror::newest_changes() const {
  collection_versions newest;
  for (const auto& [name, current] : m_collections) {
    if (current.last_change_version != store_version{}) {
      newest.emplace(name, current.last_change_version);
    }
  }
  return newest;
}

bool mirror::learn_newest_changes(const collection_versions& others) {
  bool learned = false;
  for (const auto& [name, newest] : others) {
    const auto found = m_collections.find(name);
    if (found != m_collections.end() && newest <= found->second.version &&
        newest > found->second.last_change_version) {
      found->second.last_change_version = newest;
      learned = true;
    }
  }
  return learned;
}

mirror::change_set mirror::changes_of(const collection_state& current, store_version known) {
  if (known.era == k_era_not_stated) {
    known.era = current.version.era;
  }
  change_set changes{.version = current.version, .last_change_version = current.last_change_version};
  if (known.number == 0 || known.era != current.version.era || known < current.removals_since) {
    changes.content = current.content;
    return changes;
  }
  changes.base = known;
  for (const auto& [key, value] : current.content) {
    if (value.version > known) {
      changes.content.emplace(key, value);
    }
  }
  for (const auto& [key, version] : current.removals) {
    if (version > known) {
      changes.removals.emplace(key, version);
    }
  }
  return changes;
}

std::string mirror::changes_since(const collection_versions& known) const {
  json all = json::object();
  for (const auto& [name, current] : m_collections) {
    const auto known_version = known.find(name);
    all[name] =
        encode(changes_of(current, known_version == known.end() ? store_version{} : known_version->second));
  }
  std::string bytes;
  json::to_msgpack(all, bytes);
  return bytes;
}

// Gateways of a release without eras ignore the era, which comes last.
json mirror::encode(const change_set& changes) {
  json rows = json::array();
  for (const auto& [key, value] : changes.content) {
    rows.push_back({key, value.version.number, value.bytes});
  }
  json removals = json::array();
  for (const auto& [key, version] : changes.removals) {
    removals.push_back({key, version.number});
  }
  return json::array({changes.version.number, changes.last_change_version.number,
                      changes.base.value_or(store_version{}).number, std::move(rows), std::move(removals),
                      changes.version.era});
}

mirror::change_set mirror::decode(const json& encoded) {
  const std::uint64_t era = encoded.size() > 5 ? encoded.at(5).get<std::uint64_t>() : 0;
  const auto version = [era](const json& number) { return store_version{era, number.get<std::uint64_t>()}; };
  change_set changes{.version = version(encoded.at(0)), .last_change_version = version(encoded.at(1))};
  if (const auto base = version(encoded.at(2)); base.number != 0) {
    changes.base = base;
  }
  for (const json& row : encoded.at(3)) {
    changes.content.insert_or_assign(row.at(0).get<std::string>(),
                                     document{version(row.at(1)), row.at(2).get<std::string>()});
  }
  for (const json& row : encoded.at(4)) {
    changes.removals.insert_or_assign(row.at(0).get<std::string>(), version(row.at(1)));
  }
  return changes;
}

bool mirror::merge_into(collection_state& target, change_set newer) {
  if (newer.base > target.version) {
    return false;
  }
  // A collection that is complete up to that version already contains the change, even if it recorded a
  // different version as its newest change.
  target.last_change_version = std::max(target.last_change_version, newer.last_change_version);
  if (newer.version <= target.version) {
    return false;
  }
  bool changed = false;
  if (!newer.base) {
    changed = newer.content != target.content;
    target.content = std::move(newer.content);
    target.forget_removals(newer.version);
  } else {
    for (auto& [key, value] : newer.content) {
      changed = changed || value.version > target.version;
      target.content.insert_or_assign(key, std::move(value));
    }
    for (const auto& [key, version] : newer.removals) {
      const auto known = target.content.find(key);
      if (known != target.content.end() && known->second.version > version) {
        continue;
      }
      target.remember_removal(key, version);
      if (known != target.content.end()) {
        target.content.erase(known);
        changed = true;
      }
    }
  }
  target.version = newer.version;
  return changed;
}

result<bool> mirror::merge(std::string_view bytes) {
  const auto all = parse_msgpack(bytes);
  if (!all) {
    return all.error();
  }
  if (!all.value().is_object()) {
    return make_error(error_code::invalid_input, "not a mirror");
  }
  bool changed = false;
  try {
    for (const auto& [name, encoded] : all.value().items()) {
      changed = merge_into(state(name), decode(encoded)) || changed;
    }
  } catch (const json::exception& failure) {
    return make_error(error_code::invalid_input, failure.what());
  }
  return changed;
}

}  // namespace cuminpath::gateway
