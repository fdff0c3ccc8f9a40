// What the leader of a group orders its ranks to do during a switch, and what it knows about each rank.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/balancer/engine_port.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

enum class phase : std::uint8_t {
  idle,
  preparing,
  checking,  // Every rank reads its engine anew, so that none is silent when the group is held.
  holding,
  arming,         // All ranks but the held one and the leader's.
  arming_holder,  // Also the held rank, once all those are armed.
  arming_leader,  // Also the leader's rank, once all others are armed.
  going,
  fencing,  // Every rank refuses the orders of earlier leaders.
  disarming,
  releasing,
};
std::string_view phase_name(phase value);

// The version of a map contains the token of the leader that planned it. The count of maps for a token starts
// at 1, so no map has the version `first_version_of_token(token)`.
constexpr std::uint64_t k_versions_per_token = 4096;
constexpr std::uint64_t token_of_version(std::uint64_t version) {
  return version / k_versions_per_token;
}
constexpr std::uint64_t first_version_of_token(std::uint64_t token) {
  return token * k_versions_per_token;
}

// What the ranks must do next.
struct directive {
  phase kind = phase::idle;
  std::uint64_t token = 0;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;            // Of the new map.
  std::uint64_t step = 0;               // The first pass that uses the new map.
  std::uint32_t holder = 0;             // The rank that is held before that pass, and with it the group.
  std::uint32_t leader = 0;             // The rank beside which the leader runs.
  std::uint32_t round = 0;              // Phase `checking` only: grows each time the ranks must read anew.
  std::optional<std::uint32_t> absent;  // A rank that need not act. Phases `disarming` and `releasing` only.
  rank_map map;                         // Phase `preparing` only.
};

// A token that an engine has seen in an epoch.
struct token_use {
  std::uint64_t token = 0;
  std::uint64_t epoch = 0;

  bool operator==(const token_use&) const = default;
};

// A status that was requested after the directive of phase `checking` had arrived, with no order pending.
struct status_check {
  std::uint64_t version = 0;
  std::uint32_t round = 0;

  bool operator==(const status_check&) const = default;
};

// A switch for which the leader that planned it has ordered a hold. It does so only after it has seen all
// ranks prepared and none armed.
struct latched_switch {
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::uint32_t leader = 0;

  bool operator==(const latched_switch&) const = default;
};

// What the leader knows about a rank.
struct rank_view {
  engine_status status;
  time_point updated_at{};  // When the status was read or received, by the local clock.
  // Whether the status was read by the balancer on the rank's own host, which is alive.
  bool read_by_own_balancer = true;
  // The rank has executed a `disarm` with this token in this epoch and refuses lower tokens since then.
  std::uint64_t disarmed_token = 0;
  std::uint64_t disarmed_epoch = 0;
  std::uint64_t refused_token = 0;   // Highest token that the rank's engine has refused.
  std::uint64_t followed_token = 0;  // Highest token of a directive that the rank's balancer has followed.
  token_use fenced;                  // The rank refused lower tokens before the status was requested.
  std::uint64_t armed_token = 0;     // Token of the last `arm` that the engine has executed or found done,
  std::uint64_t armed_version = 0;   // and its version.
  status_check checked;
  latched_switch latched;  // The newest one of which the rank's balancer has been told.
};

// Whether the rank is armed as the directive orders, and no order of an earlier leader can still disarm it.
bool is_armed(const rank_view& rank, const directive& active);

// Whether the rank is to be armed in the phase of the directive. A rank of an earlier phase is armed again if
// its balancer has restarted since.
bool is_turn_to_arm(std::uint32_t rank, const directive& active);

// Whether the directive must still be sent to the rank. False in phase `preparing`, in which the map is
// relayed.
bool has_to_act(const rank_view& rank, const directive& active);

}  // namespace cuminpath::balancer
