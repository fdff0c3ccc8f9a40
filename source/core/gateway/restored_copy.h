// Recognizes rows of a table that may be as old as the copy that the store was restored from.
#pragma once

#include <optional>

#include "core/common/time.h"
#include "core/gateway/store_version.h"

namespace cuminpath::gateway {

// An upstream whose row expired during an outage of the store, or is missing in the copy that the store
// was restored from, stays in use for this long after the store is available again: upstreams that are alive
// write their rows again in this time. It ends within k_max_dispatch_after_leaving, because a row removed
// right after an outage may belong to an upstream that leaves.
constexpr milliseconds k_expired_row_grace{1600};
// After a restore, the operator writes again within this time what the copy lacks.
constexpr milliseconds k_operator_rewrite_time{4000};

class restored_copy {
public:
  // The table was read at `version` of the store. Returns true if it is the first time since the store was
  // restored from a copy.
  bool on_list(store_version version, time_point now);
  // Returns true if a row that was last written at `version` may be of the copy: it was not written after the
  // first list since then, which was read less than `settle_time` ago.
  [[nodiscard]] bool may_hold(store_version version, milliseconds settle_time, time_point now) const;

private:
  struct restored_list {
    store_version version;
    time_point read_at{};
  };

  store_version m_list;                  // Of the newest list.
  std::optional<restored_list> m_first;  // The first list since the store was last restored.
};

}  // namespace cuminpath::gateway
