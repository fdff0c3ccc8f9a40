// Which gateways read changes from the platform's store. Every call to it is charged and the store's rates
// are bounded, so in each availability zone a few gateways read it, and the others take changes from them.
// There is no election: a gateway reads the store unless it hears enough others of its zone that do and that
// it prefers to itself, so a view that is wrong costs calls and not changes.
#pragma once

#include <optional>

#include "core/common/time.h"
#include "core/gateway/member_list.h"

namespace cuminpath::gateway {

struct store_watch_options {
  // Readers in each availability zone. Two, so that the loss of one leaves no gap.
  std::size_t readers_per_zone = 2;
  // The others are heard for this long before a gateway stops reading the store.
  milliseconds settle_time{1000};
  // The store is read for this long once others cannot be relied on.
  milliseconds distrust_time{5000};
  // A gateway lags if others have newer changes and it has taken none for this long. Those who read the store
  // are told of a change within a fraction of it.
  milliseconds lag_time{500};
  // When readers are missing, gateways begin to read one after the other, this far apart, in the order of
  // preference: those whose turn comes before hear meanwhile that there are enough.
  milliseconds turn_time{150};
};

class store_watch {
public:
  explicit store_watch(store_watch_options options = {}) : m_options(options) {}

  // Waits until `until` for others to bring what the store holds, before it is read at the start.
  void ask_others_first(time_point until);
  // Whether the gateway `self` has to read the store. It does at its start, until it hears of readers.
  bool update(const member_report& self, const member_list& members, time_point now);
  // Whether another gateway has newer changes.
  void on_compared(bool behind, time_point now);
  // Changes were taken from another gateway; while there are many, a newer one is often known by then.
  void on_changes_taken(time_point now);
  [[nodiscard]] bool lags(time_point now) const {
    return m_behind_since && now - *m_behind_since >= m_options.lag_time;
  }
  // Others cannot be relied on for a while: this process stood still and does not know what it has missed.
  void distrust_others(time_point now);
  [[nodiscard]] bool reads_store() const { return m_reads; }

private:
  // Gateways of the zone that come before `self` in the order of preference.
  struct preferred {
    std::size_t living = 0;
    std::size_t readers = 0;  // Of those.
  };
  [[nodiscard]] static preferred preferred_to(const member_report& self, const member_list& members,
                                              time_point now);
  void read_in_turn(const preferred& others, time_point now);

  store_watch_options m_options;
  bool m_reads = true;
  std::optional<time_point> m_ask_others_until;
  std::optional<time_point> m_covered_since;
  std::optional<time_point> m_uncovered_since;
  std::optional<time_point> m_distrust_until;
  std::optional<time_point> m_behind_since;
};

}  // namespace cuminpath::gateway
