// Chooses the upstream for each attempt of a request. Holds what one entry knows about its upstreams.
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
  std::string peer_address;  // Of its agent; empty while the host is unknown.
  std::uint32_t slots = 1;
};

enum class load_estimate : std::uint8_t {
  reported_plus_outstanding,  // Counts the entry's own requests twice if the report has them.
  reported_plus_change,       // Adds only the change of the own requests since the report arrived.
};

struct router_options {
  std::string entry_name = {};  // Selects the subset by rendezvous hashing.
  std::string availability_zone = {};
  std::string region = {};
  std::uint32_t subset_size = 24;  // Upstreams of a model in use at the same time.
  milliseconds suspicion_timeout{2000};
  // An upstream with more than this multiple of the mean load is skipped in spite of a prefix match.
  double affinity_bound = 1.25;
  // Mean load for each slot of the own availability zone above which the others are used as well.
  double spill_over_load = 0.8;
  // How the load of an upstream is estimated from its last report.
  load_estimate estimate = load_estimate::reported_plus_outstanding;
  // Weight of the last report against the ones before; at 500 ms between reports, 0.1 averages over 5 s.
  // Entries that all follow the last report go to the same upstreams at the same time: with reports that
  // lag 2 s, a weight of 1 gives 2.5 times the first-token p99 (scripts/bench choice).
  double report_weight = 0.1;
  bool slow_penalty = true;
  ejection_options ejection = {};
};

struct route_request {
  std::string_view model_or_service;
  std::uint64_t prefix_hash = 0;          // 0: no affinity.
  std::span<const upstream_id> excluded;  // Already tried in vain.
};

// How an attempt ended, as far as it tells something about the upstream.
enum class attempt_outcome : std::uint8_t {
  succeeded,
  refused,    // The agent refused it (busy, draining): no sign of a fault.
  failed,     // The upstream failed or broke off.
  abandoned,  // Given up for a reason of the caller.
};

class router {
public:
  explicit router(router_options options);
  ~router();
  router(router&&) noexcept;
  router& operator=(router&&) noexcept;

  // Replaces the known upstreams; state of those with the same name and address is kept.
  void set_upstreams(time_point now, std::span<const upstream_info> upstreams);

  // Absent if no upstream for it is known and usable. Does not count the attempt: see on_attempt_started().
  std::optional<upstream_id> choose(time_point now, const route_request& request, random_source& random);
  // Whether any upstream of that name is configured, usable or not.
  [[nodiscard]] bool knows(std::string_view model_or_service) const;

  [[nodiscard]] const upstream_info& upstream(upstream_id id) const;
  [[nodiscard]] std::optional<upstream_id> find(std::string_view name) const;
  // Upstreams in the current subsets: the entry subscribes to their load reports.
  [[nodiscard]] std::vector<upstream_id> subset() const;

  void on_attempt_started(time_point now, upstream_id id);
  // `first_token` is the time from sending to the first token or byte, if there was one.
  void on_attempt_finished(time_point now, upstream_id id, attempt_outcome outcome,
                           std::optional<duration> first_token);
  void on_load_report(time_point now, const wire::load_report& report);
  // Any message from the agent shows that it is alive.
  void on_message(time_point now, std::string_view peer_address);
  void on_link_lost(time_point now, std::string_view peer_address);
  // Suspects upstreams without a message for the suspicion timeout. Returns those newly suspected.
  std::vector<upstream_id> tick(time_point now);
  // The process stood still until `now`: upstreams could not be heard meanwhile, so their silence begins
  // anew.
  void on_own_pause(time_point now);

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::routing
