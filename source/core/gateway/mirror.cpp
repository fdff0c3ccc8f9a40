#include "core/gateway/mirror.h"

#include <algorithm>

#include "core/common/json.h"

namespace cuminpath::gateway {
namespace {

// Maximum number of removals that a collection stores for gateways that lag behind; gateways that lag further
// receive the whole collection.
constexpr std::size_t k_max_removals = 200;

}  // namespace

std::string encode_versions(const collection_versions& versions) {
  std::string bytes;
  json::to_msgpack(json(versions), bytes);
  return bytes;
}

result<collection_versions> decode_versions(std::string_view bytes) {
  collection_versions versions;
  if (bytes.empty()) {
    return versions;
  }
  const auto document = parse_msgpack(bytes);
  if (!document || !document.value().is_object()) {
    return make_error(error_code::invalid_input, "not versions of collections");
  }
  for (const auto& [name, version] : document.value().items()) {
    if (!version.is_number_unsigned()) {
      return make_error(error_code::invalid_input, "version of a collection is no number");
    }
    versions.emplace(name, version.get<std::uint64_t>());
  }
  return versions;
}

void mirror::collection_state::forget_removals(std::uint64_t up_to) {
  removals.clear();
  removals_since = up_to;
}

void mirror::collection_state::remember_removal(std::string_view key, std::uint64_t at) {
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
  if (value.version <= target.version) {
    return;  // The content that replaced the collection includes this change.
  }
  const auto known = target.content.find(key);
  if (known != target.content.end() && known->second.version >= value.version) {
    return;
  }
  target.last_change_version = std::max(target.last_change_version, value.version);
  target.content.insert_or_assign(std::string(key), std::move(value));
}

void mirror::remove(std::string_view collection, std::string_view key, std::uint64_t version) {
  collection_state& target = state(collection);
  const auto known = target.content.find(key);
  if (version <= target.version || known == target.content.end() || known->second.version > version) {
    return;
  }
  target.content.erase(known);
  target.remember_removal(key, version);
  target.last_change_version = std::max(target.last_change_version, version);
}

void mirror::replace(std::string_view collection, documents content, std::uint64_t version) {
  collection_state& target = state(collection);
  if (version < target.version) {
    return;  // A stale read: the known content is newer.
  }
  if (content != target.content) {
    target.content = std::move(content);
    std::uint64_t newest = target.last_change_version;
    for (const auto& [key, value] : target.content) {
      newest = std::max(newest, value.version);
    }
    // A removal leaves no document behind, so the version of the read is used for it.
    target.last_change_version = newest == target.last_change_version ? version : newest;
  }
  if (version > target.version) {
    // Rows that were added and removed between the two reads are not known.
    target.forget_removals(version);
  }
  target.version = version;
}

void mirror::advance(std::string_view collection, std::uint64_t version) {
  collection_state& target = state(collection);
  target.version = std::max(target.version, version);
}

const mirror::documents& mirror::collection(std::string_view name) const {
  static const documents s_empty;
  const auto found = m_collections.find(name);
  return found == m_collections.end() ? s_empty : found->second.content;
}

std::uint64_t mirror::version(std::string_view collection) const {
  const auto found = m_collections.find(collection);
  return found == m_collections.end() ? 0 : found->second.version;
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
    sum += current.last_change_version;
  }
  return sum;
}

mirror::change_set mirror::changes_of(const collection_state& current, std::uint64_t known) {
  change_set changes{.version = current.version, .last_change_version = current.last_change_version};
  if (known == 0 || known < current.removals_since) {
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
    const auto changes = changes_of(current, known_version == known.end() ? 0 : known_version->second);
    json rows = json::array();
    for (const auto& [key, value] : changes.content) {
      rows.push_back({key, value.version, value.bytes});
    }
    json removals = json::array();
    for (const auto& [key, version] : changes.removals) {
      removals.push_back({key, version});
    }
    all[name] = {changes.version, changes.last_change_version, changes.base, std::move(rows),
                 std::move(removals)};
  }
  std::string bytes;
  json::to_msgpack(all, bytes);
  return bytes;
}

bool mirror::merge_into(collection_state& target, change_set newer) {
  // A collection that is complete up to that version already contains the change, even if it recorded a
  // different version as its newest change.
  target.last_change_version = std::max(target.last_change_version, newer.last_change_version);
  if (newer.version <= target.version || newer.base > target.version) {
    return false;
  }
  bool changed = false;
  if (newer.base == 0) {
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
      if (known != target.content.end() && known->second.version < version) {
        target.content.erase(known);
        target.remember_removal(key, version);
        changed = true;
      }
    }
  }
  target.version = newer.version;
  return changed;
}

result<bool> mirror::merge(std::string_view bytes) {
  const auto all = parse_msgpack(bytes);
  if (!all || !all.value().is_object()) {
    return make_error(error_code::invalid_input, "not a mirror");
  }
  bool changed = false;
  try {
    for (const auto& [name, encoded] : all.value().items()) {
      change_set newer{.version = encoded.at(0).get<std::uint64_t>(),
                       .last_change_version = encoded.at(1).get<std::uint64_t>(),
                       .base = encoded.at(2).get<std::uint64_t>()};
      for (const json& row : encoded.at(3)) {
        newer.content.insert_or_assign(row.at(0).get<std::string>(), document{row.at(1).get<std::uint64_t>(),
                                                                              row.at(2).get<std::string>()});
      }
      for (const json& row : encoded.at(4)) {
        newer.removals.insert_or_assign(row.at(0).get<std::string>(), row.at(1).get<std::uint64_t>());
      }
      collection_state& target = state(name);
      changed = merge_into(target, std::move(newer)) || changed;
    }
  } catch (const json::exception& failure) {
    return make_error(error_code::invalid_input, failure.what());
  }
  return changed;
}

}  // namespace cuminpath::gateway
