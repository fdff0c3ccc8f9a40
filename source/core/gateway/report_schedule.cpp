#include "core/gateway/report_schedule.h"

#include <algorithm>

namespace cuminpath::gateway {

report_schedule::receivers report_schedule::next_receivers(std::span<const std::string> all,
                                                           std::size_t count, std::size_t& position) {
  receivers out;
  if (all.empty()) {
    return out;
  }
  count = std::clamp<std::size_t>(count, 1, all.size());
  for (std::size_t i = 0; i < count; ++i) {
    out.addresses.push_back(all[(position + i) % all.size()]);
  }
  position = (position + count) % all.size();
  out.rounds = (all.size() + count - 1) / count;
  return out;
}

report_schedule::round report_schedule::next(std::string_view local_availability_zone,
                                             std::span<const member_list::member> members) {
  const bool small = members.size() <= m_options.broadcast_fleet_size;
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& member : members) {
    const member_report& report = member.report;
    (small || report.availability_zone == local_availability_zone ? near : far)
        .push_back(report.report_address);
  }
  // Members are sorted by address: positions in the rotation stay valid while members join and leave only if
  // the order does not depend on when they joined.
  std::sort(near.begin(), near.end());
  std::sort(far.begin(), far.end());
  const std::size_t far_count =
      std::min(m_options.max_far_receivers,
               (far.size() + m_options.target_far_rounds - 1) / m_options.target_far_rounds);
  return {.near = next_receivers(near, small ? near.size() : m_options.max_near_receivers, m_near_position),
          .far = next_receivers(far, far_count, m_far_position)};
}

}  // namespace cuminpath::gateway
