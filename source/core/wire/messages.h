// Messages between the processes of cuminpath. An envelope carries any number of them to one peer.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/common/ids.h"

namespace cuminpath::wire {

using header_list = std::vector<std::pair<std::string, std::string>>;

enum class request_kind : std::uint8_t { completion, chat_completion, service };

// What is known about a request that did not end with its whole answer.
enum class execution : std::uint8_t {
  not_run,  // The upstream has not started it and never will.
  unknown,  // The upstream may have run it, in part or as a whole.
};

enum class refusal_reason : std::uint8_t {
  draining,             // The agent is leaving; try another upstream.
  stale_configuration,  // The entry's configuration is older than the agent's.
  infeasible,           // The target or the remaining time cannot be met.
  queue_full,
  over_share,
  deadline_passed,
  duplicate_attempt,  // The agent has seen this attempt, or was told to refuse it.
  upstream_failed,    // The upstream refused the connection, failed or broke off.
  unknown_upstream,   // The agent does not serve what the request names.
  cancelled,
  agent_restarted,  // The message names another incarnation of the agent.
};

// Entry to agent: one attempt of one request.
struct submit_request {
  std::string request_id;
  attempt_number attempt{};
  request_kind kind = request_kind::completion;
  std::string workspace;
  std::string priority_class;
  std::string model_or_service;
  std::string method;  // Services only.
  std::string path;    // Services only; with the query.
  header_list headers;
  std::string body;
  std::uint32_t remaining_ms = 0;     // Time left until the caller's deadline.
  std::uint32_t expected_tokens = 0;  // Prompt and output, for fair queueing.
  std::uint32_t resume_index = 0;     // First token index that the entry still needs.
  std::string resume_text;            // Text of the tokens before resume_index.
  bool repeatable = true;
  // Calls that may not be repeated: the agent process that the claim names. Another process would not know
  // what the named one was told to refuse. 0 for other calls.
  incarnation receiver{};
};

// Entry to agent: stop the attempt; nobody waits for it.
struct cancel_request {
  std::string request_id;
  attempt_number attempt{};
};

// Entry to agent: report the outcome of an attempt; refuse it from now on if it was never seen.
struct settle_attempt {
  std::string request_id;
  attempt_number attempt{};
};

// Entry to agent: send load reports for the next `lease_ms` milliseconds.
struct subscribe_load {
  std::uint32_t lease_ms = 0;
};

// Agent to entry: status and headers of the upstream's answer.
struct answer_head {
  std::string request_id;
  attempt_number attempt{};
  std::uint16_t status = 200;
  header_list headers;
};

// Agent to entry: a part of the answer. For a model, `index` is that of the first of `tokens` tokens and
// `data` holds one JSON event for each, separated by line feeds. For a service, `index` is the byte offset.
struct answer_chunk {
  std::string request_id;
  attempt_number attempt{};
  std::uint64_t index = 0;
  std::uint32_t tokens = 0;
  std::string data;
};

// Agent to entry: the answer is whole; `length` is the next index (tokens or bytes).
struct answer_end {
  std::string request_id;
  attempt_number attempt{};
  std::uint64_t length = 0;
};

// Agent to entry: the attempt ended without its whole answer.
struct refusal {
  std::string request_id;
  attempt_number attempt{};
  execution ran = execution::unknown;
  refusal_reason reason = refusal_reason::upstream_failed;
  std::uint32_t retry_after_ms = 0;
  std::string detail;
};

enum class attempt_state : std::uint8_t { not_seen, queued, running, finished, failed };

// Agent to entry: reply to settle_attempt. After `not_seen` the agent refuses the attempt for ever.
struct attempt_status {
  std::string request_id;
  attempt_number attempt{};
  attempt_state state = attempt_state::not_seen;
  std::uint16_t status = 0;  // Answer, if finished.
  header_list headers;
  std::string body;
};

struct class_load {
  std::string priority_class;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint32_t expected_wait_ms = 0;  // Until a request that arrives now would start.
};

// Agent to entry: load of its upstream.
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

// Any to any: the sender lives; `events` spread recent changes of membership.
struct heartbeat {
  bool leaving = false;
  std::vector<member_event> events;
};

// Any to any: ask for the configuration; names the digests that the sender already holds.
struct configuration_fetch {
  std::vector<std::string> digests;
};

// Reply to configuration_fetch: the index of a version and the sections that the peer lacks.
struct configuration_sections {
  configuration_version version{};
  std::string index;
  std::vector<std::pair<std::string, std::string>> sections;  // Digest and content.
};

// Messages of a group's expert-map switch. `plan` is the JSON text of the new expert map.
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
  std::uint64_t step = 0;  // Current step of the rank.
};
struct switch_arm {
  std::string group;
  fencing_token token{};
  std::uint64_t switch_id = 0;
  std::uint64_t step = 0;  // First step on the new map.
};
struct switch_armed {
  std::string group;
  fencing_token token{};
  std::uint64_t switch_id = 0;
  std::uint32_t rank = 0;
  bool armed = false;
};
struct switch_go {
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
// Rank to coordinator: tokens handled by each expert of each layer since the last report.
struct expert_load {
  std::string group;
  std::uint32_t rank = 0;
  std::uint64_t step = 0;
  float step_ms = 0;
  std::vector<std::vector<std::uint32_t>> layers;
};

// The order of the alternatives is the message number on the wire: append only.
using message =
    std::variant<submit_request, cancel_request, settle_attempt, subscribe_load, answer_head, answer_chunk,
                 answer_end, refusal, attempt_status, load_report, heartbeat, configuration_fetch,
                 configuration_sections, switch_prepare, switch_prepared, switch_arm, switch_armed, switch_go,
                 switch_abort, switch_query, switch_state, expert_load>;

struct envelope {
  std::string sender;          // Name of the sending process.
  std::string sender_address;  // Peer address (IP:PORT) on which the sender listens.
  incarnation sender_incarnation{};
  std::uint64_t sequence = 0;  // Counts the envelopes on this link from 1.
  configuration_version version{};
  std::uint64_t logical_time = 0;  // Hybrid logical clock: milliseconds << 16 | counter.
  std::vector<message> messages = {};
};

}  // namespace cuminpath::wire
