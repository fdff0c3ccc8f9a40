#include "core/gateway/mirror.h"

#include <algorithm>

#include "core/common/json.h"

namespace cuminpath::gateway {
namespace {

// Removals that a collection remembers for gateways that lag behind; those that lag further get all of it.
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
  const json document = json::from_msgpack(bytes, true, false);
  if (!document.is_object()) {
    return make_error(error_code::invalid_input, "not versions of collections");
  }
  for (const auto& [name, version] : document.items()) {
    if (!version.is_number_unsigned()) {
      return make_error(error_code::invalid_input, "version of a collection is no number");
    }
    versions.emplace(name, version.get<std::uint64_t>());
  }
  return versions;
}

void mirror::collection_state::forget_removals(std::uint64_t up_to) {
  removals.clear();
  removals_from = up_to;
}

void mirror::collection_state::remember_removal(std::string_view key, std::uint64_t at) {
  removals.insert_or_assign(std::string(key), at);
  if (removals.size() > k_max_removals) {
    const auto oldest = std::min_element(removals.begin(), removals.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    removals_from = std::max(removals_from, oldest->second);
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
    return;  // Part of what replaced the collection.
  }
  const auto known = target.content.find(key);
  if (known != target.content.end() && known->second.version >= value.version) {
    return;
  }
  target.changed_at = std::max(target.changed_at, value.version);
  m_content_version = std::max(m_content_version, value.version);
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
  target.changed_at = std::max(target.changed_at, version);
  m_content_version = std::max(m_content_version, version);
}

void mirror::replace(std::string_view collection, documents content, std::uint64_t version) {
  collection_state& target = state(collection);
  if (version < target.version) {
    return;  // A stale read; what is known is newer.
  }
  if (content != target.content) {
    target.content = std::move(content);
    std::uint64_t newest = target.changed_at;
    for (const auto& [key, value] : target.content) {
      newest = std::max(newest, value.version);
    }
    // A removal leaves no document behind; the version of the read stands for it.
    target.changed_at = newest == target.changed_at ? version : newest;
    m_content_version = std::max(m_content_version, target.changed_at);
  }
  if (version > target.version) {
    // Rows that came and went between the two reads are not known.
    target.forget_removals(version);
  }
  target.version = version;
}

void mirror::advance(std::string_view collection, std::uint64_t version) {
  collection_state& target = state(collection);
  target.version = std::max(target.version, version);
}

const mirror::documents& mirror::collection(std::string_view name) const {
  static const documents s_none;
  const auto found = m_collections.find(name);
  return found == m_collections.end() ? s_none : found->second.content;
}

std::uint64_t mirror::version(std::string_view collection) const {
  const auto found = m_collections.find(collection);
  return found == m_collections.end() ? 0 : found->second.version;
}

collection_versions mirror::known_versions() const {
  collection_versions known;
  for (const auto& [name, held] : m_collections) {
    known.emplace(name, held.version);
  }
  return known;
}

mirror::change_set mirror::changes_of(const collection_state& held, std::uint64_t known) {
  change_set changes{.version = held.version, .changed_at = held.changed_at};
  if (known == 0 || known < held.removals_from) {
    changes.content = held.content;
    return changes;
  }
  changes.base = known;
  for (const auto& [key, value] : held.content) {
    if (value.version > known) {
      changes.content.emplace(key, value);
    }
  }
  for (const auto& [key, version] : held.removals) {
    if (version > known) {
      changes.removals.emplace(key, version);
    }
  }
  return changes;
}

std::string mirror::changes_since(const collection_versions& known) const {
  json all = json::object();
  for (const auto& [name, held] : m_collections) {
    const auto theirs = known.find(name);
    const auto changes = changes_of(held, theirs == known.end() ? 0 : theirs->second);
    json rows = json::array();
    for (const auto& [key, value] : changes.content) {
      rows.push_back({key, value.version, value.bytes});
    }
    json removals = json::array();
    for (const auto& [key, version] : changes.removals) {
      removals.push_back({key, version});
    }
    all[name] = {changes.version, changes.changed_at, changes.base, std::move(rows), std::move(removals)};
  }
  std::string bytes;
  json::to_msgpack(all, bytes);
  return bytes;
}

bool mirror::merge_into(collection_state& target, change_set newer) {
  // Whoever is complete up to that version has the change already, whatever it took for its own newest one.
  target.changed_at = std::max(target.changed_at, newer.changed_at);
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
  const json all = json::from_msgpack(bytes, true, false);
  if (!all.is_object()) {
    return make_error(error_code::invalid_input, "not a mirror");
  }
  bool changed = false;
  try {
    for (const auto& [name, held] : all.items()) {
      change_set newer{.version = held.at(0).get<std::uint64_t>(),
                       .changed_at = held.at(1).get<std::uint64_t>(),
                       .base = held.at(2).get<std::uint64_t>()};
      for (const json& row : held.at(3)) {
        newer.content.insert_or_assign(row.at(0).get<std::string>(), document{row.at(1).get<std::uint64_t>(),
                                                                              row.at(2).get<std::string>()});
      }
      for (const json& row : held.at(4)) {
        newer.removals.insert_or_assign(row.at(0).get<std::string>(), row.at(1).get<std::uint64_t>());
      }
      collection_state& target = state(name);
      changed = merge_into(target, std::move(newer)) || changed;
      m_content_version = std::max(m_content_version, target.changed_at);
    }
  } catch (const json::exception& failure) {
    return make_error(error_code::invalid_input, failure.what());
  }
  return changed;
}

}  // namespace cuminpath::gateway
