// Leads the switches of one group's expert map; runs in the agent of rank 0. A core without input or output.
//
// The decision to switch is final once the first `go` has left. A new coordinator therefore asks every rank
// before it decides anything: if one rank has committed, all must; if all answer and none has, it aborts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/wire/messages.h"

namespace cuminpath::group_switch {

struct coordinator_options {
  std::string group;
  std::uint32_t ranks = 1;
  milliseconds resend_interval{200};
  seconds prepare_timeout{120};  // Loading weights at the weight store's rate takes the longest.
  milliseconds arm_timeout{2000};
  // Steps between the furthest rank and the switch. Covers arming and `go`, so that ranks rarely hold.
  std::uint64_t margin_steps = 25;
};

// Take the group over in the platform's table: raise its fencing token by compare-and-set. Report with
// on_token(). Asked again until it succeeds.
struct acquire_token {};
struct send_to_rank {
  std::uint32_t rank = 0;
  wire::message message;
};
// Keep the digest of the map in use in the platform's table, for restarts. Failing is harmless.
struct record_map {
  fencing_token token{};
  std::string digest;
};
struct switch_finished {
  std::uint64_t switch_id = 0;
  bool committed = false;
  std::string reason;  // Why it was aborted.
};
using coordinator_action = std::variant<acquire_token, send_to_rank, record_map, switch_finished>;

class coordinator {
public:
  explicit coordinator(coordinator_options options);

  void on_token(time_point now, fencing_token token);
  // Any message of the switch protocol from a rank; others are ignored.
  void on_message(time_point now, const wire::message& message, std::vector<coordinator_action>& actions);
  void tick(time_point now, std::vector<coordinator_action>& actions);

  // Starts a switch. False if another is under way or the group has not been taken over yet.
  bool start_switch(time_point now, std::string digest, std::string plan);
  // Aborts a switch that has not been decided yet.
  void abort_switch(time_point now, std::string reason);

  [[nodiscard]] bool idle() const { return std::holds_alternative<idle_state>(m_state); }
  [[nodiscard]] fencing_token token() const { return m_token; }
  [[nodiscard]] const std::string& map_digest() const { return m_digest; }
  [[nodiscard]] std::string_view state_name() const;

private:
  struct acquiring {};
  struct recovering {};
  struct idle_state {};
  struct preparing {
    std::string plan;
    time_point deadline{};
  };
  struct arming {
    std::uint64_t step = 0;
    time_point deadline{};
  };
  struct committing {};
  struct aborting {
    std::string reason;
  };
  using state = std::variant<acquiring, recovering, idle_state, preparing, arming, committing, aborting>;

  void on_prepared(time_point now, const wire::switch_prepared& message);
  void on_armed(time_point now, const wire::switch_armed& message);
  void on_state(time_point now, const wire::switch_state& message, std::vector<coordinator_action>& actions);
  void finish_recovery(time_point now);
  void enter(time_point now, state next);
  void send_due(time_point now, std::vector<coordinator_action>& actions);
  void check_deadline(time_point now);
  [[nodiscard]] std::optional<wire::message> message_for(std::uint32_t rank) const;
  [[nodiscard]] bool all_answered() const;
  void finish(time_point now, bool committed, std::string reason, std::vector<coordinator_action>& actions);

  coordinator_options m_options;
  state m_state = acquiring{};
  fencing_token m_token{};
  std::uint64_t m_switch_id = 0;
  std::string m_digest;      // Of the map in use.
  std::string m_new_digest;  // Of the map of the switch under way.
  std::vector<bool> m_answered;
  std::vector<std::uint64_t> m_steps;
  std::vector<wire::switch_state> m_states;
  time_point m_next_send{};
};

}  // namespace cuminpath::group_switch
