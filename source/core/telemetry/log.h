// JSON-line logs, one object for each event. Writing never blocks: a line that the reader of the output has
// no room for is left out, and so are lines of one kind above a rate. The next line of the process or kind
// says how many.
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
// call, lines go to standard error. The process ignores SIGPIPE from then on.
void start_logging(std::string_view process, log_level level,
                   log_output output = log_output::standard_output);
void set_log_level(std::string_view subsystem, log_level level);

// Never pass a key, a request body or another secret as a field.
void log(log_level level, std::string_view subsystem, std::string_view message,
         std::initializer_list<field> fields = {});

}  // namespace cuminpath::telemetry
