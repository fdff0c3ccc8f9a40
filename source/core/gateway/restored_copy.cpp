#include "core/gateway/restored_copy.h"

#include <algorithm>

namespace cuminpath::gateway {

bool restored_copy::on_list(store_version version, time_point now) {
  const bool restored = m_list != store_version{} && version.era > m_list.era;
  m_list = std::max(m_list, version);
  if (restored) {
    m_first = restored_list{version, now};
  }
  return restored;
}

bool restored_copy::may_hold(store_version version, milliseconds settle_time, time_point now) const {
  return m_first && version <= m_first->version && now - m_first->read_at < settle_time;
}

}  // namespace cuminpath::gateway
