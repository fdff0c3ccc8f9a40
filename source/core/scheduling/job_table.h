// Rows of the jobs that an agent has accepted and not finished.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "core/common/time.h"
#include "core/scheduling/scheduler.h"

namespace cuminpath::scheduling {

enum class class_index : std::uint32_t {};
enum class workspace_index : std::uint32_t {};

struct job_state {
  class_index class_row{};
  workspace_index workspace_row{};
  std::uint32_t expected_tokens = 1;
  std::uint32_t produced_tokens = 0;
  // Changes with each entry into a queue; tells whether an entry of a queue still stands for the job.
  std::uint64_t sequence = 0;
  time_point deadline{};
  time_point queued_at{};
  time_point started_at{};       // Of the present run.
  time_point first_token_at{};   // Of the present run, if it has produced tokens.
  std::uint32_t run_tokens = 0;  // Announced for the present run.
  std::uint32_t run_produced = 0;
  bool preemptible = false;
  bool running = false;
  bool has_run = false;
  bool on_credit = false;  // The present run was started on the floor's account.
};

// Tokens that the next run is expected to need.
inline std::uint32_t remaining_tokens(const job_state& value) {
  return value.expected_tokens > value.produced_tokens ? value.expected_tokens - value.produced_tokens : 1;
}

using job_table = std::unordered_map<job_id, job_state>;

}  // namespace cuminpath::scheduling
