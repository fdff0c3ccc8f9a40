// Messages between the balancers of one group. MessagePack, one datagram each.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/balancer/switch_leader.h"
#include "core/common/error.h"

namespace cuminpath::balancer {

// What a balancer knows of the rank beside it.
struct rank_report {
  std::string host;
  std::uint64_t incarnation = 0;  // Random at each start of the balancer.
  std::uint64_t sequence = 0;     // Grows with each report of an incarnation.
  std::string report_address;     // IP:PORT of the balancer (UDP).
  std::string engine_address;     // IP:PORT of the engine, for a leader whose peer is gone.
  milliseconds interval{200};     // Until the receiver gets the next report at the latest.
  bool may_lead = true;           // False until the sender knows the group well enough to lead it.
  rank_view view;                 // Without its time.
  // Tokens for each expert since the last report with loads, of this rank and of those that sent theirs to
  // it. Empty in reports to others than the receiver of loads.
  std::vector<std::uint64_t> loads;
  std::optional<engine_experts> experts;  // That the rank holds; left out of most reports.
};

// A leader's directive to the group.
struct group_directive {
  std::string group;
  std::optional<directive> value;  // Absent when a switch has ended.
  std::uint64_t token = 0;
  // Ranks by which a map spreads, in order (see map_relay.h). Phase `preparing` only; empty if the receiver
  // shall not pass it on.
  std::vector<std::uint32_t> relay;
};

using message = std::variant<rank_report, group_directive>;

std::string encode(const message& value);
// Errors: invalid_input for anything but a message.
result<message> decode(std::string_view bytes);

}  // namespace cuminpath::balancer
