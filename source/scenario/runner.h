// What a scenario uses: processes, forwarders, requests and load. All functions run on one thread; poll()
// lets the open work go on.
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
  // Output and logs of the processes go to `directory`, which must exist.
  runner(std::vector<std::string> program_directories, std::string directory);

  // The program is searched for in the program directories unless its name starts with '/'.
  // Errors: not_found, conflict if a process of that name runs.
  result<pid_t> start(const std::string& name, const std::string& program,
                      const std::vector<std::string>& arguments);
  // Null if there is none of that name.
  child_process* process(const std::string& name);
  // What the process has written to its standard output.
  [[nodiscard]] std::string output(const std::string& name) const;

  // A loopback address whose port is free and reserved for this runner.
  std::string free_address();
  result<std::string> open_forwarder(const std::string& name, const std::string& target);
  forwarder* find_forwarder(const std::string& name);

  // Each returns an id for result(), which is null until the request has ended.
  std::uint64_t send_request(const json& order);
  std::uint64_t send_http(const json& order);
  [[nodiscard]] json result_of(std::uint64_t id) const;

  std::uint64_t start_load(const json& options);
  void stop_load(std::uint64_t id);
  // The summary with the additional member "done".
  [[nodiscard]] json load_summary(std::uint64_t id) const;

  void poll(milliseconds time);
  // Ends all processes at once.
  void end_processes() { m_processes.clear(); }

  [[nodiscard]] const std::string& directory() const { return m_directory; }
  // The last lines of each process's log, for the report of a failure.
  [[nodiscard]] std::string log_tails() const;

private:
  [[nodiscard]] std::string path_of(const std::string& program) const;
  [[nodiscard]] std::string file_of(const std::string& name, const char* suffix) const;

  std::vector<std::string> m_program_directories;
  std::string m_directory;
  asio::io_context m_context{1};
  // Keeps poll() waiting when nothing is open.
  asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
  http::client m_client{m_context};
  std::map<std::string, child_process> m_processes;
  std::map<std::string, std::unique_ptr<forwarder>> m_forwarders;
  std::map<std::uint64_t, json> m_results;
  std::map<std::uint64_t, std::unique_ptr<emulator::load_generator>> m_loads;
  port_pool m_ports;
  std::uint64_t m_last_id = 0;
};

}  // namespace cuminpath::scenario
