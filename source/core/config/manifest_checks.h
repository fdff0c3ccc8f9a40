// Checks across the entities of a manifest. Private to this library.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/config/manifest.h"
#include "core/config/manifest_parser.h"

namespace cuminpath::config {

// Line of each key of an entity; "" stands for the entity itself.
using entity_lines = std::map<std::string, std::uint32_t>;

// Parallel to the lists of the manifest; empty for a manifest that comes from sections.
struct manifest_lines {
  std::vector<entity_lines> classes;
  std::vector<entity_lines> models;
  std::vector<entity_lines> groups;
  std::vector<entity_lines> services;
  std::vector<entity_lines> workspaces;
  std::vector<entity_lines> upstreams;
};

// Every dangling name, duplicate and impossible figure.
std::vector<diagnostic> check(const manifest& value, const manifest_lines& lines, const std::string& file);

}  // namespace cuminpath::config
