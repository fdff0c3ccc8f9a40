// Table of the attempts that an agent has received: all data of those in progress, and the outcome of those
// that have ended.
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
#include "core/agent/event_stream_parser.h"
#include "core/common/time.h"
#include "core/scheduling/scheduler.h"
#include "core/wire/messages.h"

namespace cuminpath::agent {

enum class attempt_phase : std::uint8_t {
  held,     // Waits until the agent's configuration is as new as the entry's.
  queued,   // Queued in the scheduler: has not run yet, or was preempted.
  running,  // A call to the upstream is in progress.
};

// An attempt in progress.
struct attempt {
  scheduling::job_id job{};
  wire::submit_request request;
  std::string peer_address;  // The entry that sent the attempt and waits for the response.
  configuration_version version{};
  attempt_phase phase = attempt_phase::held;
  bool started = false;  // A byte of the request may have reached the upstream.
  std::uint32_t runs = 0;
  time_point arrived{};
  time_point deadline{};
  run_id run{};  // The current run, if the phase is running.
  bool head_sent = false;
  bool token_stream = false;  // The response is a stream of token events; otherwise it is forwarded as bytes.
  event_stream_parser events;
  std::uint64_t next_index = 0;               // Index of the next token or byte of the response.
  std::vector<std::string> generated_events;  // Token events of this attempt; empty unless preemptible.
  std::uint16_t status = 0;                   // That was sent to the entry.
  wire::header_list headers;                  // The response so far, only of a call that may not be repeated.
  std::string body;
  bool response_too_large = false;
};

enum class ended_state : std::uint8_t {
  finished,
  failed,   // It may have run, and its response is unknown or no longer stored.
  not_run,  // It was refused, or settled as not seen. It will never run.
};

// What is kept of an attempt after its end.
struct ended_attempt {
  ended_state state = ended_state::not_run;
  bool repeatable = true;
  time_point expires_at{};
  std::uint16_t status = 0;
  wire::header_list headers = {};
  std::string body = {};
};

// Bloom filter of 64-bit fingerprints with a fixed size. contains() has no false negatives. With one million
// members its rate of false positives is 2.4 %, by the usual formula for 2^23 bits and four hash functions.
class bloom_filter {
public:
  void add(std::uint64_t fingerprint);
  [[nodiscard]] bool contains(std::uint64_t fingerprint) const;

private:
  std::vector<std::uint64_t> m_words;  // Allocated when the first member is added.
};

struct attempt_table_options {
  duration retention = std::chrono::minutes(10);
  // A node handles at most 40 requests per second, 24,000 during the retention time.
  std::size_t max_ended = 50000;
  // Limit for the stored response of one call that may not be repeated.
  std::size_t max_response_bytes = 4U << 20U;
  // Limit for all stored responses, also of calls in progress. The oldest of ended calls are dropped first.
  std::size_t max_total_response_bytes = 64U << 20U;
};

class attempt_table {
public:
  explicit attempt_table(attempt_table_options options = {});

  // Adds an attempt. The pair of request id and attempt number must not be in the table.
  attempt& add(time_point now, std::string_view peer_address, wire::submit_request request);
  [[nodiscard]] attempt* find(std::string_view request_id, attempt_number number);
  [[nodiscard]] attempt* find(scheduling::job_id job);
  [[nodiscard]] attempt* find(run_id run);
  [[nodiscard]] const ended_attempt* find_ended(std::string_view request_id, attempt_number number) const;

  // Begins a new run of the attempt. From then on the attempt counts as one that may have run.
  run_id begin_run(attempt& value);
  // Records that the upstream has not received a byte of the current run. If it is the first run, the attempt
  // counts as not started.
  void mark_unsent(attempt& value);
  // Stores a part of the response to a call that may not be repeated. If a limit is exceeded, the response is
  // no longer stored, and the outcome of the call counts as unknown once it has ended.
  void append_response(attempt& value, std::string_view data);
  // Ends the current run but not the attempt.
  void end_run(attempt& value);
  // Ends the attempt and keeps its outcome. Invalidates the reference.
  void end(time_point now, attempt& value, ended_state state);

  // Whether the attempt, which may not be repeated, may have run, even if its record has expired. Never false
  // for an attempt that has run.
  [[nodiscard]] bool may_have_run(std::string_view request_id, attempt_number number) const;
  // Records that the attempt must never run. This record does not expire.
  void forbid(time_point now, std::string_view request_id, attempt_number number);
  [[nodiscard]] bool is_forbidden(std::string_view request_id, attempt_number number) const;

  // Removes the ended attempts whose retention time has passed.
  void expire(time_point now);
  // Returns the jobs whose deadline has passed, each one only once.
  std::vector<scheduling::job_id> take_overdue(time_point now);

  // Return the jobs of the attempts in progress, of all entries or of one, in order of arrival.
  [[nodiscard]] std::vector<scheduling::job_id> jobs() const;
  [[nodiscard]] std::vector<scheduling::job_id> jobs_from(std::string_view peer_address) const;
  [[nodiscard]] std::size_t size() const { return m_active.size(); }
  [[nodiscard]] std::size_t ended_size() const { return m_ended.size(); }
  // Returns the size of the bodies and resume texts of the requests that have not ended.
  [[nodiscard]] std::size_t request_bytes() const { return m_request_bytes; }
  // Whether the outcome of another call that may not be repeated can be kept for the whole retention time.
  [[nodiscard]] bool has_unrepeatable_capacity() const { return m_unrepeatable_ended < m_options.max_ended; }

private:
  static std::string key(std::string_view request_id, attempt_number number);
  static std::size_t body_bytes(const wire::submit_request& request);
  void record_ended(time_point now, std::string key, ended_attempt value);
  void erase_ended(const std::string& key);
  void drop_oldest_responses();

  attempt_table_options m_options;
  std::uint64_t m_last_job = 0;
  std::uint64_t m_last_run = 0;
  std::size_t m_request_bytes = 0;
  std::size_t m_response_bytes = 0;
  std::size_t m_unrepeatable_ended = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<attempt>> m_active;  // By job.
  std::unordered_map<std::string, std::uint64_t> m_jobs;                 // By key.
  std::unordered_map<std::uint64_t, std::uint64_t> m_runs;               // Job by run.
  std::set<std::pair<time_point, std::uint64_t>> m_deadlines;            // Deadline and job.
  std::unordered_map<std::string, ended_attempt> m_ended;
  // Keys of m_ended in the order in which they expire.
  std::deque<std::string> m_repeatable_order;
  std::deque<std::string> m_unrepeatable_order;
  std::deque<std::string> m_response_order;
  bloom_filter m_started_filter;
  bloom_filter m_forbidden_filter;
};

}  // namespace cuminpath::agent
