// What a gateway remembers of instances of upstreams beyond their rows in the platform's list.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/common/time.h"
#include "core/gateway/restored_copy.h"
#include "core/gateway/upstream_record.h"

namespace cuminpath::gateway {

// The announcement of an instance that it leaves is kept for this long, also after its row was removed, as
// rows of leaving instances can be written again. Instances end within a minute of the announcement.
constexpr minutes k_announcement_lifetime{10};
// A removed instance is recognized for this long, so that it does not count as new when its row comes back.
// Outages of the store last minutes.
constexpr minutes k_instance_memory{10};
// The platform removes a row after this many intervals without a heartbeat of its upstream.
constexpr int k_heartbeats_until_removal = 3;
// Until a gateway has read the removal of a row.
constexpr milliseconds k_removal_read_time{500};

class instance_memory {
public:
  void set_heartbeat_interval(milliseconds interval) { m_heartbeat_interval = interval; }

  // A list of `version` of the store was read. Returns true if it is the first one since the store was
  // restored from a copy.
  bool on_list(store_version version, time_point now) { return m_copy.on_list(version, now); }
  // Returns true if the row may be of the copy, so it may say less than was known before: it was not written
  // after the first list since then, and may not be removed yet though its upstream is gone. Heartbeats
  // change a row only if more than their number differs, so that of an upstream that is alive may stay as it
  // was.
  [[nodiscard]] bool is_of_copy(const upstream_record& record, time_point now) const;

  // The instance said in a response, or by its row, that it leaves.
  void on_leaving(const upstream_record& record, time_point now);
  // Returns true if this instance, or a later one under its id, said that it leaves. A late write can list it
  // as ready after that, and so can a copy of the store.
  [[nodiscard]] bool has_left(const upstream_record& record) const;

  // The instance is no longer listed.
  void on_removed(const upstream_record& record, time_point now);
  // Returns true if the same instance was listed and removed: a row that lapsed and comes back is no new
  // instance. False if its start is unknown.
  [[nodiscard]] bool was_listed(const upstream_record& record) const;

  // Returns true if the row is of the copy, and this instance, or a later one under its id, was removed: it
  // may be gone.
  [[nodiscard]] bool may_be_gone(const upstream_record& record, time_point now) const;

  // Forgets what is older than its lifetime.
  void expire(time_point now);

private:
  struct announcement {
    std::uint64_t started_ms = 0;  // Of the leaving instance.
    time_point at{};
  };
  struct removed_instance {
    std::uint64_t started_ms = 0;
    time_point removed_at{};
  };

  milliseconds m_heartbeat_interval{2000};
  restored_copy m_copy;
  std::unordered_map<std::string, announcement> m_announcements;  // By id.
  std::unordered_map<std::string, removed_instance> m_removed;    // By id.
};

}  // namespace cuminpath::gateway
