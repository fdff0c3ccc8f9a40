// Writes log lines, each a JSON object for one event. Writing never blocks: a line is dropped if the output
// has no space for it or if its kind exceeds the rate limit. The next line of the process or of the kind
// reports the number of dropped lines.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace cuminpath::telemetry {

enum class log_level : std::uint8_t { trace, debug, info, warning, error };

using field_value = std::variant<std::string_view, std::int64_t, double, bool>;
using field = std::pair<std::string_view, field_value>;

enum class log_output : std::uint8_t { standard_output, standard_error };

// Sets the process name of every line, the level below which lines are dropped, and the output. Before this
// call, lines are written to standard error. After it, the process ignores SIGPIPE.
void start_logging(std::string_view process, log_level level,
                   log_output output = log_output::standard_output);
// Sets the level of one subsystem, which has precedence over the level of start_logging().
void set_log_level(std::string_view subsystem, log_level level);

// Writes one line. Fields must not contain keys, request bodies or other secrets.
void log(log_level level, std::string_view subsystem, std::string_view message,
         std::initializer_list<field> fields = {});

}  // namespace cuminpath::telemetry
