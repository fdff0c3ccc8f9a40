// Coordinates the switches of one group's expert map; runs in the agent of rank 0. Performs no input or
// output.
//
// The decision to switch is final once the first `switch_commit` has been sent. A new coordinator therefore
// queries every rank before it decides anything: if one rank has committed, all must commit; if all respond
// and none has committed, it aborts the switch.
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
  seconds prepare_timeout{120};  // Dominated by loading weights at the weight store's rate.
  milliseconds arm_timeout{2000};
  // Steps from the most advanced rank to the switch. Covers arming and `switch_commit`, so that ranks rarely
  // have to hold.
  std::uint64_t margin_steps = 25;
};

// Requests to take over the group in the platform's table by raising its fencing token with a
// compare-and-set. The result is reported with on_token(). Repeated until it succeeds.
struct acquire_token {};
// Requests to send a message to the agent of a rank.
struct send_to_rank {
  std::uint32_t rank = 0;
  wire::message message;
};
// Requests to store the digest of the map in use in the platform's table, for restarts. A failure is
// harmless.
struct record_map {
  fencing_token token{};
  std::string digest;
};
// Reports the outcome of a switch.
struct switch_finished {
  std::uint64_t switch_id = 0;
  bool committed = false;
  std::string reason;  // Why the switch was aborted.
};
using coordinator_action = std::variant<acquire_token, send_to_rank, record_map, switch_finished>;

class coordinator {
public:
  explicit coordinator(coordinator_options options);

  void on_token(time_point now, fencing_token token);
  // Handles a message of the switch protocol from a rank; ignores any other message.
  void on_message(time_point now, const wire::message& message, std::vector<coordinator_action>& actions);
  void tick(time_point now, std::vector<coordinator_action>& actions);

  // Starts a switch. Returns false if another one is under way or the group has not been taken over yet.
  bool start_switch(time_point now, std::string digest, std::string plan);
  // Aborts the switch under way unless it has been decided to commit.
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
  std::vector<std::uint64_t> m_rank_steps;
  std::vector<wire::switch_state> m_rank_states;
  time_point m_next_send_at{};
};

}  // namespace cuminpath::group_switch
