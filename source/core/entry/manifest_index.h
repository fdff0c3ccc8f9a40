// An index of the manifest for the checks that an entry makes on each request.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/common/ids.h"
#include "core/config/manifest.h"

namespace cuminpath::entry {

class manifest_index {
public:
  manifest_index() = default;
  manifest_index(configuration_version version, std::shared_ptr<const config::manifest> manifest);

  [[nodiscard]] configuration_version version() const { return m_version; }
  [[nodiscard]] bool ready() const { return m_manifest != nullptr; }
  [[nodiscard]] const config::manifest& manifest() const { return *m_manifest; }

  // Returns the workspace that a key belongs to, or null if there is none. Keys are compared only by their
  // SHA-256 digests.
  [[nodiscard]] const config::workspace* workspace_of_key(std::string_view key) const;
  [[nodiscard]] const config::workspace* find_workspace(std::string_view name) const;
  [[nodiscard]] const config::model* find_model(std::string_view name) const;
  [[nodiscard]] const config::service* find_service(std::string_view name) const;
  [[nodiscard]] const config::priority_class* find_class(std::string_view name) const;
  // The priority of the most urgent class.
  [[nodiscard]] std::uint32_t top_priority() const { return m_top_priority; }

private:
  // The string views below refer to strings of m_manifest.
  std::shared_ptr<const config::manifest> m_manifest;
  configuration_version m_version{};
  std::unordered_map<std::string_view, const config::workspace*> m_keys;
  std::unordered_map<std::string_view, const config::workspace*> m_workspaces;
  std::unordered_map<std::string_view, const config::model*> m_models;
  std::unordered_map<std::string_view, const config::service*> m_services;
  std::unordered_map<std::string_view, const config::priority_class*> m_classes;
  std::uint32_t m_top_priority = 0;
};

}  // namespace cuminpath::entry
