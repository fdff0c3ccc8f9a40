// The attempts that an agent has seen: those in progress in full, those that ended as far as they matter.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/agent/actions.h"
#include "core/agent/event_stream.h"
#include "core/common/time.h"
#include "core/scheduling/scheduler.h"
#include "core/wire/messages.h"

namespace cuminpath::agent {

enum class attempt_phase : std::uint8_t {
  held,     // Waits until the agent's configuration is as new as the entry's.
  queued,   // Given to the scheduler; has not run, or was preempted.
  running,  // A call to the upstream is in progress.
};

struct attempt {
  scheduling::job_id job{};
  wire::submit_request request;
  std::string peer_address;  // Entry that waits for the answer.
  configuration_version version{};
  attempt_phase phase = attempt_phase::held;
  bool started = false;  // A byte of it may have reached the upstream.
  std::uint32_t runs = 0;
  time_point arrived{};
  time_point deadline{};
  run_id run{};  // The current run, if it is running.
  bool head_sent = false;
  bool token_stream = false;  // The answer is a stream of tokens; else it is passed on byte by byte.
  event_stream events;
  std::uint64_t next_index = 0;        // Next token or byte.
  std::vector<std::string> generated;  // Events of the tokens generated here; empty unless preemptible.
  std::uint16_t status = 0;            // Answer so far of a call that may not be repeated.
  wire::header_list headers;
  std::string body;
  bool answer_too_large = false;
};

enum class ended_state : std::uint8_t {
  finished,
  failed,   // It may have run, and its answer is not known or not held any more.
  not_run,  // It was refused, or settled as not seen. It never runs.
};

struct ended_attempt {
  ended_state state = ended_state::not_run;
  bool repeatable = true;
  time_point forget_at{};
  std::uint16_t status = 0;
  wire::header_list headers = {};
  std::string body = {};
};

// Set of 64-bit fingerprints in fixed memory that never forgets one. contains() may be wrong with `true`: at
// one million members for 2.4 in 100 others, by the usual formula for 2^23 bits and four hash functions.
class fingerprint_filter {
public:
  void add(std::uint64_t fingerprint);
  [[nodiscard]] bool contains(std::uint64_t fingerprint) const;

private:
  std::vector<std::uint64_t> m_words;  // Allocated with the first member.
};

struct attempt_table_options {
  duration retention = std::chrono::minutes(10);
  // A node handles 40 requests a second at peak, 24,000 in the retention time.
  std::size_t max_ended = 50000;
  std::size_t max_answer_bytes = 4U << 20U;    // Of one call that may not be repeated.
  std::size_t max_answers_bytes = 64U << 20U;  // Of all; the oldest is dropped first.
};

class attempt_table {
public:
  explicit attempt_table(attempt_table_options options = {});

  // The pair must not be known.
  attempt& add(time_point now, std::string_view peer_address, wire::submit_request request);
  [[nodiscard]] attempt* find(std::string_view request_id, attempt_number number);
  [[nodiscard]] attempt* find(scheduling::job_id job);
  [[nodiscard]] attempt* find(run_id run);
  [[nodiscard]] const ended_attempt* find_ended(std::string_view request_id, attempt_number number) const;

  // Gives the attempt a new run. From now on it counts as one that may have run.
  run_id start(attempt& value);
  // The upstream has not received a byte of the current run. If it was the first, the attempt has not
  // started.
  void withdraw(attempt& value);
  // Ends the current run without ending the attempt.
  void stop(attempt& value);
  // Moves the attempt to those that ended. The reference is invalid afterwards.
  void end(time_point now, attempt& value, ended_state state);

  // Whether the attempt may have run although its record is gone. Never false for one that has run.
  [[nodiscard]] bool may_have_run(std::string_view request_id, attempt_number number) const;
  // Remembers for ever that the attempt must not run.
  void bar(time_point now, std::string_view request_id, attempt_number number);
  [[nodiscard]] bool barred(std::string_view request_id, attempt_number number) const;

  void expire(time_point now);
  // Jobs whose deadline has passed; each is returned once.
  std::vector<scheduling::job_id> take_overdue(time_point now);

  // Jobs of the attempts in progress, in order of arrival.
  [[nodiscard]] std::vector<scheduling::job_id> jobs() const;
  [[nodiscard]] std::vector<scheduling::job_id> jobs_of(std::string_view peer_address) const;
  [[nodiscard]] std::size_t size() const { return m_active.size(); }
  [[nodiscard]] std::size_t ended_size() const { return m_ended.size(); }
  // Bodies of the requests that have not ended.
  [[nodiscard]] std::size_t request_bytes() const { return m_request_bytes; }
  // Whether another call that may not be repeated can be remembered for the whole retention time.
  [[nodiscard]] bool has_room() const { return m_unrepeatable_ended < m_options.max_ended; }

private:
  static std::string key(std::string_view request_id, attempt_number number);
  static std::size_t bytes_of(const wire::submit_request& request);
  void remember(time_point now, std::string key, ended_attempt value);
  void forget(const std::string& key);
  void drop_old_answers();

  attempt_table_options m_options;
  std::uint64_t m_last_job = 0;
  std::uint64_t m_last_run = 0;
  std::size_t m_request_bytes = 0;
  std::size_t m_answers_bytes = 0;
  std::size_t m_unrepeatable_ended = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<attempt>> m_active;  // By job.
  std::unordered_map<std::string, std::uint64_t> m_jobs;                 // By key.
  std::unordered_map<std::uint64_t, std::uint64_t> m_runs;               // Run to job.
  std::set<std::pair<time_point, std::uint64_t>> m_deadlines;            // With the job.
  std::unordered_map<std::string, ended_attempt> m_ended;
  // Keys in the order in which they are forgotten.
  std::deque<std::string> m_repeatable_order;
  std::deque<std::string> m_unrepeatable_order;
  std::deque<std::string> m_answers_order;
  fingerprint_filter m_started;
  fingerprint_filter m_barred;
};

}  // namespace cuminpath::agent
