// Selects the receivers of a gateway's next report. Gateways of the local availability zone share most of the
// load with it and receive every report; the others receive reports in rotation, so that messages and bytes
// between availability zones are bounded whatever the size of the fleet.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/gateway/member_list.h"

namespace cuminpath::gateway {

struct report_schedule_options {
  // In a fleet of up to this size, every member receives each report.
  std::size_t broadcast_fleet_size = 32;
  std::size_t max_near_receivers = 40;  // In the local availability zone, per round.
  std::size_t max_far_receivers = 24;   // In other availability zones, per round.
  // Rounds within which all members of other availability zones receive one report, if `max_far_receivers`
  // allows it.
  std::size_t target_far_rounds = 4;
};

class report_schedule {
public:
  struct receivers {
    std::vector<std::string> addresses;
    std::size_t rounds = 1;  // Rounds until each of them receives the next report.
  };
  struct round {
    receivers near;
    receivers far;
  };

  explicit report_schedule(report_schedule_options options = {}) : m_options(options) {}

  // Returns the receivers of the next round. They follow those of the previous round in the rotation.
  round next(std::string_view local_availability_zone, std::span<const member_list::member> members);

private:
  // Returns the next `count` addresses of `all` from `position` on and advances `position` past them.
  static receivers next_receivers(std::span<const std::string> all, std::size_t count, std::size_t& position);

  report_schedule_options m_options;
  std::size_t m_near_position = 0;
  std::size_t m_far_position = 0;
};

}  // namespace cuminpath::gateway
