#include "core/gateway/instance_memory.h"

#include <algorithm>

namespace cuminpath::gateway {

bool instance_memory::on_list(store_version version) {
  const bool restored = m_list != store_version{} && version.era > m_list.era;
  m_list = std::max(m_list, version);
  return restored;
}

void instance_memory::on_leaving(const upstream_record& record, time_point now) {
  m_announcements.insert_or_assign(record.id, announcement{record.started_ms, now});
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

void instance_memory::expire(time_point now) {
  std::erase_if(m_announcements,
                [now](const auto& entry) { return now - entry.second.at >= k_announcement_lifetime; });
  std::erase_if(m_removed,
                [now](const auto& entry) { return now - entry.second.removed_at >= k_instance_memory; });
}

}  // namespace cuminpath::gateway
