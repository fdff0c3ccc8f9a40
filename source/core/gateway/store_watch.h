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
};

class store_watch {
public:
  explicit store_watch(store_watch_options options = {}) : m_options(options) {}

  // Whether the gateway `self` has to read the store. It does at its start, until it hears of readers.
  bool update(const member_report& self, const member_list& members, time_point now);
  // Others cannot be relied on for a while: changes could not be taken from one that has them, or this
  // process stood still and does not know what it has missed.
  void distrust_others(time_point now);
  [[nodiscard]] bool reads_store() const { return m_reads; }

private:
  [[nodiscard]] bool covered(const member_report& self, const member_list& members, time_point now) const;

  store_watch_options m_options;
  bool m_reads = true;
  std::optional<time_point> m_covered_since;
  std::optional<time_point> m_distrust_until;
};

}  // namespace cuminpath::gateway
