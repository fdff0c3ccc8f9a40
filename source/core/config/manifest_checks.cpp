#include "core/config/manifest_checks.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <unordered_map>

namespace cuminpath::config {
namespace {

constexpr std::size_t k_max_name_length = 128;
// Allows for rounding errors of decimal fractions, for example the sum of ten floors of 0.1.
constexpr double k_floor_tolerance = 1e-9;

template <class entity>
using name_index = std::unordered_map<std::string_view, const entity*>;

class manifest_checker {
public:
  manifest_checker(const manifest& value, const manifest_lines& lines, const std::string& file)
      : m_manifest(value), m_lines(lines), m_file(file) {}

  std::vector<diagnostic> run() {
    m_classes = check_names("priority_class", m_manifest.classes, m_lines.classes);
    m_models = check_names("model", m_manifest.models, m_lines.models);
    m_groups = check_names("group", m_manifest.groups, m_lines.groups);
    m_services = check_names("service", m_manifest.services, m_lines.services);
    check_names("workspace", m_manifest.workspaces, m_lines.workspaces);
    check_names("upstream", m_manifest.upstreams, m_lines.upstreams);
    check_classes();
    check_models_and_groups();
    check_services();
    check_workspaces();
    check_upstreams();
    check_ranks();
    return std::move(m_errors);
  }

private:
  static std::uint32_t find_line(const std::vector<entity_lines>& lines, std::size_t index,
                                 const std::string& key) {
    if (index >= lines.size()) {
      return 0;
    }
    const auto found = lines[index].find(key);
    return found != lines[index].end() ? found->second : lines[index].at("");
  }

  void add(std::string_view kind, const std::vector<entity_lines>& lines, std::size_t index,
           const std::string& key, std::string message) {
    m_errors.push_back(
        {m_file, find_line(lines, index, key), std::string(kind) + "." + key, std::move(message)});
  }

  template <class entity>
  name_index<entity> check_names(std::string_view kind, const std::vector<entity>& list,
                                 const std::vector<entity_lines>& lines) {
    name_index<entity> names;
    names.reserve(list.size());
    for (std::size_t i = 0; i < list.size(); ++i) {
      const std::string& name = list[i].name;
      const auto is_forbidden = [](unsigned char c) { return c <= ' ' || c > '~' || c == '"' || c == '\\'; };
      if (name.empty() || name.size() > k_max_name_length ||
          std::any_of(name.begin(), name.end(), is_forbidden)) {
        add(kind, lines, i, "name", "must be 1 to 128 printable ASCII characters without spaces and quotes");
      } else if (!names.emplace(name, &list[i]).second) {
        add(kind, lines, i, "name", "duplicate name \"" + name + "\"");
      }
    }
    return names;
  }

  void check_classes() {
    double floor_sum = 0;
    for (std::size_t i = 0; i < m_manifest.classes.size(); ++i) {
      const priority_class& value = m_manifest.classes[i];
      if (!(value.floor >= 0 && value.floor <= 1)) {
        add("priority_class", m_lines.classes, i, "floor", "must be in 0..1");
      } else {
        floor_sum += value.floor;
      }
      if (!(value.worth >= 0) || !std::isfinite(value.worth)) {
        add("priority_class", m_lines.classes, i, "worth", "must not be negative");
      }
    }
    if (floor_sum > 1 + k_floor_tolerance) {
      add("priority_class", m_lines.classes, m_manifest.classes.size() - 1, "floor",
          "the floors of all classes add up to more than 1");
    }
    if (m_manifest.classes.empty()) {
      m_errors.push_back({m_file, 0, "priority_class", "at least one priority class is needed"});
    }
  }

  void check_models_and_groups() {
    for (std::size_t i = 0; i < m_manifest.models.size(); ++i) {
      const model& value = m_manifest.models[i];
      if (value.layers == 0 || value.experts == 0 || value.max_tokens == 0) {
        add("model", m_lines.models, i, "name", "layers, experts and max_tokens must be positive");
      }
    }
    for (std::size_t i = 0; i < m_manifest.groups.size(); ++i) {
      const group& value = m_manifest.groups[i];
      if (!m_models.contains(value.model)) {
        add("group", m_lines.groups, i, "model", "no model \"" + value.model + "\"");
      }
      if (value.ranks == 0) {
        add("group", m_lines.groups, i, "ranks", "must be positive");
      }
    }
  }

  void check_services() {
    for (std::size_t i = 0; i < m_manifest.services.size(); ++i) {
      // The name forms one segment of the path /services/NAME/...
      if (m_manifest.services[i].name.find_first_of("/?#%") != std::string::npos) {
        add("service", m_lines.services, i, "name", "must not contain any of / ? # %");
      }
      for (const service_rule& rule : m_manifest.services[i].rules) {
        if (rule.method.empty()) {
          add("service", m_lines.services, i, "rule", "method must not be empty; \"*\" matches any");
        }
        if (!rule.path_prefix.starts_with('/')) {
          add("service", m_lines.services, i, "rule", "path_prefix must start with /");
        }
      }
    }
  }

  void check_workspaces() {
    std::unordered_map<std::string_view, std::string_view> owners;
    for (std::size_t i = 0; i < m_manifest.workspaces.size(); ++i) {
      const workspace& value = m_manifest.workspaces[i];
      const auto report_error = [&](const std::string& key, std::string message) {
        add("workspace", m_lines.workspaces, i, key, std::move(message));
      };
      if (!(value.share > 0) || !std::isfinite(value.share)) {
        report_error("share", "must be positive");
      }
      for (const std::string& key : value.key_sha256) {
        if (!is_sha256(key)) {
          report_error("key_sha256", "must be 64 lower-case hexadecimal digits");
        } else if (const auto [owner, added] = owners.emplace(key, value.name); !added) {
          report_error("key_sha256",
                       "the same key belongs to workspace \"" + std::string(owner->second) + "\"");
        }
      }
      check_workspace_classes(value, report_error);
    }
  }

  template <class function>
  void check_workspace_classes(const workspace& value, const function& report_error) {
    std::set<std::string_view> seen;
    for (const std::string& name : value.classes) {
      if (!m_classes.contains(name)) {
        report_error("classes", "no priority class \"" + name + "\"");
      } else if (!seen.insert(name).second) {
        report_error("classes", "duplicate priority class \"" + name + "\"");
      }
    }
    if (value.classes.empty()) {
      report_error("classes", "must not be empty");
    }
    if (std::find(value.classes.begin(), value.classes.end(), value.default_class) == value.classes.end()) {
      report_error("default_class", "\"" + value.default_class + "\" is not in classes");
    }
  }

  void check_upstreams() {
    std::unordered_map<std::string_view, std::string_view> hosts;
    for (std::size_t i = 0; i < m_manifest.upstreams.size(); ++i) {
      const upstream& value = m_manifest.upstreams[i];
      const auto report_error = [&](const std::string& key, std::string message) {
        add("upstream", m_lines.upstreams, i, key, std::move(message));
      };
      if (value.slots == 0) {
        report_error("slots", "must be positive");
      }
      if (value.host.empty()) {
        report_error("host", "must not be empty");
      } else if (const auto [owner, added] = hosts.emplace(value.host, value.name); !added) {
        // A host runs one agent process, and an agent serves one upstream.
        report_error("host", "host already has upstream \"" + std::string(owner->second) + "\"");
      }
      const bool engine = value.kind == upstream_kind::engine;
      if (engine ? !m_models.contains(value.model_or_service)
                 : !m_services.contains(value.model_or_service)) {
        const std::string key = engine ? "model" : "service";
        report_error(key, "no " + key + " \"" + value.model_or_service + "\"");
      }
      check_upstream_group(value, report_error);
    }
  }

  template <class function>
  void check_upstream_group(const upstream& value, const function& report_error) {
    if (value.group.empty()) {
      if (value.rank != 0) {
        report_error("rank", "needs a group");
      }
      return;
    }
    const auto found = m_groups.find(value.group);
    if (value.kind == upstream_kind::service) {
      report_error("group", "only engines belong to groups");
    } else if (found == m_groups.end()) {
      report_error("group", "no group \"" + value.group + "\"");
    } else {
      if (found->second->model != value.model_or_service) {
        report_error("group", "group \"" + value.group + "\" has model \"" + found->second->model + "\"");
      }
      if (value.rank >= found->second->ranks) {
        report_error("rank", "outside the " + std::to_string(found->second->ranks) + " ranks of the group");
      }
    }
  }

  // Each rank of a group must be assigned to exactly one upstream, because a group executes a step only with
  // all of its ranks.
  void check_ranks() {
    std::unordered_map<std::string_view, std::set<std::uint32_t>> assigned_ranks;
    for (std::size_t i = 0; i < m_manifest.upstreams.size(); ++i) {
      const upstream& value = m_manifest.upstreams[i];
      if (!value.group.empty() && !assigned_ranks[value.group].insert(value.rank).second) {
        add("upstream", m_lines.upstreams, i, "rank",
            "rank " + std::to_string(value.rank) + " of group \"" + value.group + "\" is taken twice");
      }
    }
    for (std::size_t i = 0; i < m_manifest.groups.size(); ++i) {
      const group& value = m_manifest.groups[i];
      const std::set<std::uint32_t>& ranks = assigned_ranks[value.name];
      const auto present = std::distance(ranks.begin(), ranks.lower_bound(value.ranks));
      if (static_cast<std::uint64_t>(present) != value.ranks) {
        add("group", m_lines.groups, i, "ranks",
            "upstreams for " + std::to_string(value.ranks - static_cast<std::uint32_t>(present)) +
                " of the ranks of group \"" + value.name + "\" are missing");
      }
    }
  }

  const manifest& m_manifest;
  const manifest_lines& m_lines;
  const std::string& m_file;
  std::vector<diagnostic> m_errors;
  name_index<priority_class> m_classes;
  name_index<model> m_models;
  name_index<group> m_groups;
  name_index<service> m_services;
};

}  // namespace

bool is_sha256(std::string_view text) {
  constexpr std::size_t k_digits = 64;
  return text.size() == k_digits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::vector<diagnostic> check(const manifest& value, const manifest_lines& lines, const std::string& file) {
  return manifest_checker(value, lines, file).run();
}

}  // namespace cuminpath::config
