#include "core/gateway/report_schedule.h"

#include <algorithm>

namespace cuminpath::gateway {

report_schedule::receivers report_schedule::take_turn(std::span<const std::string> all, std::size_t count,
                                                      std::size_t& position) {
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

report_schedule::round report_schedule::next(std::string_view own_zone,
                                             std::span<const member_list::member> members) {
  const bool small = members.size() <= m_options.small_fleet;
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& member : members) {
    const member_report& report = member.report;
    (small || report.availability_zone == own_zone ? near : far).push_back(report.report_address);
  }
  // Positions stay in place while members come and go only if the order does not depend on when they came.
  std::sort(near.begin(), near.end());
  std::sort(far.begin(), far.end());
  const std::size_t far_count =
      std::min(m_options.most_far, (far.size() + m_options.far_rounds - 1) / m_options.far_rounds);
  return {.near = take_turn(near, small ? near.size() : m_options.most_near, m_near_position),
          .far = take_turn(far, far_count, m_far_position)};
}

}  // namespace cuminpath::gateway
