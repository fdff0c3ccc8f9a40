// The processes, forwarders, requests and load of a scenario. All functions run on one thread; pending
// asynchronous work makes progress only in poll().
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/http/client.h"
#include "emulator/load_generator.h"
#include "scenario/child_process.h"
#include "scenario/forwarder.h"
#include "scenario/port_pool.h"

namespace cuminpath::scenario {

class runner {
public:
  // The output and the logs of the processes are written to `directory`, which must exist.
  runner(std::vector<std::string> program_directories, std::string directory);

  // Starts a program as the process `name`. The program is searched for in the program directories unless it
  // starts with '/'. Errors: not_found, conflict if a process of that name is running.
  result<pid_t> start(const std::string& name, const std::string& program,
                      const std::vector<std::string>& arguments);
  // Returns the process of that name, or null.
  child_process* find_process(const std::string& name);
  // Returns what the process has written to its standard output so far.
  [[nodiscard]] std::string output(const std::string& name) const;

  // Returns a loopback address (IP:PORT) whose port is free and reserved for this runner.
  std::string free_address();
  // Opens a TCP forwarder to `target` and returns its address. Replaces a forwarder of the same name.
  result<std::string> open_forwarder(const std::string& name, const std::string& target);
  // Returns the forwarder of that name, or null.
  forwarder* find_forwarder(const std::string& name);

  // Sends a request of a caller, or a plain HTTP request. Both return an id for result_of(), which is null
  // until the request has ended.
  std::uint64_t send_request(const json& description);
  std::uint64_t send_http(const json& description);
  [[nodiscard]] json result_of(std::uint64_t id) const;

  std::uint64_t start_load(const json& options);
  void stop_load(std::uint64_t id);
  // Returns the summary of the load generator with the additional member "done".
  [[nodiscard]] json load_summary(std::uint64_t id) const;

  // Runs asynchronous work for the given time.
  void poll(milliseconds duration);
  // Kills all processes.
  void kill_processes() { m_processes.clear(); }

  [[nodiscard]] const std::string& directory() const { return m_directory; }
  // Returns the last lines of the log of each process, for the report of a failure.
  [[nodiscard]] std::string log_tails() const;

private:
  [[nodiscard]] std::string find_program(const std::string& program) const;
  [[nodiscard]] std::string process_file(const std::string& name, const char* suffix) const;

  std::vector<std::string> m_program_directories;
  std::string m_directory;
  asio::io_context m_context{1};
  // Lets poll() wait for the whole time when no work is pending.
  asio::executor_work_guard<asio::io_context::executor_type> m_work_guard{m_context.get_executor()};
  http::client m_client{m_context};
  std::map<std::string, child_process> m_processes;
  std::map<std::string, std::unique_ptr<forwarder>> m_forwarders;
  std::map<std::uint64_t, json> m_results;
  std::map<std::uint64_t, std::unique_ptr<emulator::load_generator>> m_loads;
  port_pool m_ports;
  std::uint64_t m_last_id = 0;
};

}  // namespace cuminpath::scenario
