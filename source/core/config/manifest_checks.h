// Checks across the entities of a manifest. Private to this library.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/config/manifest.h"
#include "core/config/manifest_parser.h"

namespace cuminpath::config {

// Line number of each key of an entity. The key "" holds the line of the entity itself.
using entity_lines = std::map<std::string, std::uint32_t>;

// Line numbers for the lists of a manifest, by the same indexes. The lists are empty for a manifest joined
// from sections, which has no lines.
struct manifest_lines {
  std::vector<entity_lines> classes;
  std::vector<entity_lines> models;
  std::vector<entity_lines> groups;
  std::vector<entity_lines> services;
  std::vector<entity_lines> workspaces;
  std::vector<entity_lines> upstreams;
};

// Returns an error for every reference to an undefined name, every duplicate and every invalid value.
std::vector<diagnostic> check(const manifest& value, const manifest_lines& lines, const std::string& file);

}  // namespace cuminpath::config
