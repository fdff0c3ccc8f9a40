// Coordinates the switches of one group's expert map. Performs no input or output.
//
// All ranks must switch maps at the same forward pass. The sequence of the phases ensures this although an
// order may be lost or executed seconds later:
//   prepare   every rank copies the experts of the new map; nothing else happens until all report the copy;
//   hold      one rank is ordered not to begin pass S, so that the group cannot begin it;
//   arm       every rank is ordered to use the new map from pass S on, until all report that they are armed;
//   go        the held rank is released.
// After the first `arm` the switch is not rolled back: an order whose response was lost may arm a rank late,
// which would then be the only one to switch. A leader that takes over and finds ranks that cannot all be
// armed with the same map first makes every rank refuse the orders of its predecessor, by disarming with its
// own, higher fencing token, and only then releases the group.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/balancer/engine_port.h"
#include "core/balancer/switch_lead_estimator.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

enum class phase : std::uint8_t { idle, preparing, holding, arming, going, disarming, releasing };
std::string_view phase_name(phase value);

// What the ranks must do next.
struct directive {
  phase kind = phase::idle;
  std::uint64_t token = 0;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;  // Of the new map.
  std::uint64_t step = 0;     // The first pass that uses the new map.
  std::uint32_t holder = 0;   // The rank that is held before that pass, and with it the group.
  rank_map map;               // Phase `preparing` only.
};

// What the leader knows about a rank.
struct rank_view {
  engine_status status;
  time_point updated_at{};  // When the status was read or received, by the local clock.
  // The rank has executed a `disarm` with this token in this epoch and refuses lower tokens since then.
  std::uint64_t disarmed_token = 0;
  std::uint64_t disarmed_epoch = 0;
  std::uint64_t refused_token = 0;   // Highest token that the rank's engine has refused.
  std::uint64_t followed_token = 0;  // Highest token of a directive that the rank's balancer has followed.
};

// Whether the directive must still be sent to the rank. False in phase `preparing`, in which the map is
// relayed.
bool has_to_act(const rank_view& rank, const directive& active);

struct switch_coordinator_options {
  milliseconds max_view_age{500};      // Older views are treated as absent.
  milliseconds prepare_timeout{8000};  // Copies take under a second; a plan older than this is outdated.
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
  // map. `version` must be higher than all that the ranks have had.
  bool start(std::span<const std::optional<rank_view>> ranks, std::uint64_t token, std::uint64_t version,
             rank_map map, time_point now);

  // From now on, start() returns false and step() gives up a switch of which no rank is held or armed yet. A
  // later phase is brought to its end.
  void stop_switching() { m_switching_stopped = true; }
  // Whether a rank is held, or may still be by an order of the switch under way. Without a leader the group
  // does not go on.
  [[nodiscard]] bool holds_group(std::span<const std::optional<rank_view>> ranks) const;

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
  void step_idle(std::span<const std::optional<rank_view>> ranks, std::uint64_t token, time_point now);
  void step_preparing(std::span<const std::optional<rank_view>> ranks, std::uint32_t local_rank,
                      time_point now);
  void step_holding(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_arming(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_going(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_disarming(std::span<const std::optional<rank_view>> ranks, time_point now);

  switch_coordinator_options m_options;
  milliseconds m_pass_time{0};  // 0 while not known.
  switch_lead_estimator m_lead_estimator;
  directive m_directive;
  time_point m_entered_at{};
  // When the leader decided to hold the group; absent once its release has been observed.
  std::optional<time_point> m_hold_decided_at;
  std::uint64_t m_outdated_token = 0;
  bool m_switching_stopped = false;
};

}  // namespace cuminpath::balancer
