#include "scenario/runner.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cuminpath::scenario {
namespace {

using emulator::call_outcome;
using emulator::request_description;

constexpr std::size_t k_log_tail_lines = 15;

request_description to_request_description(const json& value) {
  static const std::map<std::string, request_description::kind> s_kinds = {
      {"completion", request_description::kind::completion},
      {"chat", request_description::kind::chat_completion},
      {"service", request_description::kind::service}};
  request_description description;
  description.what = s_kinds.at(value.value("kind", "completion"));
  description.url = value.value("url", "");
  description.key = value.value("key", "");
  description.idempotency_key = value.value("idempotency_key", "");
  description.priority_class = value.value("priority", "");
  description.request_id = value.value("request_id", "");
  description.deadline_ms = value.value("deadline_ms", 0U);
  description.timeout = milliseconds(value.value("timeout_ms", description.timeout.count()));
  description.model = value.value("model", "");
  description.prompt = value.value("prompt", "");
  description.max_tokens = value.value("max_tokens", description.max_tokens);
  description.stream = value.value("stream", true);
  description.method = value.value("method", "POST");
  description.path = value.value("path", "");
  description.body = value.value("body", "");
  return description;
}

json headers_to_json(const http::header_list& headers) {
  json object = json::object();
  for (const auto& [name, value] : headers) {
    std::string lower = name;
    for (auto& c : lower) {
      c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    object[lower] = value;
  }
  return object;
}

json to_json(const call_outcome& value) {
  return {{"outcome", emulator::to_string(value.what)},
          {"status", value.status},
          {"detail", value.detail},
          {"text", value.text},
          {"problem", value.problem},
          {"headers", headers_to_json(value.headers)},
          {"tokens", value.tokens},
          {"first_ms", value.first_ms},
          {"total_ms", value.total_ms}};
}

}  // namespace

runner::runner(std::vector<std::string> program_directories, std::string directory)
    : m_program_directories(std::move(program_directories)), m_directory(std::move(directory)) {}

result<pid_t> runner::start(const std::string& name, const std::string& program,
                            const std::vector<std::string>& arguments) {
  if (const auto found = m_processes.find(name); found != m_processes.end()) {
    if (!found->second.exit_status()) {
      return make_error(error_code::conflict, "process " + name + " is already running");
    }
    m_processes.erase(found);
  }
  auto started = child_process::start(find_program(program), arguments, process_file(name, ".out"),
                                      process_file(name, ".log"));
  if (!started) {
    return started.error();
  }
  const auto pid = started.value().pid();
  m_processes.emplace(name, std::move(started.value()));
  return pid;
}

child_process* runner::find_process(const std::string& name) {
  const auto found = m_processes.find(name);
  return found == m_processes.end() ? nullptr : &found->second;
}

std::string runner::output(const std::string& name) const {
  std::ifstream file(process_file(name, ".out"));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string runner::free_address() {
  return "127.0.0.1:" + std::to_string(m_ports.reserve());
}

result<std::string> runner::open_forwarder(const std::string& name, const std::string& target) {
  auto opened = forwarder::start(m_context, target);
  if (!opened) {
    return opened.error();
  }
  auto& stored = m_forwarders[name];
  stored = std::move(opened.value());
  return stored->address();
}

forwarder* runner::find_forwarder(const std::string& name) {
  const auto found = m_forwarders.find(name);
  return found == m_forwarders.end() ? nullptr : found->second.get();
}

std::uint64_t runner::send_request(const json& description) {
  const auto id = ++m_last_id;
  m_results[id] = json();
  emulator::send_call(m_client, to_request_description(description),
                      [this, id](const call_outcome& outcome) { m_results[id] = to_json(outcome); });
  return id;
}

std::uint64_t runner::send_http(const json& description) {
  const auto id = ++m_last_id;
  m_results[id] = json();
  http::request request;
  request.method = description.value("method", "GET");
  request.target = description.value("path", "/");
  request.body = description.value("body", "");
  const auto headers = description.value("headers", json::object());
  for (const auto& [name, value] : headers.items()) {
    request.headers.emplace_back(name, value.get<std::string>());
  }
  m_client.call(
      description.value("url", ""), std::move(request),
      {.timeout = milliseconds(description.value("timeout_ms", 5000)), .never_reuse_connection = true},
      [this, id](const http::client::call_result& response) {
        m_results[id] = {{"status", response.failure ? 0 : response.value.status},
                         {"body", response.value.body},
                         {"headers", headers_to_json(response.value.headers)},
                         {"error", response.failure ? json(response.failure->message) : json()}};
      });
  return id;
}

json runner::result_of(std::uint64_t id) const {
  const auto found = m_results.find(id);
  return found == m_results.end() ? json() : found->second;
}

std::uint64_t runner::start_load(const json& options) {
  emulator::load_options load;
  load.entry_urls = options.at("urls").get<std::vector<std::string>>();
  load.requests_per_second = options.value("rate", load.requests_per_second);
  load.time = milliseconds(static_cast<std::int64_t>(options.value("seconds", 1.0) * 1000));
  load.seed = options.value("seed", load.seed);
  for (const auto& share : options.at("shares")) {
    load.shares.push_back(
        {to_request_description(share), share.value("name", "all"), share.value("weight", 1.0)});
  }
  const auto id = ++m_last_id;
  m_loads[id] = std::make_unique<emulator::load_generator>(m_context, m_client, std::move(load));
  m_loads[id]->start();
  return id;
}

void runner::stop_load(std::uint64_t id) {
  if (const auto found = m_loads.find(id); found != m_loads.end()) {
    found->second->stop();
  }
}

json runner::load_summary(std::uint64_t id) const {
  const auto found = m_loads.find(id);
  if (found == m_loads.end()) {
    return json();
  }
  auto summary = found->second->summary();
  summary["done"] = found->second->done();
  return summary;
}

void runner::poll(milliseconds duration) {
  m_context.restart();
  m_context.run_for(duration);
}

std::string runner::log_tails() const {
  std::string text;
  for (const auto& [name, process] : m_processes) {
    std::ifstream file(process_file(name, ".log"));
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
      lines.push_back(line);
    }
    const auto first = lines.size() > k_log_tail_lines ? lines.size() - k_log_tail_lines : 0;
    if (!lines.empty()) {
      text.append("--- ").append(name).append("\n");
    }
    for (auto i = first; i < lines.size(); ++i) {
      text.append(lines[i]).append("\n");
    }
  }
  return text;
}

std::string runner::find_program(const std::string& program) const {
  if (program.starts_with("/")) {
    return program;
  }
  for (const auto& directory : m_program_directories) {
    const auto path = std::filesystem::path(directory) / program;
    if (std::filesystem::is_regular_file(path)) {
      return path.string();
    }
  }
  return program;
}

std::string runner::process_file(const std::string& name, const char* suffix) const {
  return m_directory + "/" + name + suffix;
}

}  // namespace cuminpath::scenario
