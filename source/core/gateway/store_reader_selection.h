// Decides which gateways read changes from the platform's store. Every call to the store is charged and its
// request rate is limited, so a few gateways in each availability zone read it and the others receive the
// changes from them. There is no election: a gateway reads the store unless it receives reports from enough
// store readers of its availability zone that precede it in the order of preference. A wrong view therefore
// costs additional calls, but no changes are lost.
#pragma once

#include <optional>

#include "core/common/time.h"
#include "core/gateway/member_list.h"

namespace cuminpath::gateway {

struct store_reader_options {
  // Store readers in each availability zone. With two, the loss of one leaves no gap.
  std::size_t readers_per_zone = 2;
  // The other store readers have to be alive for this long before a gateway stops reading the store.
  milliseconds settle_time{1000};
  // The store is read for this long after other gateways turned out not to be reliable.
  milliseconds distrust_duration{5000};
  // A gateway lags if others have newer changes and it has applied none for this long. Store readers receive
  // a change within a fraction of it.
  milliseconds lag_timeout{500};
  // When store readers are missing, gateways start to read one after the other at this interval, in the order
  // of preference. Gateways further back learn in the meantime that there are enough readers.
  milliseconds reader_start_interval{150};
};

class store_reader_selection {
public:
  explicit store_reader_selection(store_reader_options options = {}) : m_options(options) {}

  // At the start, waits until `until` for other gateways to provide the content of the store before the store
  // is read.
  void wait_for_members(time_point until);
  // Updates the decision and returns whether the gateway `self` has to read the store. After its start a
  // gateway reads it until it knows of enough other store readers.
  bool update(const member_report& self, const member_list& members, time_point now);
  // Records whether another gateway has newer changes.
  void on_versions_compared(bool behind, time_point now);
  // Records that changes of another gateway were applied. While there are many changes, an even newer one is
  // often known by then.
  void on_changes_applied(time_point now);
  [[nodiscard]] bool lags(time_point now) const {
    return m_behind_since && now - *m_behind_since >= m_options.lag_timeout;
  }
  // Stops relying on other gateways for a while, for example because this process was suspended and does not
  // know what it has missed.
  void distrust_members(time_point now);
  [[nodiscard]] bool reads_store() const { return m_reads_store; }

private:
  // Gateways of the availability zone that precede `self` in the order of preference.
  struct preferred_members {
    std::size_t alive_count = 0;
    std::size_t readers = 0;  // Those of them that read the store, and whose mirror `self` can use.
  };
  [[nodiscard]] static preferred_members members_preferred_to(const member_report& self,
                                                              const member_list& members, time_point now);
  void start_reading_in_order(const preferred_members& others, time_point now);

  store_reader_options m_options;
  bool m_reads_store = true;
  std::optional<time_point> m_wait_for_members_until;
  std::optional<time_point> m_enough_readers_since;
  std::optional<time_point> m_readers_missing_since;
  std::optional<time_point> m_distrust_until;
  std::optional<time_point> m_behind_since;
};

}  // namespace cuminpath::gateway
