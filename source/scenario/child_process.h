// A child process of a scenario. It is identified by its process id and does not outlive the scenario.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "core/common/error.h"

namespace cuminpath::scenario {

class child_process {
public:
  // Starts a program. Its standard output goes to `output_file`, which is truncated first, and its standard
  // error is appended to `log_file`. The kernel kills the process if the thread that started it dies.
  // Errors: not_found if the program is not executable, internal.
  static result<child_process> start(const std::string& program, const std::vector<std::string>& arguments,
                                     const std::string& output_file, const std::string& log_file);
  ~child_process();  // Kills the process if it still runs.
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  [[nodiscard]] pid_t pid() const { return m_pid; }
  // Returns the exit status: absent while the process runs, 128 plus the signal number if a signal ended it.
  std::optional<int> exit_status();
  // Sends a signal to the process. Does nothing if the process has ended.
  void send_signal(int number);

private:
  explicit child_process(pid_t pid) : m_pid(pid) {}
  // Kills the process if it still runs, and waits for its end.
  void kill_and_wait();

  pid_t m_pid = 0;
  std::optional<int> m_exit_status;
};

}  // namespace cuminpath::scenario
