// Implements the commands of the operators' command line.
#pragma once

#include <ostream>
#include <span>
#include <string>

#include "core/operation/command_line.h"

namespace cuminpath::operation {

// Exit codes of the command line.
enum class exit_code : int { success = 0, failure = 1, usage = 2, conflict = 3, unreachable = 4 };

// Runs one command. Writes results to `out` (text, or one JSON document with --json) and errors to `err`.
exit_code run(std::span<const std::string> arguments, const environment& variables, std::ostream& out,
              std::ostream& err);

}  // namespace cuminpath::operation
