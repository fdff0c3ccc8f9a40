#include "core/gateway/mirror.h"

#include <algorithm>

#include "core/common/json.h"

namespace cuminpath::gateway {

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

std::string mirror::snapshot() const {
  json all = json::object();
  for (const auto& [name, held] : m_collections) {
    json rows = json::array();
    for (const auto& [key, value] : held.content) {
      rows.push_back({key, value.version, value.bytes});
    }
    all[name] = {held.version, held.changed_at, std::move(rows)};
  }
  std::string bytes;
  json::to_msgpack(all, bytes);
  return bytes;
}

result<bool> mirror::merge(std::string_view bytes) {
  const json all = json::from_msgpack(bytes, true, false);
  if (!all.is_object()) {
    return make_error(error_code::invalid_input, "not a mirror");
  }
  bool changed = false;
  try {
    for (const auto& [name, held] : all.items()) {
      const auto version = held.at(0).get<std::uint64_t>();
      const auto changed_at = held.at(1).get<std::uint64_t>();
      collection_state& target = state(name);
      if (version <= target.version) {
        continue;
      }
      documents content;
      for (const json& row : held.at(2)) {
        content.insert_or_assign(row.at(0).get<std::string>(),
                                 document{row.at(1).get<std::uint64_t>(), row.at(2).get<std::string>()});
      }
      changed = changed || content != target.content;
      target.content = std::move(content);
      target.version = version;
      target.changed_at = std::max(target.changed_at, changed_at);
      m_content_version = std::max(m_content_version, changed_at);
    }
  } catch (const json::exception& failure) {
    return make_error(error_code::invalid_input, failure.what());
  }
  return changed;
}

}  // namespace cuminpath::gateway
