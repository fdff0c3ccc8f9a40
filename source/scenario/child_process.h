// A program that a scenario started. It is known by its process id and ends with the scenario.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "core/common/error.h"

namespace cuminpath::scenario {

class child_process {
public:
  // Starts a program with its standard output in `output_file` (emptied first) and its standard error
  // appended to `log_file`. The kernel ends it if the thread that started it dies.
  static result<child_process> start(const std::string& program, const std::vector<std::string>& arguments,
                                     const std::string& output_file, const std::string& log_file);
  ~child_process();  // Ends the process at once if it still runs.
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  [[nodiscard]] pid_t pid() const { return m_pid; }
  // Absent while it runs; 128 and the signal number if a signal ended it.
  std::optional<int> exit_status();
  // Does nothing if the process has ended.
  void send_signal(int number);

private:
  explicit child_process(pid_t pid) : m_pid(pid) {}
  void end();

  pid_t m_pid = 0;
  std::optional<int> m_status;
};

}  // namespace cuminpath::scenario
