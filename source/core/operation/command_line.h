// Parses the arguments of the operators' command line.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/error.h"
#include "core/operation/platform_session.h"

namespace cuminpath::operation {

// Returns the value of an environment variable; empty if it is not set.
using environment = std::function<std::string(const std::string& name)>;

// The request that `explain` asks gateways about, and the gateways.
struct explain_arguments {
  std::vector<std::string> gateways;  // IP:PORT of their metrics addresses.
  std::string method;
  std::string host;
  std::string path;
  std::string workspace;
  std::string api_key;               // Must not be printed.
  std::vector<std::string> headers;  // NAME: VALUE.
};

// The parsed arguments.
struct command_line {
  std::vector<std::string> words;  // The command and its arguments.
  endpoints urls;
  explain_arguments explain;
  std::string operator_key;
  std::string operator_name;
  std::optional<std::uint64_t> based_on;
  std::uint32_t limit = 0;  // Maximum number of events or versions to show; 0 for the default of the command.
  bool json = false;
  bool help = false;
};

// Parses options and words. The words are not checked. Errors: invalid_input for an unknown option or a bad
// value.
result<command_line> parse_command_line(std::span<const std::string> arguments, const environment& variables);

// Returns the help for the command that the words name, or for all commands.
std::string help_text(std::span<const std::string> words);

}  // namespace cuminpath::operation
