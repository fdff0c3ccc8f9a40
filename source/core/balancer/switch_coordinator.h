// Coordinates the switches of one group's expert map. Performs no input or output.
//
// All ranks must switch maps at the same forward pass. The sequence of the phases ensures this although an
// order may be lost or executed seconds later:
//   prepare   every rank copies the experts of the new map; nothing else happens until all report the copy;
//   check     every rank reads its engine anew; nothing else happens until all have answered within a short
//   time; hold      one rank is ordered not to begin pass S, so that the group cannot begin it; arm every
//   rank is ordered to use the new map from pass S on, until all report that they are armed;
//             the held rank is ordered once all but it and the leader's are armed, the leader's rank last;
//   go        the held rank is released.
// After the first `arm` the switch is not rolled back: an order whose response was lost may arm a rank late,
// which would then be the only one to switch. A leader that takes over first makes every rank refuse the
// orders of its predecessors and then decides on what the ranks report (switch_recovery.h).
// docs/design/expert-map-switch.md argues the safety of both.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/balancer/switch_directive.h"
#include "core/balancer/switch_lead_estimator.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

struct switch_coordinator_options {
  milliseconds max_view_age{500};  // Older views are treated as absent.
  // Maximum time from the start of a switch to its hold. Copies take under a second and popularity shifts
  // every 2 to 4 s, so a plan older than this is outdated.
  milliseconds prepare_timeout{3000};
  // Maximum time for which a rank may be silent before the group is held. Reports come every 200 ms, and a
  // view is treated as absent after max_view_age.
  milliseconds max_silence{500};
  // Maximum time from the request to read all engines anew to the hold. Covers an order without a response
  // (60 ms) and one directive that is sent again (60 ms).
  milliseconds max_check_time{150};
  milliseconds hold_timeout{3000};
  // Number of passes between the last known one and the switch while their duration is not known.
  std::uint64_t default_lead_steps = 3;
  // Maximum number of these passes. An idle group makes the switch only after that many passes.
  std::uint64_t max_lead_steps = 50;
};

class switch_coordinator {
public:
  explicit switch_coordinator(switch_coordinator_options options = {}) : m_options(options) {}

  // Starts a switch to `map`. Returns false unless idle and all ranks are known, of one epoch and on the same
  // map. `version` must be higher than all that the ranks have had. One that is not of `token`, because all
  // of that token have been used, requires a new token.
  bool start(std::span<const std::optional<rank_view>> ranks, std::uint64_t token, std::uint64_t version,
             rank_map map, time_point now);

  // From now on, start() returns false and step() gives up a switch of which no rank is held or armed yet. A
  // later phase is brought to its end.
  void stop_switching() { m_switching_stopped = true; }
  // Whether a rank is held, or may still be by an order of the switch under way. Without a leader the group
  // does not go on.
  [[nodiscard]] bool holds_group(std::span<const std::optional<rank_view>> ranks) const;

  // Tells that `token` was acquired and that `previous` was the last one acquired before it.
  void set_previous_token(std::uint64_t token, std::uint64_t previous) {
    m_acquired_token = token;
    m_previous_token = previous;
  }

  // Returns the time between the decision to hold the group and the pass of the next switch.
  [[nodiscard]] milliseconds lead() const { return m_lead_estimator.lead(); }
  // Sets the present duration of a forward pass.
  void set_pass_time(milliseconds time) { m_pass_time = time; }

  // Advances the switch as far as the views allow. `local_rank` is the rank beside which the leader runs. A
  // `token` of 0 means that this process does not lead; no directive is issued then.
  void step(std::span<const std::optional<rank_view>> ranks, std::uint32_t local_rank, std::uint64_t token,
            time_point now);

  // Whether a rank is held or armed although no switch is under way. Recovery requires a token.
  [[nodiscard]] bool needs_recovery(std::span<const std::optional<rank_view>> ranks, time_point now) const;

  [[nodiscard]] phase current_phase() const { return m_directive.kind; }
  // Returns the directive of the phase in progress; null while idle.
  [[nodiscard]] const directive* current_directive() const {
    return m_directive.kind == phase::idle ? nullptr : &m_directive;
  }

  // step() and start() do nothing until they are given a higher token than the returned one; 0 if none is
  // needed. Set when another process has led with a higher token, or when orders with the token in use may
  // still arrive late.
  [[nodiscard]] std::uint64_t outdated_token() const { return m_outdated_token; }

  // Whether all views are recent and of one epoch, and the group is open.
  [[nodiscard]] bool complete(std::span<const std::optional<rank_view>> ranks, time_point now) const;

private:
  void enter(phase next, time_point now);
  // Sets the pass of the switch and begins to hold the group before it.
  void begin_hold(std::span<const std::optional<rank_view>> ranks, time_point now);
  // Returns the first pass that is not expected to begin before the group has been released.
  [[nodiscard]] std::uint64_t switch_step(std::span<const std::optional<rank_view>> ranks,
                                          time_point now) const;
  void update_outdated_token(std::span<const std::optional<rank_view>> ranks, std::uint64_t token);
  void step_idle(std::span<const std::optional<rank_view>> ranks, std::uint32_t local_rank,
                 std::uint64_t token, time_point now);
  void step_preparing(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_checking(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_holding(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_arming(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_going(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_fencing(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_disarming(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_releasing(std::span<const std::optional<rank_view>> ranks, time_point now);
  // Ends the switch. The next phase requires a higher token.
  void require_new_token(time_point now);
  // Whether a switch that holds no rank yet must be given up.
  [[nodiscard]] bool must_give_up(std::span<const std::optional<rank_view>> ranks, time_point now);

  switch_coordinator_options m_options;
  milliseconds m_pass_time{0};  // 0 while not known.
  switch_lead_estimator m_lead_estimator;
  directive m_directive;
  time_point m_entered_at{};
  time_point m_started_at{};
  time_point m_complete_at{};         // Last time at which no rank was silent.
  std::uint64_t m_started_token = 0;  // Token of the last switch that was started.
  std::uint64_t m_acquired_token = 0;
  std::uint64_t m_previous_token = 0;
  // When the leader decided to hold the group; absent once its release has been observed.
  std::optional<time_point> m_hold_decided_at;
  std::uint64_t m_outdated_token = 0;
  bool m_switching_stopped = false;
};

}  // namespace cuminpath::balancer
