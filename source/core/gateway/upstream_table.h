// Upstreams as the platform lists them, with the load and health that this gateway knows of.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/routing/ejection.h"

namespace cuminpath::gateway {

// One row of the platform's list.
struct upstream_record {
  std::string id;
  std::string service;
  std::string address;  // IP:PORT.
  std::string availability_zone;
  std::uint32_t slots = 1;
  bool leaving = false;
  std::uint64_t started_ms =
      0;  // Unix time of the start; tells restarts under the same id apart. 0 if unknown.

  bool operator==(const upstream_record&) const = default;
};

struct upstream_load {
  std::uint32_t upstream_hash = 0;
  std::uint32_t outstanding = 0;
};

// An upstream that has left may get no new request later than this after the platform's list says so.
constexpr milliseconds k_leaving_bound{2000};
// Time for which an upstream whose row lapsed during an outage of the store stays in use after the return of
// the store: upstreams that live write their rows again meanwhile. It ends within the bound, because a row
// that is removed right after an outage may be that of an upstream that leaves.
constexpr milliseconds k_lapse_grace{1600};
// An instance that has said in an answer that it leaves is remembered for this long after its row is gone, as
// rows of leaving instances can be written again. Instances end within a minute of saying so.
constexpr minutes k_announcement_kept{10};
// Longest time for which an upstream that turns requests away is believed; a larger one is a mistake.
constexpr hours k_longest_turn_away{1};

struct choice_options {
  std::string_view availability_zone;     // Of this gateway.
  std::span<const std::string> excluded;  // Ids that this request has been sent to.
  // Most requests at one upstream, in its slots; upstreams at or above it are not chosen.
  double max_fill = 1;
};

class upstream_table {
public:
  struct upstream {
    upstream_record record;
    std::uint32_t hash = 0;
    std::uint32_t own = 0;    // Requests of this gateway that run or wait there.
    std::uint32_t peers = 0;  // The same of other gateways, as last reported.
    routing::ejection_state health;
    bool wrong_instance = false;     // Another instance answers at the address.
    bool announced_leaving = false;  // It has said in an answer that it leaves; the list may not know yet.
    time_point turned_away_until{};  // It has asked this gateway for no requests until then.
    bool superseded = false;  // A later instance is listed at the same address; this row has not lapsed yet.
    std::optional<time_point> removed_at;  // The row is gone, but the upstream is kept until the grace ends.

    [[nodiscard]] bool leaving() const { return record.leaving || announced_leaving; }
    [[nodiscard]] bool turns_away(time_point now) const { return now < turned_away_until; }
  };

  struct change {
    enum class kind : std::uint8_t { added, removed, leaving, restarted, kept_after_lapse } what;
    std::string id;
  };

  // Replaces the list. `store_disturbed` says that the store was away shortly before `now`.
  std::vector<change> apply(std::span<const upstream_record> records, time_point now, bool store_disturbed);
  // Drops upstreams whose grace has ended.
  std::vector<change> expire(time_point now);

  // An upstream of `service` with little load: the best of a few drawn at random. Null if none has a place.
  [[nodiscard]] const upstream* choose(std::string_view service, const choice_options& options,
                                       time_point now, random_source& random) const;
  [[nodiscard]] const upstream* find(std::string_view id) const;

  void on_started(std::string_view id, time_point now);
  void on_ended(std::string_view id);
  void on_success(std::string_view id, time_point now);
  void on_failure(std::string_view id, time_point now);
  // The address answered as another instance: nothing more is sent there until the row changes.
  void on_wrong_instance(std::string_view id);
  // The instance has said in an answer that it leaves: nothing more is sent to it, whatever the list says,
  // until it has started anew. True if that was not known.
  bool on_leaving(std::string_view id, time_point now);
  // The upstream wants no request of this gateway for `wait`. It counts as full, not as broken.
  void on_turned_away(std::string_view id, milliseconds wait, time_point now);

  // Replaces what the gateway `peer` reported; an empty list removes it.
  void set_peer_loads(std::string_view peer, std::span<const upstream_load> loads);
  [[nodiscard]] std::vector<upstream_load> own_loads() const;

  struct service_totals {
    std::uint32_t upstreams = 0;  // In service: neither leaving nor ejected.
    std::uint32_t slots = 0;
    std::uint32_t outstanding = 0;
    // Time until the first upstream takes requests again; absent unless all of them turn requests away.
    std::optional<milliseconds> all_turn_away_for;
  };
  [[nodiscard]] service_totals totals(std::string_view service, time_point now) const;
  [[nodiscard]] std::size_t size() const { return m_upstreams.size(); }

private:
  upstream* find_mutable(std::string_view id);
  void add(const upstream_record& record);
  void mark_superseded();
  void erase_index(std::size_t index);
  [[nodiscard]] bool may_eject(std::string_view service, time_point now) const;

  struct announcement {
    std::uint64_t started_ms = 0;  // Of the instance that leaves.
    time_point at{};
  };

  std::vector<upstream> m_upstreams;
  std::unordered_map<std::string, std::size_t> m_index;  // By id.
  std::unordered_map<std::string, std::vector<upstream_load>> m_peer_loads;
  std::unordered_map<std::string, announcement> m_announcements;  // By id.
};

}  // namespace cuminpath::gateway
