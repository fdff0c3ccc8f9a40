#include "core/telemetry/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>

#include <fmt/chrono.h>

#include "core/common/json.h"

namespace cuminpath::telemetry {
namespace {

struct log_state {
  std::mutex mutex;
  std::string process;
  log_level level = log_level::info;
  std::map<std::string, log_level, std::less<>> subsystems;
  boost::log::sources::logger_mt logger;
};

void add_sink() {
  using backend = boost::log::sinks::text_ostream_backend;
  auto target = boost::make_shared<backend>();
  target->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
  target->auto_flush(true);
  auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<backend>>(target);
  sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(sink);
}

log_state& state() {
  // Never destroyed, because other threads may log while the process ends.
  static log_state* const s_state = [] {
    add_sink();
    return new log_state;
  }();
  return *s_state;
}

std::string_view to_text(log_level level) {
  switch (level) {
    case log_level::trace:
      return "trace";
    case log_level::debug:
      return "debug";
    case log_level::info:
      return "info";
    case log_level::warning:
      return "warning";
    case log_level::error:
      return "error";
  }
  return "error";
}

std::string utc_now() {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto whole = std::chrono::floor<std::chrono::seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(whole)),
                     (now - whole).count());
}

}  // namespace

void start_logging(std::string_view process, log_level level) {
  log_state& shared = state();
  const std::lock_guard lock(shared.mutex);
  shared.process = process;
  shared.level = level;
}

void set_log_level(std::string_view subsystem, log_level level) {
  log_state& shared = state();
  const std::lock_guard lock(shared.mutex);
  shared.subsystems.insert_or_assign(std::string(subsystem), level);
}

void log(log_level level, std::string_view subsystem, std::string_view message,
         std::initializer_list<field> fields) {
  log_state& shared = state();
  nlohmann::ordered_json line;
  {
    const std::lock_guard lock(shared.mutex);
    const auto own = shared.subsystems.find(subsystem);
    if (level < (own == shared.subsystems.end() ? shared.level : own->second)) {
      return;
    }
    line["time"] = utc_now();
    line["level"] = to_text(level);
    line["subsystem"] = subsystem;
    line["process"] = shared.process;
  }
  line["message"] = message;
  for (const auto& [name, value] : fields) {
    // A field never replaces one of the fixed members.
    const std::string key = line.contains(name) ? "field_" + std::string(name) : std::string(name);
    std::visit([&](const auto& plain) { line[key] = plain; }, value);
  }
  BOOST_LOG(shared.logger) << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace cuminpath::telemetry
