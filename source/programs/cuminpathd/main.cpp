// Entry point of the daemon. The settings file determines the role of the process.
#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "core/agent/agent_process.h"
#include "core/balancer/balancer_process.h"
#include "core/config/balancer_settings.h"
#include "core/config/gateway_settings.h"
#include "core/config/settings.h"
#include "core/entry/entry_process.h"
#include "core/proxy/gateway_process.h"
#include "core/telemetry/log.h"
#include "platform/adapter.h"
#include "platform/balancer_adapter.h"

namespace {

using namespace cuminpath;

constexpr int k_usage_error = 2;

telemetry::log_level parse_log_level(std::string_view name) {
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

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  return std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Prints the errors of a settings file, one a line. Returns true if there are none.
bool report_errors(const std::vector<config::diagnostic>& errors) {
  for (const auto& diagnostic : errors) {
    std::cerr << config::to_string(diagnostic) << '\n';
  }
  return errors.empty();
}

void start_logging(std::string_view name, const config::log_settings& settings) {
  telemetry::start_logging(name, parse_log_level(settings.level));
  for (const auto& [subsystem, level] : settings.subsystems) {
    telemetry::set_log_level(subsystem, parse_log_level(level));
  }
}

int run_gateway(const std::string& text, const std::string& path) {
  const auto parsed = config::parse_gateway_settings(text, path);
  if (!report_errors(parsed.errors)) {
    return k_usage_error;
  }
  start_logging(parsed.value.name, parsed.value.log);
  return proxy::run_gateway(parsed.value, path, platform::make_adapter);
}

int run_balancer(const std::string& text, const std::string& path) {
  const auto parsed = config::parse_balancer_settings(text, path);
  if (!report_errors(parsed.errors)) {
    return k_usage_error;
  }
  start_logging(parsed.value.name, parsed.value.log);
  return balancer::run_balancer(parsed.value, platform::make_balancer_adapter);
}

int run_daemon(const std::string& text, const std::string& path) {
  const auto parsed = config::parse_settings(text, path);
  if (!report_errors(parsed.errors)) {
    return k_usage_error;
  }
  start_logging(parsed.value.name, parsed.value.log);
  switch (parsed.value.kind) {
    case config::role::entry:
      return entry::run(parsed.value);
    case config::role::agent:
      return agent::run(parsed.value);
  }
  return k_usage_error;
}

int run(int argc, char** argv) {
  namespace options = boost::program_options;
  options::options_description description("cuminpathd: daemon of the cuminpath load balancer");
  description.add_options()("settings", options::value<std::string>()->value_name("FILE"),
                            "settings file (TOML); it determines the role of the process")(
      "version", "print the version and exit")("help,h", "print this help and exit");
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv).options(description).run(), values);
  } catch (const options::error& failure) {
    std::cerr << "cuminpathd: " << failure.what() << '\n' << description;
    return k_usage_error;
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
    return k_usage_error;
  }
  const std::string path = values["settings"].as<std::string>();
  const auto text = read_file(path);
  if (!text) {
    return k_usage_error;
  }
  const std::string role = config::read_role(*text);
  if (role == "gateway") {
    return run_gateway(*text, path);
  }
  return role == "balancer" ? run_balancer(*text, path) : run_daemon(*text, path);
}

}  // namespace

int main(int argc, char** argv) {
  // Its default action would end the process until the handlers of the role are installed.
  std::signal(SIGHUP, SIG_IGN);
  try {
    return run(argc, argv);
  } catch (const std::exception& failure) {
    std::cerr << "cuminpathd: " << failure.what() << '\n';
    return 1;
  }
}
