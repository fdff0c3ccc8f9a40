// Checks the settings file of any role without starting a process.
#pragma once

#include <string_view>
#include <vector>

#include "core/config/manifest_parser.h"

namespace cuminpath::config {

// Returns every error of the file with its line and key; empty if a daemon would accept the file.
std::vector<diagnostic> check_settings(std::string_view text, std::string_view file);

}  // namespace cuminpath::config
