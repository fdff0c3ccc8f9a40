// Chooses the upstream for each attempt of a request. Holds the state that one entry knows of its upstreams.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/routing/ejection.h"
#include "core/wire/messages.h"

namespace cuminpath::routing {

enum class upstream_id : std::uint32_t {};

struct upstream_info {
  std::string name;
  std::string model_or_service;
  std::string availability_zone;
  std::string region;
  std::string peer_address;  // Address of its agent; empty while the host is unknown.
  std::uint32_t slots = 1;
};

enum class load_estimate : std::uint8_t {
  reported_plus_outstanding,  // Counts the requests of the local entry twice if the report contains them.
  reported_plus_change,       // Adds only the change of the local requests since the report arrived.
};

struct router_options {
  std::string entry_name = {};  // Selects the subset by rendezvous hashing.
  std::string availability_zone = {};
  std::string region = {};
  std::uint32_t subset_size = 24;  // Available upstreams of a model that are in use at the same time.
  milliseconds suspicion_timeout{2000};
  // An upstream with more than this multiple of the mean load is skipped in spite of a prefix match.
  double affinity_bound = 1.25;
  // Mean load per slot in the local availability zone above which the other availability zones are used as
  // well.
  double spill_over_load = 0.8;
  // How the load of an upstream is estimated from its last report.
  load_estimate estimate = load_estimate::reported_plus_outstanding;
  // Weight of the last report relative to the earlier ones; at 500 ms between reports, 0.1 averages over 5 s.
  // Entries that all follow the last report choose the same upstreams at the same time: with reports delayed
  // by 2 s, a weight of 1 gives 2.5 times the first-token p99 (scripts/bench choice).
  double report_weight = 0.1;
  bool slow_penalty = true;
  ejection_options ejection = {};
};

struct route_request {
  std::string_view model_or_service;
  std::uint64_t prefix_hash = 0;          // 0: no affinity.
  std::span<const upstream_id> excluded;  // Upstreams that this request has tried without success.
};

// How an attempt ended, as far as that is relevant to the state of the upstream.
enum class attempt_outcome : std::uint8_t {
  succeeded,
  refused,    // The agent refused it (busy, draining); this does not indicate a fault.
  failed,     // The upstream failed or aborted the response.
  abandoned,  // Ended for a reason on the side of the caller.
};

class router {
public:
  explicit router(router_options options);
  ~router();
  router(router&&) noexcept;
  router& operator=(router&&) noexcept;

  // Replaces the known upstreams. The state of those with the same name and address is kept.
  void set_upstreams(time_point now, std::span<const upstream_info> upstreams);

  // Chooses an upstream; absent if none is known and usable. Does not count the attempt: see
  // on_attempt_started().
  std::optional<upstream_id> choose(time_point now, const route_request& request, random_source& random);
  // Returns true if any upstream of that model or service is configured, usable or not.
  [[nodiscard]] bool has_upstreams_for(std::string_view model_or_service) const;

  [[nodiscard]] const upstream_info& upstream(upstream_id id) const;
  [[nodiscard]] std::optional<upstream_id> find(std::string_view name) const;
  // Returns the upstreams in the current subsets. The entry subscribes to their load reports.
  [[nodiscard]] std::vector<upstream_id> subset() const;

  void on_attempt_started(time_point now, upstream_id id);
  // `first_token` is the time from sending the request to the first token or byte, if there was one.
  void on_attempt_finished(time_point now, upstream_id id, attempt_outcome outcome,
                           std::optional<duration> first_token);
  void on_load_report(time_point now, const wire::load_report& report);
  // Records a message from an agent: any message shows that the agent is alive.
  void on_message(time_point now, std::string_view peer_address);
  void on_link_lost(time_point now, std::string_view peer_address);
  // Marks upstreams without a message for the suspicion timeout as suspected and returns those newly
  // suspected.
  std::vector<upstream_id> tick(time_point now);
  // Handles that the local process was suspended until `now`: it could not receive messages of upstreams, so
  // their suspicion timeout starts again.
  void on_process_resumed(time_point now);

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::routing
