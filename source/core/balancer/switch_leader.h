// Leads the switches of one group's expert map. A core without input or output.
//
// All ranks must change maps at the same pass. The order of the steps ensures that, although an order may be
// lost, or carried out seconds later:
//   prepare   every rank copies the experts of the new map; until all report the copy, nothing else happens;
//   hold      one rank is told not to begin pass S, so that the group cannot begin it;
//   arm       every rank is told to use the new map from pass S on, until all report it;
//   go        the held rank is released.
// From the first `arm` on, the switch only goes forward: a rank may be armed late, by an order whose answer
// was lost, and going back could leave it the only one. A leader that takes over and finds ranks that cannot
// all be armed with the same map first makes every rank refuse the orders of its predecessor, by disarming
// with its own, higher fencing token, and only then releases the group.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/balancer/engine_port.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

enum class phase : std::uint8_t { idle, preparing, holding, arming, going, disarming, releasing };
std::string_view phase_name(phase value);

// What every rank shall do next.
struct directive {
  phase kind = phase::idle;
  std::uint64_t token = 0;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;  // Of the new map.
  std::uint64_t step = 0;     // The pass that is the first to use it.
  std::uint32_t holder = 0;   // The rank that holds the group before that pass.
  rank_map map;               // Phase `preparing` only.
};

// What the leader knows of a rank.
struct rank_view {
  engine_status status;
  time_point at{};  // When the status was read, by the leader's clock.
  // The rank has carried out a `disarm` with this token in this epoch; it refuses lower ones since.
  std::uint64_t disarmed_token = 0;
  std::uint64_t disarmed_epoch = 0;
  std::uint64_t refused_token = 0;   // Highest token that the rank's engine has refused.
  std::uint64_t followed_token = 0;  // Highest token of a directive that the rank's balancer has followed.
};

// Whether the rank has still to be told of a directive; in phase `preparing` the map is sent on its own way.
bool has_to_act(const rank_view& rank, const directive& order);

struct leader_options {
  milliseconds fresh{500};             // Older views count as absent.
  milliseconds prepare_timeout{8000};  // Copies take under a second; after this the plan is out of date.
  milliseconds hold_timeout{3000};
  // Time between the last known pass and the switch, so that arming rarely stalls the group: two reports of a
  // status, 20 ms old each, and an order.
  milliseconds margin{50};
  // Passes in that time while their length is not known, and at most.
  std::uint64_t most_margin_steps = 3;
};

class switch_leader {
public:
  explicit switch_leader(leader_options options = {}) : m_options(options) {}

  // Starts a switch to `map`. False unless idle, and all ranks are known, in one epoch, with the same map.
  // `version` must be higher than any that the ranks have had.
  bool start(std::span<const std::optional<rank_view>> ranks, std::uint64_t token, std::uint64_t version,
             rank_map map, time_point now);

  // How long a pass takes now.
  void set_pass_time(milliseconds time) { m_pass_time = time; }

  // Moves on as far as the views allow. `own_rank` is the rank beside which the leader runs. A `token` of 0
  // says that this process does not lead; nothing is ordered then.
  void step(std::span<const std::optional<rank_view>> ranks, std::uint32_t own_rank, std::uint64_t token,
            time_point now);

  // True if a rank is held or armed although no switch is under way; it needs a token to put that right.
  [[nodiscard]] bool needs_recovery(std::span<const std::optional<rank_view>> ranks, time_point now) const;

  [[nodiscard]] phase current() const { return m_directive.kind; }
  // Null while idle.
  [[nodiscard]] const directive* order() const {
    return m_directive.kind == phase::idle ? nullptr : &m_directive;
  }

  // Another has led with a higher token, or orders with the token in use may still arrive late. step() and
  // start() do nothing until they are given a higher token than this; 0 if none is needed.
  [[nodiscard]] std::uint64_t outdated_token() const { return m_outdated_token; }

  // All views are fresh, of one epoch, and the group is open.
  [[nodiscard]] bool complete(std::span<const std::optional<rank_view>> ranks, time_point now) const;

private:
  void enter(phase next, time_point now);
  // Passes from the last known one to the switch.
  [[nodiscard]] std::uint64_t margin_steps() const;
  void note_outdated(std::span<const std::optional<rank_view>> ranks, std::uint64_t token);
  void step_idle(std::span<const std::optional<rank_view>> ranks, std::uint64_t token, time_point now);
  void step_preparing(std::span<const std::optional<rank_view>> ranks, std::uint32_t own_rank,
                      time_point now);
  void step_holding(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_arming(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_going(std::span<const std::optional<rank_view>> ranks, time_point now);
  void step_disarming(std::span<const std::optional<rank_view>> ranks, time_point now);

  leader_options m_options;
  milliseconds m_pass_time{0};  // 0: not known.
  directive m_directive;
  time_point m_entered{};
  std::uint64_t m_outdated_token = 0;
};

}  // namespace cuminpath::balancer
