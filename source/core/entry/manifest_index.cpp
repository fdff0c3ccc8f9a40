#include "core/entry/manifest_index.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace cuminpath::entry {
namespace {

template <class value_type>
const value_type* find_or_null(const std::unordered_map<std::string_view, const value_type*>& map,
                               std::string_view key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : found->second;
}

}  // namespace

manifest_index::manifest_index(configuration_version version,
                               std::shared_ptr<const config::manifest> manifest)
    : m_manifest(std::move(manifest)), m_version(version) {
  for (const auto& workspace : m_manifest->workspaces) {
    m_workspaces.emplace(workspace.name, &workspace);
    for (const auto& key : workspace.key_sha256) {
      m_keys.emplace(key, &workspace);
    }
  }
  for (const auto& model : m_manifest->models) {
    m_models.emplace(model.name, &model);
  }
  for (const auto& service : m_manifest->services) {
    m_services.emplace(service.name, &service);
  }
  bool first = true;
  for (const auto& priority_class : m_manifest->classes) {
    m_classes.emplace(priority_class.name, &priority_class);
    m_top_priority = first ? priority_class.priority : std::min(m_top_priority, priority_class.priority);
    first = false;
  }
}

const config::workspace* manifest_index::workspace_of_key(std::string_view key) const {
  return find_or_null(m_keys, sha256_hex(key));
}

const config::workspace* manifest_index::find_workspace(std::string_view name) const {
  return find_or_null(m_workspaces, name);
}

const config::model* manifest_index::find_model(std::string_view name) const {
  return find_or_null(m_models, name);
}

const config::service* manifest_index::find_service(std::string_view name) const {
  return find_or_null(m_services, name);
}

const config::priority_class* manifest_index::find_class(std::string_view name) const {
  return find_or_null(m_classes, name);
}

}  // namespace cuminpath::entry
