#include "core/gateway/configuration.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace cuminpath::gateway {
namespace {

std::string normalize_host(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

}  // namespace

void configuration::build_index() {
  m_route_of_prefix.clear();
  m_service_of_name.clear();
  m_longest_prefix = 0;
  for (std::uint32_t i = 0; i < routes.size(); ++i) {
    m_route_of_prefix.try_emplace(normalize_host(routes[i].host) + routes[i].path_prefix, i);
    m_longest_prefix = std::max(m_longest_prefix, routes[i].path_prefix.size());
  }
  for (std::uint32_t i = 0; i < services.size(); ++i) {
    m_service_of_name.try_emplace(services[i].name, i);
  }
  index_priorities();
}

void configuration::index_priorities() {
  m_most_urgent_priority.clear();
  std::uint32_t of_workspaces = std::numeric_limits<std::uint32_t>::max();
  if (keys_required) {
    for (const workspace& each : workspaces) {
      of_workspaces = std::min(of_workspaces, each.priority.value_or(of_workspaces));
    }
  }
  for (const route& each : routes) {
    const std::uint32_t priority = each.is_public ? each.priority : std::min(each.priority, of_workspaces);
    for (const service_share& share : each.shares) {
      const auto entry = m_most_urgent_priority.try_emplace(share.service, priority).first;
      entry->second = std::min(entry->second, priority);
    }
  }
}

const route* configuration::find_route(std::string_view host, std::string_view path) const {
  // Host and prefix form one key, so a slash in the host or a path without a leading slash could match across
  // the boundary.
  if (host.empty() || host.find('/') != std::string_view::npos || !path.starts_with('/')) {
    return nullptr;
  }
  std::string key = normalize_host(host);
  const std::size_t host_size = key.size();
  // A path of slashes only would otherwise cost one look-up of its whole rest for each of them.
  key.append(path.substr(0, m_longest_prefix));
  // Prefixes end with a slash, so only positions of slashes can match.
  for (std::size_t end = key.rfind('/'); end != std::string::npos && end >= host_size;) {
    key.resize(end + 1);
    if (const auto found = m_route_of_prefix.find(key); found != m_route_of_prefix.end()) {
      return &routes[found->second];
    }
    if (end == 0) {
      break;
    }
    end = key.rfind('/', end - 1);
  }
  return nullptr;
}

const workspace* configuration::find_workspace(std::string_view key) const {
  const auto found = workspace_of_key.find(std::string(key));
  return found == workspace_of_key.end() ? nullptr : &workspaces[found->second];
}

const service* configuration::find_service(std::string_view name) const {
  const auto found = m_service_of_name.find(std::string(name));
  return found == m_service_of_name.end() ? nullptr : &services[found->second];
}

std::unordered_set<std::string> configuration::service_names() const {
  std::unordered_set<std::string> names;
  for (const service& each : services) {
    names.insert(each.name);
  }
  for (const route& each : routes) {
    for (const service_share& share : each.shares) {
      names.insert(share.service);
    }
  }
  return names;
}

std::uint32_t configuration::most_urgent_priority(std::string_view service) const {
  const auto found = m_most_urgent_priority.find(std::string(service));
  return found == m_most_urgent_priority.end() ? 0 : found->second;
}

}  // namespace cuminpath::gateway
