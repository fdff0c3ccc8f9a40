// Table of the upstreams listed by the platform, with their load and health as known to this gateway.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/gateway/cold_rate_limiter.h"
#include "core/gateway/cold_state.h"
#include "core/gateway/evacuation.h"
#include "core/gateway/instance_memory.h"
#include "core/gateway/upstream_record.h"
#include "core/routing/ejection.h"

namespace cuminpath::gateway {

struct upstream_load {
  std::uint32_t upstream_hash = 0;
  std::uint32_t outstanding = 0;
};

// Error responses of plain services are part of their normal results. Only broken connections and refusals
// count as failures here, so a few in a row identify an upstream that does not work.
constexpr routing::ejection_options k_upstream_ejection{.consecutive_failures = 3,
                                                        .failure_rate = 0.5,
                                                        .min_samples = 8,
                                                        .base_duration = milliseconds{1000},
                                                        .max_duration = milliseconds{4000},
                                                        .max_concurrent_trials = 1,
                                                        .trials_to_restore = 2};
// Requirement: no new request is sent to a leaving upstream later than this after the platform's list says
// that it leaves.
constexpr milliseconds k_max_dispatch_after_leaving{2000};
// Longer times that an upstream states in a response are considered mistakes and capped to this time.
constexpr minutes k_max_cold_time{10};
// Longer Retry-After values of an upstream are considered mistakes and capped to this time.
constexpr hours k_max_backoff{1};

struct choice_options {
  std::string_view availability_zone;     // Of this gateway.
  std::span<const std::string> excluded;  // Ids of upstreams that this request was already sent to.
  // Hashes of upstreams that get the request before all others, also if they are silent; a full one does not.
  std::span<const std::uint32_t> trials;
  // Maximum number of requests at one upstream, as a multiple of its slots; upstreams at or above it are not
  // chosen.
  double max_utilization = 1;
  // Excludes cold upstreams that this gateway may not send to now; null if they are not limited.
  const cold_rate_limiter* cold_limiter = nullptr;
  bool exclude_cold = false;  // Excludes all cold upstreams.
};

// Why an upstream may not receive a request now. If several reasons apply, the first in this order is given.
enum class exclusion : std::uint8_t {
  leaving,
  evacuated,       // The operator has evacuated its availability zone.
  wrong_instance,  // Another instance responds at its address.
  superseded,      // A later instance is listed at its address.
  rejects,         // It has asked this gateway to send no requests for a while.
  ejected,         // After failures; also while a trial request runs.
  silent,          // It holds requests without progress.
  tried,           // The request was already sent to it.
  full,
  cold,  // It is cold, and this gateway may not send to it now.
};

class upstream_table {
public:
  struct upstream {
    upstream_record record;
    std::uint32_t hash = 0;
    std::uint32_t local_requests = 0;   // Requests of this gateway that run or are queued there.
    std::uint32_t member_requests = 0;  // The same for other gateways, as last reported.
    routing::ejection_state health;
    bool wrong_instance = false;  // Another instance responds at the address.
    // It announced in a response that it leaves; the list may not show it yet.
    bool announced_leaving = false;
    time_point rejects_until{};  // It rejects requests of this gateway until then.
    cold_state cold_start;
    cold_policy cold_rules;      // Of its service.
    bool reported_cold = false;  // By take_cold_changes().
    bool evacuated = false;      // The operator has evacuated its availability zone.
    bool silent = false;         // It holds requests without progress; see silent_upstreams.
    bool configured = true;      // The configuration names its service; see set_services().
    bool superseded = false;  // A later instance is listed at the same address; this row has not expired yet.
    // Set if the row was removed, but the upstream is kept until the grace period ends.
    std::optional<time_point> removed_at;
    bool missing_in_copy = false;  // It was removed with the first list of a restored store.

    [[nodiscard]] double outstanding() const { return local_requests + member_requests; }
    [[nodiscard]] bool leaving() const { return record.leaving || announced_leaving; }
    [[nodiscard]] bool cold(time_point now) const { return cold_start.cold(cold_rules, now); }
    [[nodiscard]] bool rejects_requests(time_point now) const { return now < rejects_until; }
  };

  struct change {
    enum class kind : std::uint8_t {
      added,
      removed,
      leaving,
      restarted,
      kept_after_expiry,
      held_back,       // A copy of the store lists it again after its removal. It is not in the table.
      not_configured,  // The configuration does not name its service, or no longer does.
    } type;
    std::string id;
  };

  // Replaces the list by that of `version` of the store. `store_disturbed` states that the store was
  // unavailable shortly before `now`.
  std::vector<change> apply(std::span<const upstream_record> records, time_point now, bool store_disturbed,
                            store_version version = {});
  // Removes upstreams whose grace period has ended, and adds held back ones that the store goes on listing.
  std::vector<change> expire(time_point now);

  // Sets the time between two heartbeats of an upstream, by which its row stays listed.
  void set_heartbeat_interval(milliseconds interval) { m_instances.set_heartbeat_interval(interval); }

  // Sets the services that the configuration names; all of them before the first call. Rows of other services
  // may come from another writer, so they describe no upstream to use: they count nowhere and take no address
  // from another row. They stay known, because requests may still run there under the configuration before,
  // and the next one may name their service.
  using service_names = std::unordered_set<std::string>;
  std::vector<change> set_services(service_names names);

  // Marks the upstreams of the availability zones under evacuation. They receive no new requests; what runs
  // there goes on. Applies to upstreams that are added later, too.
  void set_evacuations(const evacuation& evacuations);
  // The upstreams of a restored zone may have become cold during the evacuation.
  void on_zone_restored(std::string_view availability_zone, time_point now);

  // Sets the rules for cold upstreams by service; services without an entry have no limit.
  using cold_policies = std::unordered_map<std::string, cold_policy>;
  void set_cold_policies(cold_policies policies);
  // An upstream states in a response for how long it stays cold.
  void on_cold_statement(std::string_view id, milliseconds cold_for, time_point now);
  struct cold_change {
    std::string id;
    milliseconds remaining{0};  // 0 if the upstream is no longer cold.
  };
  // Returns the upstreams that have become cold or warm since the last call.
  std::vector<cold_change> take_cold_changes(time_point now);
  [[nodiscard]] std::size_t count_cold(time_point now) const;

  // Returns the number of requests of this gateway that run at upstreams of an availability zone.
  [[nodiscard]] std::uint32_t local_requests_in(std::string_view availability_zone) const;

  // Replaces the set of silent upstreams, given by their hashes. They receive no new requests but trials. At
  // most a quarter of the upstreams of a service are taken out, the first ones of `hashes`.
  void set_silent(std::span<const std::uint32_t> hashes);

  // Returns why an upstream may not receive a request of its service; absent if it is eligible. choose()
  // takes these upstreams only.
  [[nodiscard]] static std::optional<exclusion> why_excluded(const upstream& known,
                                                             const choice_options& options, time_point now);
  // Returns true if the request is a trial whether the upstream makes progress again.
  [[nodiscard]] static bool gets_trial(const upstream& known, const choice_options& options);
  // Returns the load by which upstreams are compared: requests, with an addition for other availability zones
  // and for recent failures, divided by slots.
  [[nodiscard]] static double placement_load(const upstream& known, const choice_options& options,
                                             time_point now);
  // Returns an upstream of `service` with little load: the least loaded of a few chosen at random. Null if
  // none has a free slot.
  [[nodiscard]] const upstream* choose(std::string_view service, const choice_options& options,
                                       time_point now, random_source& random) const;
  [[nodiscard]] const upstream* find(std::string_view id) const;
  // Null if there is none.
  [[nodiscard]] const upstream* find_by_hash(std::uint32_t hash) const;

  void on_started(std::string_view id, time_point now);
  void on_ended(std::string_view id);
  void on_success(std::string_view id, time_point now);
  void on_failure(std::string_view id, time_point now);
  // No connection could be made, after on_failure(). An upstream that is ejected for this may be restarting,
  // so it counts as cold from its first response on.
  void on_connect_failure(std::string_view id);
  // Another instance responded at the address: no more requests are sent there until the row changes.
  void on_wrong_instance(std::string_view id);
  // The instance announced in a response that it leaves: no more requests are sent to it, whatever the list
  // says, until it has restarted. Returns true if this was not known before.
  bool on_leaving(std::string_view id, time_point now);
  // The upstream rejects requests of this gateway for `wait`. It is treated as full, not as failed.
  void on_requests_rejected(std::string_view id, milliseconds wait, time_point now);

  // Replaces the loads reported by the gateway `member`; an empty list removes them.
  void set_member_loads(std::string_view member, std::span<const upstream_load> loads);
  [[nodiscard]] std::vector<upstream_load> local_loads() const;

  struct service_totals {
    std::uint32_t upstreams =
        0;  // Available: neither leaving nor ejected, silent or evacuated, and accepting requests.
    std::uint32_t slots = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t evacuated = 0;  // Upstreams that would be available if their zone were not evacuated.
    std::uint32_t cold = 0;       // Available upstreams that are cold.
    // Time until the first upstream accepts requests again; absent unless all of them reject requests.
    std::optional<milliseconds> all_reject_for;
  };
  [[nodiscard]] service_totals totals(std::string_view service, time_point now) const;
  // Returns the number of upstreams of configured services.
  [[nodiscard]] std::size_t size() const;
  [[nodiscard]] std::size_t count_not_configured() const { return m_upstreams.size() - size(); }
  // All that are listed, also those of services that are not configured. In no particular order; valid until
  // the next change of the list.
  [[nodiscard]] std::span<const upstream> all() const { return m_upstreams; }

private:
  upstream* find_mutable(std::string_view id);
  void add(const upstream_record& record, time_point now);
  // Takes what the row of a listed upstream says about it being cold.
  void apply_cold_statement(upstream& known, const upstream_record& record, time_point now);
  [[nodiscard]] cold_policy cold_policy_of(const std::string& service) const;
  // Updates whether the service of an upstream is configured. Returns the change, if there is one.
  std::optional<change> update_configured(upstream& known) const;
  void mark_superseded();
  void mark_silent();
  void release_held_back(std::vector<change>& changes, time_point now);
  void erase_index(std::size_t index, time_point now);
  [[nodiscard]] bool may_eject(std::string_view service, time_point now) const;

  std::vector<upstream> m_upstreams;
  std::unordered_map<std::string, std::size_t> m_index;  // By id.
  std::unordered_map<std::string, std::vector<upstream_load>> m_member_loads;
  std::optional<service_names> m_services;  // Absent until the first configuration.
  evacuation::zone_states m_evacuated_zones;
  cold_policies m_cold_policies;
  instance_memory m_instances;
  // Rows of a restored store whose upstreams may be gone, by id.
  std::unordered_map<std::string, upstream_record> m_held_back;
  bool m_listed_before = false;         // False until the first list with upstreams has been applied.
  std::vector<std::uint32_t> m_silent;  // Hashes.
};

// Returns the text for the log.
[[nodiscard]] std::string_view to_string(upstream_table::change::kind kind);

}  // namespace cuminpath::gateway
