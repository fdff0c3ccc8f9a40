// Who gets a gateway's next report. Gateways of the own availability zone share most of the load with it and
// hear it each time; the others hear it in turn, so that messages and bytes between zones are bounded
// whatever the size of the fleet.
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
  // In a fleet up to this size everybody hears each report.
  std::size_t small_fleet = 32;
  std::size_t most_near = 40;  // Of the own zone, in one round.
  std::size_t most_far = 24;   // Of other zones, in one round.
  std::size_t far_rounds = 4;  // Rounds in which all others are told once, if they are few enough.
};

class report_schedule {
public:
  struct receivers {
    std::vector<std::string> addresses;
    std::size_t rounds = 1;  // Until each of them gets the next report.
  };
  struct round {
    receivers near;
    receivers far;
  };

  explicit report_schedule(report_schedule_options options = {}) : m_options(options) {}

  // Receivers of the next round, which begins after those of the last one.
  round next(std::string_view own_zone, std::span<const member_list::member> members);

private:
  // The part of `all` whose turn it is; `position` moves on behind it.
  static receivers take_turn(std::span<const std::string> all, std::size_t count, std::size_t& position);

  report_schedule_options m_options;
  std::size_t m_near_position = 0;
  std::size_t m_far_position = 0;
};

}  // namespace cuminpath::gateway
