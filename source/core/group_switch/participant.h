// One rank's part in a switch of its group's expert map. Checks fencing tokens itself, because some engines
// ignore them. Performs no input or output: it receives events and returns actions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/wire/messages.h"

namespace cuminpath::group_switch {

enum class engine_command : std::uint8_t { prepare_map, arm_map, go_map, abort_map };

// Requests to send the order to the rank's engine. The result is reported with on_engine_result().
struct engine_order {
  engine_command command{};
  fencing_token token{};
  std::uint64_t switch_id = 0;
  std::uint64_t step = 0;  // arm_map only: the first step on the new map.
  std::string digest;      // prepare_map only.
  std::string plan;        // prepare_map only.
};
// Requests the engine's state, which is reported with on_engine_state().
struct query_engine {};
// Requests the group's fencing token from the platform's table or from all other ranks of the group. It is
// reported with on_group_token().
struct query_token {};
// Requests to send a message to the coordinator whose message it answers.
struct reply {
  std::string peer_address;
  wire::message message;
};
using participant_action = std::variant<engine_order, query_engine, query_token, reply>;

// State of a switch as the engine reports it. An engine keeps its state while its agent restarts.
struct engine_state {
  fencing_token token{};  // Highest token that the engine has seen; 0 if it keeps none.
  std::uint64_t switch_id = 0;
  wire::switch_phase phase = wire::switch_phase::idle;
  std::uint64_t switch_step = 0;  // First step on the new map, once armed.
  std::uint64_t step = 0;         // The next step to run.
  std::string digest;             // Of the map in use.
  std::string new_digest;         // Of the map of the last switch.
};

class participant {
public:
  participant(std::string group, std::uint32_t rank);

  // Requests the engine's state and the group's token. No message is answered before both are known. A
  // restarted agent that assumed its engine to be idle could let the coordinator abort a switch that other
  // ranks have made, and one that did not know the token would obey a coordinator that has been replaced.
  void start(std::vector<participant_action>& actions);
  // Records the group's fencing token; messages with lower tokens are ignored from then on.
  void on_group_token(fencing_token floor, std::vector<participant_action>& actions);
  void on_engine_state(const engine_state& state, std::vector<participant_action>& actions);
  // Records the result of the last order. `step` is the engine's current step.
  void on_engine_result(bool accepted, std::uint64_t step, std::vector<participant_action>& actions);
  // Handles an order whose result is not known: requests the engine's state.
  void on_engine_unreachable(std::vector<participant_action>& actions);

  // Handles a message of the switch protocol from a coordinator; ignores any other message.
  void on_message(std::string_view peer_address, const wire::message& message,
                  std::vector<participant_action>& actions);

  [[nodiscard]] wire::switch_phase phase() const { return m_phase; }
  [[nodiscard]] fencing_token token() const { return m_token; }
  [[nodiscard]] const std::string& map_digest() const { return m_digest; }

private:
  struct pending_order {
    engine_command command{};
    std::string peer_address;
  };

  [[nodiscard]] bool ready() const { return m_engine_state_known && m_token_known && !m_pending; }
  bool accept_token(fencing_token token);
  [[nodiscard]] bool switch_pending() const;
  void handle(std::string_view peer_address, const wire::message& message,
              std::vector<participant_action>& actions);
  void handle_after_state_query(std::string_view peer, const wire::message& message,
                                std::vector<participant_action>& actions);
  void on_prepare(std::string_view peer, const wire::switch_prepare& message,
                  std::vector<participant_action>& actions);
  void on_arm(std::string_view peer, const wire::switch_arm& message,
              std::vector<participant_action>& actions);
  void on_commit(std::string_view peer, const wire::switch_commit& message,
                 std::vector<participant_action>& actions);
  void on_abort(std::string_view peer, const wire::switch_abort& message,
                std::vector<participant_action>& actions);
  void send_order(engine_order value, std::string_view peer, std::vector<participant_action>& actions);
  void reply_prepared(std::string_view peer, bool ready, std::vector<participant_action>& actions);
  void reply_armed(std::string_view peer, bool armed, std::vector<participant_action>& actions);
  void reply_state(std::string_view peer, std::vector<participant_action>& actions);
  void handle_queued_messages(std::vector<participant_action>& actions);

  std::string m_group;
  std::uint32_t m_rank;
  bool m_engine_state_known = false;
  bool m_token_known = false;
  bool m_engine_state_fresh = false;  // The engine's state has just been reported.
  fencing_token m_token{};
  std::uint64_t m_switch_id = 0;
  wire::switch_phase m_phase = wire::switch_phase::idle;
  std::uint64_t m_step = 0;         // Last known step of the engine.
  std::uint64_t m_switch_step = 0;  // First step on the new map.
  std::string m_digest;             // Of the map in use.
  std::string m_new_digest;
  std::optional<pending_order> m_pending;
  // Messages received while an order was pending or the state or token was not known. An answer before the
  // order's result could report a state that is about to change.
  std::vector<std::pair<std::string, wire::message>> m_queued_messages;
};

}  // namespace cuminpath::group_switch
