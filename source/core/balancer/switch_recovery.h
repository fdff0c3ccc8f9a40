// Decides how a leader ends a switch that it did not begin, or whose orders arrived late. Performs no input
// or output.
//
// The leader first makes every rank refuse the orders of its predecessors (phase `fencing`: a `disarm` of a
// version that no rank has, with the leader's higher token). Only then does it rely on what the ranks report,
// because nothing but its own orders and the passes can change it any more.
//
// One rank may be absent, if it is the one beside which the predecessor led. docs/design/expert-map-switch.md
// states why the group can then be released without reading that rank.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/balancer/switch_directive.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

using rank_views = std::span<const std::optional<rank_view>>;

// The state on which a leader decides.
struct recovery_state {
  rank_views ranks;
  directive fence;  // The directive of phase `fencing` in progress.
  // Token that was acquired directly before `fence.token`; 0 if it is not known.
  std::uint64_t previous_token = 0;
  milliseconds max_view_age{0};  // Older views are treated as absent.
};

// Whether the view is recent.
bool is_recent(const std::optional<rank_view>& view, milliseconds max_age, time_point now);

// Returns the epoch of the group if the views of all ranks but at most one are recent, of one epoch and open.
std::optional<std::uint64_t> recoverable_epoch(rank_views ranks, milliseconds max_age, time_point now);

// Returns the next directive; phase `idle` if no rank is held or armed. Absent while the state of the ranks
// does not allow a decision yet.
std::optional<directive> decide_recovery(const recovery_state& state, time_point now);

}  // namespace cuminpath::balancer
