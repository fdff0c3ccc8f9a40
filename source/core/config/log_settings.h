// What a process logs; the same in the settings of every role.
#pragma once

#include <map>
#include <string>

namespace cuminpath::config {

// Table "log" of a settings file.
struct log_settings {
  std::string level = "info";                     // trace, debug, info, warning, error.
  std::map<std::string, std::string> subsystems;  // Level of single subsystems.
};

}  // namespace cuminpath::config
