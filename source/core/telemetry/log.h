// JSON-line logs on standard error, one object for each event.
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

// Sets the process name of every line and the level below which lines are dropped.
void start_logging(std::string_view process, log_level level);
void set_log_level(std::string_view subsystem, log_level level);

// Never pass a key, a request body or another secret as a field.
void log(log_level level, std::string_view subsystem, std::string_view message,
         std::initializer_list<field> fields = {});

}  // namespace cuminpath::telemetry
