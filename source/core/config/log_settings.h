// Log settings, which the settings of every role contain.
#pragma once

#include <map>
#include <string>

namespace cuminpath::config {

// Table "log" of a settings file.
struct log_settings {
  std::string level = "info";                     // trace, debug, info, warning or error.
  std::map<std::string, std::string> subsystems;  // Levels of subsystems that differ from `level`.
};

}  // namespace cuminpath::config
