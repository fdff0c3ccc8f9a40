#include "core/gateway/instance_memory.h"

#include <algorithm>

namespace cuminpath::gateway {

bool instance_memory::is_of_copy(const upstream_record& record, time_point now) const {
  const milliseconds settle_time = k_heartbeats_until_removal * m_heartbeat_interval + k_removal_read_time;
  return m_copy.may_hold(record.row_version, settle_time, now);
}

void instance_memory::on_leaving(const upstream_record& record, time_point now) {
  announcement& latest = m_announcements[record.id];
  latest = {std::max(latest.started_ms, record.started_ms), now};
}

bool instance_memory::has_left(const upstream_record& record) const {
  const auto announced = m_announcements.find(record.id);
  return announced != m_announcements.end() && record.started_ms <= announced->second.started_ms;
}

void instance_memory::on_removed(const upstream_record& record, time_point now) {
  m_removed.insert_or_assign(record.id, removed_instance{record.started_ms, now});
}

bool instance_memory::was_listed(const upstream_record& record) const {
  const auto removed = m_removed.find(record.id);
  return record.started_ms != 0 && removed != m_removed.end() &&
         removed->second.started_ms == record.started_ms;
}

bool instance_memory::may_be_gone(const upstream_record& record, time_point now) const {
  const auto removed = m_removed.find(record.id);
  return removed != m_removed.end() && is_of_copy(record, now) &&
         (removed->second.started_ms == 0 || record.started_ms <= removed->second.started_ms);
}

void instance_memory::expire(time_point now) {
  std::erase_if(m_announcements,
                [now](const auto& entry) { return now - entry.second.at >= k_announcement_lifetime; });
  std::erase_if(m_removed,
                [now](const auto& entry) { return now - entry.second.removed_at >= k_instance_memory; });
}

}  // namespace cuminpath::gateway
