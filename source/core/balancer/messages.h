// Messages between the balancers of one group, encoded as MessagePack, one datagram each.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/balancer/switch_directive.h"
#include "core/common/error.h"

namespace cuminpath::balancer {

// What a balancer reports about its local rank.
struct rank_report {
  std::string host;
  std::uint64_t incarnation = 0;  // Random at each start of the balancer.
  std::uint64_t sequence = 0;     // Grows with each report of an incarnation.
  std::string report_address;     // IP:PORT of the balancer (UDP).
  std::string engine_address;     // IP:PORT of the engine, for a leader that suspects this balancer.
  // Maximum time until the receiver gets the next report. 0: the sender leaves, there is no next report.
  milliseconds interval{200};
  bool may_lead = true;  // False until the sender knows the group well enough to lead it.
  rank_view view;        // Sent without `updated_at` and `read_by_own_balancer`.
  // Tokens for each expert since the last report with loads, summed over this rank and the ranks that send
  // their loads to it. Empty in reports to any process but group_roster::load_receiver().
  std::vector<std::uint64_t> loads;
  std::optional<engine_experts> experts;  // Held by the rank; omitted from most reports.
};

// A directive of the leader to the ranks of its group.
struct group_directive {
  std::string group;
  std::optional<directive> value;  // Absent once the switch has ended.
  std::uint64_t token = 0;
  // Ranks that relay the map, in order (see map_relay.h). Phase `preparing` only; empty if the receiver must
  // not relay it.
  std::vector<std::uint32_t> relay;
};

using message = std::variant<rank_report, group_directive>;

std::string encode(const message& value);
// Errors: invalid_input if the bytes are not a message.
result<message> decode(std::string_view bytes);

}  // namespace cuminpath::balancer
