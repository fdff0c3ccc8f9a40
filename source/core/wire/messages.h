// Messages between the processes of cuminpath. An envelope carries any number of messages to one peer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/common/ids.h"

namespace cuminpath::wire {

using header_list = std::vector<std::pair<std::string, std::string>>;

enum class request_kind : std::uint8_t { completion, chat_completion, service };

// Whether a request without a complete response may have been executed.
enum class execution : std::uint8_t {
  not_run,  // The upstream has not started the request and never will.
  unknown,  // The upstream may have executed the request, partly or completely.
};

enum class refusal_reason : std::uint8_t {
  draining,             // The agent is leaving; the entry should try another upstream.
  stale_configuration,  // The entry's configuration is older than the agent's.
  infeasible,           // The latency target or the deadline cannot be met.
  queue_full,
  over_share,
  deadline_passed,
  duplicate_attempt,  // The agent has received this attempt before, or was instructed to refuse it.
  upstream_failed,    // The upstream refused the connection, failed or aborted its response.
  unknown_upstream,   // The agent does not serve the requested model or service.
  cancelled,
  agent_restarted,  // The message is addressed to another incarnation of the agent.
};
// Returns the name for logs and metrics.
[[nodiscard]] std::string_view to_string(refusal_reason reason);

// Entry to agent: one attempt of one request.
struct submit_request {
  std::string request_id;
  attempt_number attempt{};
  request_kind kind = request_kind::completion;
  std::string workspace;
  std::string priority_class;
  std::string model_or_service;
  std::string method;  // Services only.
  std::string path;    // Services only; includes the query.
  header_list headers;
  std::string body;
  std::uint32_t remaining_ms = 0;     // Time remaining until the caller's deadline.
  std::uint32_t expected_tokens = 0;  // Prompt and output tokens, for fair queueing.
  std::uint32_t resume_index = 0;     // Index of the first token that the entry still needs.
  std::string resume_text;            // Text of the tokens before resume_index.
  bool repeatable = true;
  // For calls that may not be repeated: the agent process that the claim names, because another process would
  // not know which attempts that process was instructed to refuse. 0 for other calls.
  incarnation receiver{};
};

// Entry to agent: stop the attempt, because no caller waits for it any longer.
struct cancel_request {
  std::string request_id;
  attempt_number attempt{};
};

// Entry to agent: report the outcome of an attempt. If the agent has not received the attempt, it refuses the
// attempt from now on.
struct settle_attempt {
  std::string request_id;
  attempt_number attempt{};
};

// Entry to agent: send load reports for the next `lease_ms` milliseconds.
struct subscribe_load {
  std::uint32_t lease_ms = 0;
};

// Agent to entry: status and headers of the upstream's response.
struct response_head {
  std::string request_id;
  attempt_number attempt{};
  std::uint16_t status = 200;
  header_list headers;
};

// Agent to entry: a part of the response. For a model, `index` is the index of the first of `tokens` tokens,
// and `data` holds one JSON event per token, separated by line feeds. For a service, `index` is the offset of
// the first byte.
struct response_chunk {
  std::string request_id;
  attempt_number attempt{};
  std::uint64_t index = 0;
  std::uint32_t tokens = 0;
  std::string data;
};

// Agent to entry: the response is complete. `length` is the index after its last token or byte.
struct response_end {
  std::string request_id;
  attempt_number attempt{};
  std::uint64_t length = 0;
};

// Agent to entry: the attempt ended without a complete response.
struct refusal {
  std::string request_id;
  attempt_number attempt{};
  execution execution_state = execution::unknown;
  refusal_reason reason = refusal_reason::upstream_failed;
  std::uint32_t retry_after_ms = 0;
  std::string detail;
};

enum class attempt_state : std::uint8_t { not_seen, queued, running, finished, failed };

// Agent to entry: reply to settle_attempt. After the reply `not_seen`, the agent always refuses the attempt.
struct attempt_status {
  std::string request_id;
  attempt_number attempt{};
  attempt_state state = attempt_state::not_seen;
  std::uint16_t status = 0;  // With headers and body: the response, if the attempt is finished.
  header_list headers;
  std::string body;
};

struct class_load {
  std::string priority_class;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint32_t expected_wait_ms = 0;  // Expected wait of a request that arrives now until it starts.
};

// Agent to entry: load of the agent's upstream.
struct load_report {
  std::string upstream;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  bool draining = false;
  bool upstream_healthy = true;
  std::vector<class_load> classes;
};

enum class member_state : std::uint8_t { alive, suspected, leaving };

struct member_event {
  std::string name;
  incarnation incarnation_number{};
  member_state state = member_state::alive;
};

// Between any processes: the sender is alive. `events` distributes recent membership changes.
struct heartbeat {
  bool leaving = false;
  std::vector<member_event> events;
};

// Between any processes: request the configuration. `digests` lists the sections that the sender has.
struct configuration_fetch {
  std::vector<std::string> digests;
};

// Reply to configuration_fetch: the index of a version and the sections that the receiver lacks.
struct configuration_sections {
  configuration_version version{};
  std::string index;
  std::vector<std::pair<std::string, std::string>> sections;  // Digest and content.
};

// Messages of a group's map switch. `plan` is the JSON text of the new expert map.
struct switch_prepare {
  std::string group;
  fencing_token token{};
  std::uint64_t switch_id = 0;
  std::string digest;
  std::string plan;
};
struct switch_prepared {
  std::string group;
  fencing_token token{};
  std::uint64_t switch_id = 0;
  std::uint32_t rank = 0;
  bool ready = false;
  std::uint64_t step = 0;  // Current step (forward pass) of the rank.
};
struct switch_arm {
  std::string group;
  fencing_token token{};
  std::uint64_t switch_id = 0;
  std::uint64_t step = 0;  // First step that uses the new map.
};
struct switch_armed {
  std::string group;
  fencing_token token{};
  std::uint64_t switch_id = 0;
  std::uint32_t rank = 0;
  bool armed = false;
};
struct switch_commit {
  std::string group;
  fencing_token token{};
  std::uint64_t switch_id = 0;
};
struct switch_abort {
  std::string group;
  fencing_token token{};
  std::uint64_t switch_id = 0;
};
struct switch_query {
  std::string group;
  fencing_token token{};
};
enum class switch_phase : std::uint8_t { idle, preparing, prepared, armed, committed, aborted };
struct switch_state {
  std::string group;
  fencing_token token{};
  std::uint32_t rank = 0;
  std::uint64_t switch_id = 0;
  switch_phase phase = switch_phase::idle;
  std::uint64_t step = 0;
  std::string digest;
};
// Rank to coordinator: number of tokens that each expert of each layer has processed since the last report.
struct expert_load {
  std::string group;
  std::uint32_t rank = 0;
  std::uint64_t step = 0;
  float step_ms = 0;
  std::vector<std::vector<std::uint32_t>> layers;
};

// Agent to entry, before the refusal of the attempt: the upstream ended before it sent a token. `crash` is
// the same for all attempts that the same end of the upstream broke.
struct upstream_crash {
  std::string request_id;
  attempt_number attempt{};
  std::uint32_t crash = 0;
};

// Between entries: parts of prompts that were in flight when upstreams crashed. Ages are relative to the time
// of sending.
struct crash_record {
  std::uint32_t crash = 0;
  std::uint32_t age_ms = 0;
};
struct suspected_part {
  std::uint64_t part = 0;
  std::int64_t last_output_age_ms = -1;  // -1 if no output is known.
  std::vector<crash_record> crashes;
};
struct crash_evidence {
  std::vector<suspected_part> parts;
};

// The index of an alternative is the message number on the wire, so alternatives may only be appended.
using message = std::variant<submit_request, cancel_request, settle_attempt, subscribe_load, response_head,
                             response_chunk, response_end, refusal, attempt_status, load_report, heartbeat,
                             configuration_fetch, configuration_sections, switch_prepare, switch_prepared,
                             switch_arm, switch_armed, switch_commit, switch_abort, switch_query,
                             switch_state, expert_load, upstream_crash, crash_evidence>;

struct envelope {
  std::string sender;          // Name of the sending process.
  std::string sender_address;  // Address (IP:PORT) on which the sender listens for peers.
  incarnation sender_incarnation{};
  std::uint64_t sequence = 0;  // Number of the envelope on this link, starting from 1.
  configuration_version version{};
  std::uint64_t logical_time = 0;  // Hybrid logical clock: milliseconds << 16 | counter.
  std::vector<message> messages = {};
};

}  // namespace cuminpath::wire
