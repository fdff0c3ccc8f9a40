#include "core/telemetry/log.h"

#include <poll.h>
#include <unistd.h>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <csignal>
#include <map>
#include <mutex>
#include <optional>

#include <fmt/chrono.h>

#include "core/common/json.h"
#include "core/telemetry/log_limiter.h"

namespace cuminpath::telemetry {
namespace {

// Longer text fields are truncated, so that a line fits in the space of a pipe that poll() guarantees.
constexpr std::size_t k_max_text_bytes = 500;

// Writes complete lines to a descriptor and drops those that it has no space for.
class line_backend : public boost::log::sinks::basic_formatted_sink_backend<char> {
public:
  void set_descriptor(int descriptor) { m_descriptor = descriptor; }
  [[nodiscard]] std::uint64_t take_lost_count() { return std::exchange(m_lost_count, 0); }

  void consume(const boost::log::record_view& /*record*/, const std::string& text) {
    pollfd ready{.fd = m_descriptor, .events = POLLOUT, .revents = 0};
    const std::string line = text + "\n";
    const bool writable = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
    if (!writable || ::write(m_descriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
      ++m_lost_count;
    }
  }

private:
  int m_descriptor = STDERR_FILENO;
  std::uint64_t m_lost_count = 0;
};

struct log_state {
  std::mutex mutex;
  std::string process;
  log_level level = log_level::info;
  std::map<std::string, log_level, std::less<>> subsystems;
  log_limiter limiter;
  boost::shared_ptr<line_backend> backend = boost::make_shared<line_backend>();
  boost::log::sources::logger_mt logger;
};

void add_sink(const boost::shared_ptr<line_backend>& backend) {
  auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<line_backend>>(backend);
  sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(sink);
}

log_state& state() {
  // Never destroyed, because other threads may log while the process exits.
  static log_state* const s_state = [] {
    auto* const created = new log_state;
    add_sink(created->backend);
    return created;
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
  const auto whole_seconds = std::chrono::floor<std::chrono::seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(whole_seconds)),
                     (now - whole_seconds).count());
}

struct field_writer {
  nlohmann::ordered_json& out;
  void operator()(std::string_view text) const { out = text.substr(0, k_max_text_bytes); }
  void operator()(std::int64_t number) const { out = number; }
  void operator()(double number) const { out = number; }
  void operator()(bool flag) const { out = flag; }
};

}  // namespace

void start_logging(std::string_view process, log_level level, log_output output) {
  // The reader of the output may exit before this process.
  std::signal(SIGPIPE, SIG_IGN);
  log_state& shared = state();
  const std::lock_guard lock(shared.mutex);
  shared.process = process;
  shared.level = level;
  shared.backend->set_descriptor(output == log_output::standard_output ? STDOUT_FILENO : STDERR_FILENO);
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
  std::uint64_t suppressed_lines = 0;
  std::uint64_t lost_lines = 0;
  {
    const std::lock_guard lock(shared.mutex);
    const auto subsystem_level = shared.subsystems.find(subsystem);
    if (level < (subsystem_level == shared.subsystems.end() ? shared.level : subsystem_level->second)) {
      return;
    }
    // Failures and successes of one event are separate kinds, so that many successes don't suppress a
    // failure.
    std::string kind = fmt::format("{}/{}/{}", subsystem, message, to_text(level));
    for (const auto& [name, value] : fields) {
      if (name == "outcome" && std::holds_alternative<std::string_view>(value)) {
        kind.append("/").append(std::get<std::string_view>(value));
      }
    }
    const auto admitted = shared.limiter.admit(kind, clock::now());
    if (!admitted) {
      return;
    }
    suppressed_lines = *admitted;
    lost_lines = shared.backend->take_lost_count();
    line["time"] = utc_now();
    line["level"] = to_text(level);
    line["subsystem"] = subsystem;
    line["process"] = shared.process;
  }
  line["message"] = message;
  for (const auto& [name, value] : fields) {
    // A field must not replace one of the fixed members.
    const std::string key = line.contains(name) ? "field_" + std::string(name) : std::string(name);
    std::visit(field_writer{line[key]}, value);
  }
  if (suppressed_lines > 0) {
    line["left_out"] = suppressed_lines;  // Lines of this kind above the rate limit.
  }
  if (lost_lines > 0) {
    line["lost"] = lost_lines;  // Lines that the output had no space for.
  }
  BOOST_LOG(shared.logger) << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace cuminpath::telemetry
