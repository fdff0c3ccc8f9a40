// The daemon. Its role comes from its settings file.
#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "core/agent/agent_process.h"
#include "core/config/settings.h"
#include "core/entry/entry_process.h"
#include "core/telemetry/log.h"

namespace {

using namespace cuminpath;

constexpr int k_bad_settings = 2;

telemetry::log_level level_of(std::string_view name) {
  using telemetry::log_level;
  if (name == "trace") {
    return log_level::trace;
  }
  if (name == "debug") {
    return log_level::debug;
  }
  if (name == "warning") {
    return log_level::warning;
  }
  return name == "error" ? log_level::error : log_level::info;
}

std::optional<config::daemon_settings> read_settings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  auto parsed = config::parse_settings(text, path);
  for (const auto& failure : parsed.errors) {
    std::cerr << config::to_string(failure) << '\n';
  }
  return parsed.errors.empty() ? std::optional(std::move(parsed.value)) : std::nullopt;
}

void start_logging(const config::daemon_settings& settings) {
  telemetry::start_logging(settings.name, level_of(settings.log.level));
  for (const auto& [subsystem, level] : settings.log.subsystems) {
    telemetry::set_log_level(subsystem, level_of(level));
  }
}

int run_role(const config::daemon_settings& settings) {
  switch (settings.kind) {
    case config::role::entry:
      return entry::run(settings);
    case config::role::agent:
      return agent::run(settings);
  }
  return k_bad_settings;
}

int run(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description description("cuminpathd: daemon of the cuminpath load balancer");
  description.add_options()("settings", options::value<std::string>()->value_name("FILE"),
                            "settings file (TOML); the role of the process comes from it")(
      "version", "print the version and exit")("help,h", "print this help and exit");
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv).options(description).run(), values);
  } catch (const options::error& failure) {
    std::cerr << "cuminpathd: " << failure.what() << '\n' << description;
    return k_bad_settings;
  }
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  if (values.count("version") > 0) {
    std::cout << "cuminpathd " << CUMINPATH_VERSION << '\n';
    return 0;
  }
  if (values.count("settings") == 0) {
    std::cerr << "cuminpathd: --settings is required\n" << description;
    return k_bad_settings;
  }
  const auto settings = read_settings(values["settings"].as<std::string>());
  if (!settings) {
    return k_bad_settings;
  }
  start_logging(*settings);
  return run_role(*settings);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& failure) {
    std::cerr << "cuminpathd: " << failure.what() << '\n';
    return 1;
  }
}
