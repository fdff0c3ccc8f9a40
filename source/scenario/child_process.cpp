#include "scenario/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <utility>

namespace cuminpath::scenario {
namespace {

constexpr int k_exec_failed = 127;

// Runs in the child process after fork, where only async-signal-safe functions may be called.
[[noreturn]] void run_program(const char* program, char* const* arguments, int output, int log) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::execv(program, arguments);
  ::_exit(k_exec_failed);
}

}  // namespace

result<child_process> child_process::start(const std::string& program,
                                           const std::vector<std::string>& arguments,
                                           const std::string& output_file, const std::string& log_file) {
  if (::access(program.c_str(), X_OK) != 0) {
    return make_error(error_code::not_found, "program not found or not executable: " + program);
  }
  const int output = ::open(output_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (output < 0 || log < 0) {
    return make_error(error_code::internal, "cannot open " + output_file + " or " + log_file);
  }
  std::vector<std::string> argument_texts = arguments;
  argument_texts.insert(argument_texts.begin(), program);
  std::vector<char*> argument_pointers;
  argument_pointers.reserve(argument_texts.size() + 1);
  for (auto& text : argument_texts) {
    argument_pointers.push_back(text.data());
  }
  argument_pointers.push_back(nullptr);
  const auto pid = ::fork();
  if (pid == 0) {
    run_program(program.c_str(), argument_pointers.data(), output, log);
  }
  const int fork_errno = errno;
  ::close(output);
  ::close(log);
  if (pid < 0) {
    return make_error(error_code::internal, std::string("cannot fork: ") + std::strerror(fork_errno));
  }
  return child_process(pid);
}

child_process::~child_process() {
  kill_and_wait();
}

child_process::child_process(child_process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, 0)), m_exit_status(std::exchange(other.m_exit_status, std::nullopt)) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this != &other) {
    kill_and_wait();
    m_pid = std::exchange(other.m_pid, 0);
    m_exit_status = std::exchange(other.m_exit_status, std::nullopt);
  }
  return *this;
}

std::optional<int> child_process::exit_status() {
  int status = 0;
  if (!m_exit_status && m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_exit_status = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
  }
  return m_exit_status;
}

void child_process::send_signal(int number) {
  // The kernel does not reuse the process id before the exit status has been read, so the signal cannot reach
  // another process.
  if (m_pid > 0 && !exit_status()) {
    ::kill(m_pid, number);
  }
}

void child_process::kill_and_wait() {
  if (m_pid <= 0 || exit_status()) {
    return;
  }
  ::kill(m_pid, SIGKILL);
  int status = 0;
  ::waitpid(m_pid, &status, 0);
}

}  // namespace cuminpath::scenario
