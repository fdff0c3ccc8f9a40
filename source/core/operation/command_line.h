// Words and options of the operators' command line.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/operation/session.h"

namespace cuminpath::operation {

// Value of an environment variable; empty if it is not set.
using environment = std::function<std::string(const std::string& name)>;

struct command_line {
  std::vector<std::string> words;  // Command and its arguments.
  endpoints urls;
  std::string operator_key;
  std::string operator_name;
  std::optional<std::uint64_t> based_on;
  std::uint32_t limit = 0;  // Of lines or entries; 0 means the default of the command.
  bool json = false;
  bool help = false;
};

// Errors: invalid_input for anything that the command line does not know.
result<command_line> parse_command_line(std::span<const std::string> arguments, const environment& variables);

// Help for the command that the words name, or for all commands.
std::string help_text(std::span<const std::string> words);

}  // namespace cuminpath::operation
