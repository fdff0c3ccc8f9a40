// State of the jobs that an agent has accepted and not yet finished.
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
  // Changes whenever the job is queued or started. A queue entry with another sequence is stale.
  std::uint64_t sequence = 0;
  time_point deadline{};
  time_point queued_at{};
  time_point started_at{};       // Of the current run.
  time_point first_token_at{};   // Of the current run, if it has produced tokens.
  std::uint32_t run_tokens = 0;  // Expected from the current run.
  std::uint32_t run_produced = 0;
  bool preemptible = false;
  bool running = false;
  bool has_run = false;
  bool on_credit = false;  // The current run was started on the credit of its class.
};

// Returns the number of tokens that the next run is expected to produce.
inline std::uint32_t remaining_tokens(const job_state& value) {
  return value.expected_tokens > value.produced_tokens ? value.expected_tokens - value.produced_tokens : 1;
}

using job_table = std::unordered_map<job_id, job_state>;

}  // namespace cuminpath::scheduling
