// The state machine of an entry: decides how each accepted request is handled. It has no sockets and no
// clock: it receives events and returns actions. Not thread-safe; used on a single thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/entry/actions.h"
#include "core/entry/caller_request.h"
#include "core/entry/manifest_index.h"
#include "core/entry/request_table.h"
#include "core/routing/prompt_quarantine.h"
#include "core/routing/retry_budget.h"
#include "core/routing/router.h"

namespace cuminpath::entry {

struct entry_options {
  std::string name;
  std::string availability_zone;
  std::string region;
  request_limits limits;
  std::size_t max_requests = 20000;
  // What all requests hold of their responses: a quarter of the memory that a node may use (section 1.4).
  std::size_t max_response_bytes = 64U << 20U;
};

// The agent of a host that the manifest names: its location and peer address.
struct host_location {
  std::string name;
  std::string availability_zone;
  std::string region;
  std::string peer_address;
};

struct entry_counters {
  std::uint64_t requests = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;       // Taken from the retry budget.
  std::uint64_t free_retries = 0;  // After a refusal by a draining agent or for a stale configuration.
  std::uint64_t retries_denied = 0;
  std::uint64_t resumed_streams = 0;
  std::uint64_t late_frames = 0;  // Frames of abandoned attempts, or duplicates.
  std::uint64_t tokens = 0;
  std::uint64_t slow_callers = 0;
  std::uint64_t responses_given_up = 0;  // Because all together took too much memory.
};

class entry_core {
public:
  explicit entry_core(entry_options options);

  void on_configuration(event_context& context, configuration_version version,
                        std::shared_ptr<const config::manifest> manifest);
  void on_hosts(event_context& context, std::span<const host_location> agents);

  void on_request(event_context& context, caller_id caller, http::request value);
  // Called when the caller has closed its connection.
  void on_caller_closed(event_context& context, caller_id caller);
  // Called when the caller reads its stream too slowly. Aborts the stream.
  void on_caller_stalled(event_context& context, caller_id caller);

  void on_message(event_context& context, std::string_view peer_address, incarnation sender,
                  const wire::message& message);
  void on_link_lost(event_context& context, std::string_view peer_address);

  // `current` is null if there is no row.
  void on_claim_row(event_context& context, caller_id caller, std::uint64_t version, const json& current);
  void on_claim_row_failed(event_context& context, caller_id caller);
  void on_claim_written(event_context& context, caller_id caller, bool won, std::uint64_t version,
                        const json& current);
  void on_claim_write_unknown(event_context& context, caller_id caller);

  void tick(event_context& context);
  // Called when the process runs again after it was suspended.
  void on_process_resumed(time_point now) { m_router.on_process_resumed(now); }

  // Refuses new requests from now on. Called once no caller holds a list that names
  // this entry.
  void stop_accepting() { m_accepting = false; }

  [[nodiscard]] bool ready() const { return m_manifest_index.ready(); }
  [[nodiscard]] std::size_t in_flight() const { return m_requests.size(); }
  [[nodiscard]] const entry_counters& counters() const { return m_counters; }
  [[nodiscard]] const manifest_index& configuration() const { return m_manifest_index; }
  [[nodiscard]] std::size_t known_peers() const { return m_peers.size(); }

  // Returns what other entries may not know yet of prompts that crash upstreams; absent if there is nothing.
  [[nodiscard]] std::optional<wire::crash_evidence> crash_evidence_to_send(time_point now);
  // Returns true once after each change that must not wait for the next regular message.
  [[nodiscard]] bool take_crash_news();

private:
  struct peer {
    incarnation agent_incarnation{};
    time_point last_message{};
    time_point next_subscription{};
    bool message_received = false;
  };

  enum class retry_cost : std::uint8_t { budget, free };

  // entry_core.cpp
  void update_upstreams(event_context& context);
  void subscribe(event_context& context);
  [[nodiscard]] std::optional<problem> admit(const accepted_request& accepted) const;
  void begin_request(event_context& context, caller_id caller, accepted_request accepted);
  void tick_request(event_context& context, request& value);

  // attempts.cpp: attempts of requests without a claim, and the functions that both kinds of requests use.
  std::optional<routing::upstream_id> choose_upstream(event_context& context, request& value);
  void start_attempt(event_context& context, request& value);
  void send_attempt(event_context& context, request& value, routing::upstream_id upstream,
                    attempt_number number, incarnation receiver = {});
  void close_attempt(event_context& context, request& value, routing::attempt_outcome outcome, bool cancel);
  void retry(event_context& context, request& value, retry_cost cost, milliseconds delay);
  bool try_take_retry(request& value, retry_cost cost);
  void retry_stream(event_context& context, request& value, retry_cost cost, milliseconds delay);
  // Schedules the next attempt of a started stream; each pause is longer than the one before it.
  void pause_stream(event_context& context, request& value, milliseconds min_pause);
  void retry_when_due(event_context& context, request& value);
  void handle_broken_attempt(event_context& context, request& value, std::string_view cause);
  // silent_attempts.cpp: attempts of started streams that go on while their agents are silent.
  void on_agent_silent(event_context& context, request& value);
  void close_silent_attempts(event_context& context, request& value, routing::attempt_outcome outcome);
  // Removes the silent attempts that `matches` selects. The stream ends if it has nothing else left.
  template <class predicate>
  void drop_silent_attempts(event_context& context, request& value, predicate matches);
  void on_silent_link_lost(event_context& context, request& value, std::string_view peer_address);
  // Handles a message of a silent attempt. Returns true if that attempt is the current one from now on.
  bool on_silent_attempt(event_context& context, request& value, attempt_number number,
                         const wire::message& message);
  void make_current(event_context& context, request& value, attempt_number number);
  void expire_request(event_context& context, request& value);
  void fail_request(event_context& context, request& value, problem failure);
  void respond_to(event_context& context, request& value, http::response response);
  void end_request(event_context& context, request& value, int status);

  // answers.cpp: messages of agents.
  // Returns the request whose current attempt the message belongs to, if its state is still needed.
  request* find_current_attempt(event_context& context, std::string_view peer_address,
                                std::string_view wire_id, attempt_number number,
                                const wire::message& message);
  void on_head(event_context& context, request& value, const wire::response_head& message);
  void on_chunk(event_context& context, request& value, const wire::response_chunk& message);
  void on_model_chunk(event_context& context, request& value, const wire::response_chunk& message);
  // Keeps what all requests hold of their responses within entry_options::max_response_bytes.
  void limit_response_memory(event_context& context);
  void on_end(event_context& context, request& value, const wire::response_end& message);
  void on_refusal(event_context& context, request& value, const wire::refusal& message);
  void on_attempt_status(event_context& context, incarnation sender, const wire::attempt_status& message);
  void finish_model_answer(event_context& context, request& value);
  http::response upstream_response(request& value) const;

  // prompt_crashes.cpp: requests that crash upstreams.
  // Returns true if the request has been refused, because a part of its prompt crashes upstreams.
  bool refuse_quarantined(event_context& context, request& value);
  void on_upstream_crash(event_context& context, request& value, const wire::upstream_crash& message);
  void on_crash_evidence(event_context& context, const wire::crash_evidence& message);
  void record_quarantine_changes(event_context& context);

  // claims.cpp: calls that may not be repeated.
  void begin_claim(event_context& context, request& value);
  std::optional<idempotency::claim_target> choose_claim_target(event_context& context, request& value);
  void run_claim_actions(event_context& context, request& value, std::vector<idempotency::action> actions);
  void execute_claim_action(event_context& context, request& value, const idempotency::action& claim_action,
                            std::vector<idempotency::action>& new_actions);
  void provide_target(event_context& context, request& value, std::vector<idempotency::action>& new_actions);
  void send_claimed_attempt(event_context& context, request& value, const idempotency::send_attempt& claimed,
                            std::vector<idempotency::action>& new_actions);
  void settle_claim(event_context& context, request& value, const idempotency::settle_attempt& settlement);

  entry_options m_options;
  manifest_index m_manifest_index;
  std::unordered_map<std::string, host_location> m_hosts;
  routing::router m_router;
  // One budget for each priority class, so that refusals during an overload of one class do not use up the
  // retries of the others.
  std::unordered_map<std::string, routing::retry_budget> m_retry_budgets;
  routing::prompt_quarantine m_prompt_quarantine;
  bool m_crash_news = false;
  request_table m_requests;
  // Agents of the upstream subset and of open attempts, by peer address.
  std::unordered_map<std::string, peer> m_peers;
  // Token of an attempt to the requests that wait for its state.
  std::unordered_multimap<std::string, caller_id> m_pending_settlements;
  time_point m_next_peers_update{};
  std::uint64_t m_next_wire_id = 1;
  std::string m_wire_id_prefix;  // Random, generated with the first request.
  entry_counters m_counters;
  bool m_accepting = true;
};

}  // namespace cuminpath::entry
