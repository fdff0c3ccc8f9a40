// Decides what becomes of each request that this entry has accepted. Without sockets and clocks: events come
// in, actions go out. Used on one thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/entry/actions.h"
#include "core/entry/caller_request.h"
#include "core/entry/directory.h"
#include "core/entry/request_table.h"
#include "core/routing/retry_budget.h"
#include "core/routing/router.h"

namespace cuminpath::entry {

struct entry_options {
  std::string name;
  std::string availability_zone;
  std::string region;
  request_limits limits;
  std::size_t max_requests = 20000;
};

// Where the agents of the manifest's hosts listen.
struct host_location {
  std::string name;
  std::string availability_zone;
  std::string region;
  std::string peer_address;
};

struct entry_counters {
  std::uint64_t requests = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;       // Taken out of the retry budget.
  std::uint64_t free_retries = 0;  // After a refusal by a draining agent or for a stale configuration.
  std::uint64_t retries_denied = 0;
  std::uint64_t resumed_streams = 0;
  std::uint64_t late_frames = 0;  // Of abandoned attempts, or repeated.
  std::uint64_t tokens = 0;
  std::uint64_t slow_callers = 0;
};

class entry_core {
public:
  explicit entry_core(entry_options options);

  void on_configuration(step& step, configuration_version version,
                        std::shared_ptr<const config::manifest> manifest);
  void on_hosts(step& step, std::span<const host_location> agents);

  void on_request(step& step, caller_id caller, http::request value);
  // The caller has closed its connection.
  void on_caller_closed(step& step, caller_id caller);
  // The caller reads its stream too slowly; the stream ends.
  void on_caller_stalled(step& step, caller_id caller);

  void on_message(step& step, std::string_view peer_address, incarnation sender,
                  const wire::message& message);
  void on_link_lost(step& step, std::string_view peer_address);

  // `current` is null if there is no row.
  void on_claim_row(step& step, caller_id caller, std::uint64_t version, const json& current);
  void on_claim_row_failed(step& step, caller_id caller);
  void on_claim_written(step& step, caller_id caller, bool won, std::uint64_t version, const json& current);
  void on_claim_write_unknown(step& step, caller_id caller);

  void tick(step& step);
  // The process stood still until now.
  void on_own_pause(time_point now) { m_router.on_own_pause(now); }

  // New requests are refused from now on. Called when no caller holds a list with this entry any more.
  void stop_accepting() { m_accepting = false; }

  [[nodiscard]] bool ready() const { return m_directory.ready(); }
  [[nodiscard]] std::size_t in_flight() const { return m_requests.size(); }
  [[nodiscard]] const entry_counters& counters() const { return m_counters; }
  [[nodiscard]] const directory& configuration() const { return m_directory; }
  [[nodiscard]] std::size_t known_peers() const { return m_peers.size(); }

private:
  struct peer {
    incarnation number{};
    time_point last_message{};
    time_point subscribe_at{};
    bool heard = false;
  };

  enum class retry_cost : std::uint8_t { budget, free };

  // entry_core.cpp
  void update_upstreams(step& step);
  void subscribe(step& step);
  [[nodiscard]] std::optional<problem> admit(const accepted_request& accepted) const;
  void begin(step& step, caller_id caller, accepted_request accepted);
  void tick_request(step& step, request& value);

  // attempts.cpp: attempts of requests without a claim, and what both kinds share.
  std::optional<routing::upstream_id> choose(step& step, request& value);
  void start_attempt(step& step, request& value);
  void send_attempt(step& step, request& value, routing::upstream_id upstream, attempt_number number,
                    incarnation receiver = {});
  void close_attempt(step& step, request& value, routing::attempt_outcome outcome, bool cancel);
  void retry(step& step, request& value, retry_cost cost, milliseconds pause);
  bool take_retry(request& value, retry_cost cost);
  void attempt_broken(step& step, request& value, std::string_view cause);
  void expire(step& step, request& value);
  void fail(step& step, request& value, problem failure);
  void respond_to(step& step, request& value, http::response response);
  void end_request(step& step, request& value, int status);

  // answers.cpp: messages of agents.
  request* current_attempt(std::string_view peer_address, std::string_view wire_id, attempt_number number);
  void on_head(step& step, request& value, const wire::answer_head& message);
  void on_chunk(step& step, request& value, const wire::answer_chunk& message);
  void on_model_chunk(step& step, request& value, const wire::answer_chunk& message);
  void on_end(step& step, request& value, const wire::answer_end& message);
  void on_refusal(step& step, request& value, const wire::refusal& message);
  void on_attempt_status(step& step, incarnation sender, const wire::attempt_status& message);
  void finish_model_answer(step& step, request& value);
  http::response upstream_response(request& value) const;

  // claims.cpp: calls that may not be repeated.
  void begin_claim(step& step, request& value);
  std::optional<idempotency::claim_target> choose_claim_target(step& step, request& value);
  void run_claim(step& step, request& value, std::vector<idempotency::action> actions);
  void execute(step& step, request& value, const idempotency::action& order,
               std::vector<idempotency::action>& more);
  void provide_target(step& step, request& value, std::vector<idempotency::action>& more);
  void send_claimed(step& step, request& value, const idempotency::send_attempt& order,
                    std::vector<idempotency::action>& more);
  void settle(step& step, request& value, const idempotency::settle& order);

  entry_options m_options;
  directory m_directory;
  std::unordered_map<std::string, host_location> m_hosts;
  routing::router m_router;
  // One for each priority class, so that refusals during a flood of one class do not use up the retries of
  // the others.
  std::unordered_map<std::string, routing::retry_budget> m_budgets;
  request_table m_requests;
  std::unordered_map<std::string, peer> m_peers;  // Agents of the current subset, by peer address.
  std::unordered_multimap<std::string, caller_id> m_settlements;  // Token to the request that asks.
  time_point m_next_peer_update{};
  std::uint64_t m_next_wire_id = 1;
  std::string m_wire_prefix;  // Random, chosen with the first request.
  entry_counters m_counters;
  bool m_accepting = true;
};

}  // namespace cuminpath::entry
