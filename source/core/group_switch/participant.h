// One rank's part in a switch of its group's expert map. Checks fencing tokens itself, because some engines
// ignore them. A core without input or output: events come in, actions go out.
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

// Send the order to the rank's engine; report with on_engine_result().
struct engine_order {
  engine_command command{};
  fencing_token token{};
  std::uint64_t switch_id = 0;
  std::uint64_t step = 0;  // arm_map only: first step on the new map.
  std::string digest;      // prepare_map only.
  std::string plan;        // prepare_map only.
};
// Ask the engine for its state; report with on_engine_state().
struct query_engine {};
// Learn the group's fencing token, from the platform's table or from all other ranks of the group; report
// with on_token_floor().
struct learn_token {};
// Send to the coordinator that the last message came from.
struct reply {
  std::string peer_address;
  wire::message message;
};
using participant_action = std::variant<engine_order, query_engine, learn_token, reply>;

// What the engine itself knows. An engine keeps its state while its agent restarts.
struct engine_state {
  fencing_token token{};  // Highest that it has seen, 0 if it does not keep it.
  std::uint64_t switch_id = 0;
  wire::switch_phase phase = wire::switch_phase::idle;
  std::uint64_t switch_step = 0;  // First step on the new map, once armed.
  std::uint64_t step = 0;         // Next step to run.
  std::string digest;             // Of the map in use.
  std::string new_digest;         // Of the map of the last switch.
};

class participant {
public:
  participant(std::string group, std::uint32_t rank);

  // Asks the engine for its state and for the group's token. Nothing is answered before both are known: a
  // restarted agent that took its engine for idle could let the coordinator abort a switch that other ranks
  // have made, and one that has forgotten the token would obey a coordinator that has been replaced.
  void start(std::vector<participant_action>& actions);
  void on_token_floor(fencing_token floor, std::vector<participant_action>& actions);
  void on_engine_state(const engine_state& state, std::vector<participant_action>& actions);
  // Result of the last order. `step` is the engine's current step.
  void on_engine_result(bool accepted, std::uint64_t step, std::vector<participant_action>& actions);
  // The order's result is not known; the engine is asked for its state.
  void on_engine_unreachable(std::vector<participant_action>& actions);

  // Any message of the switch protocol from a coordinator; others are ignored.
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

  [[nodiscard]] bool ready() const { return m_known && m_token_known && !m_pending; }
  bool accept_token(fencing_token token);
  [[nodiscard]] bool switch_pending() const;
  void handle(std::string_view peer_address, const wire::message& message,
              std::vector<participant_action>& actions);
  void handle_with_fresh_state(std::string_view peer, const wire::message& message,
                               std::vector<participant_action>& actions);
  void on_prepare(std::string_view peer, const wire::switch_prepare& message,
                  std::vector<participant_action>& actions);
  void on_arm(std::string_view peer, const wire::switch_arm& message,
              std::vector<participant_action>& actions);
  void on_go(std::string_view peer, const wire::switch_go& message, std::vector<participant_action>& actions);
  void on_abort(std::string_view peer, const wire::switch_abort& message,
                std::vector<participant_action>& actions);
  void order(engine_order value, std::string_view peer, std::vector<participant_action>& actions);
  void reply_prepared(std::string_view peer, bool ready, std::vector<participant_action>& actions);
  void reply_armed(std::string_view peer, bool armed, std::vector<participant_action>& actions);
  void reply_state(std::string_view peer, std::vector<participant_action>& actions);
  void handle_waiting(std::vector<participant_action>& actions);

  std::string m_group;
  std::uint32_t m_rank;
  bool m_known = false;  // Whether the engine's state is known.
  bool m_token_known = false;
  bool m_fresh = false;  // Whether it was asked for just now.
  fencing_token m_token{};
  std::uint64_t m_switch_id = 0;
  wire::switch_phase m_phase = wire::switch_phase::idle;
  std::uint64_t m_step = 0;         // Last known step of the engine.
  std::uint64_t m_switch_step = 0;  // First step on the new map.
  std::string m_digest;             // Of the map in use.
  std::string m_new_digest;
  std::optional<pending_order> m_pending;
  // Messages that came while an order was under way. Answering before its result could report a state that
  // is about to change.
  std::vector<std::pair<std::string, wire::message>> m_waiting;
};

}  // namespace cuminpath::group_switch
