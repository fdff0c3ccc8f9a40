// Expert maps of one rank of an emulated engine: the state of map switches, and the map that each step uses.
// A map is JSON: {"layers":[[[expert,...] for each rank] for each layer]}.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/common/json.h"

namespace cuminpath::emulator {

struct expert_options {
  std::uint32_t layers = 2;
  std::uint32_t experts = 8;  // Per layer.
  std::uint32_t ranks = 1;
  std::uint32_t rank = 0;
  std::uint32_t drift_steps = 2000;  // Number of steps after which the popularity shifts by one expert.
  bool ignore_fencing = false;
};

// Applies the orders that switch the expert map, and emulates the load of the experts.
class expert_maps {
public:
  explicit expert_maps(const expert_options& options);

  enum class order_result : std::uint8_t { accepted, stale_fencing, wrong_switch, step_passed };
  using expert_position = std::pair<std::uint32_t, std::uint32_t>;  // Layer and expert.

  // Records the fencing token. Returns false if the token is stale and tokens are checked.
  bool accept_fencing_token(std::uint64_t token);
  void set_ignore_fencing(bool ignore) { m_options.ignore_fencing = ignore; }
  // Starts to prepare a switch and replaces one that is not armed yet. The caller then loads the weights of
  // missing_experts(). Refused for a switch that was aborted, while another switch is armed, and until a
  // committed switch has run its first step: the rank would forget the map that the other ranks switch to.
  order_result prepare(const std::string& switch_name, std::string digest, json map);
  // Returns the experts that the rank has in the map being prepared but not in the current one.
  [[nodiscard]] std::vector<expert_position> missing_experts() const;
  // Marks the switch as prepared. Refused if the switch has been aborted or replaced in the meantime;
  // accepted if it is already in a later phase.
  order_result set_prepared(const std::string& switch_name);
  // Sets the first step on the new map. The rank waits before that step until commit() or abort().
  order_result arm(const std::string& switch_name, std::uint64_t step, std::uint64_t current_step);
  // Handles a go_map order. `joined` states whether the rank runs steps with its group; if not, the rank
  // applies the map at once.
  order_result commit(const std::string& switch_name, std::uint64_t current_step, bool joined);
  order_result abort(const std::string& switch_name);

  // Whether the rank has to wait for commit() or abort() before it runs this step.
  [[nodiscard]] bool blocks_step(std::uint64_t step) const;
  // Returns the digest of the map that this step uses.
  [[nodiscard]] const std::string& digest_for_step(std::uint64_t step) const;
  // Applies a committed map that begins with this step, and distributes `tokens` of this rank over the load
  // counts of the experts.
  void run_step(std::uint64_t step, std::uint64_t tokens);
  // Returns the load of this rank in this step, relative to the mean load of the ranks.
  [[nodiscard]] double relative_load(std::uint64_t step) const;

  // Returns the number of tokens per layer and expert.
  [[nodiscard]] json load_counts() const;
  [[nodiscard]] json state() const;  // {"switch","phase","armed_step","last_switch","digest","fencing"}
  // {"fencing","switch","phase","switch_step","step","digest","new_digest"} as in group_switch::engine_state.
  // Reports a switch that has ended until the next one begins, so that a restarted agent can read its
  // outcome.
  [[nodiscard]] json map_state(std::uint64_t next_step) const;
  [[nodiscard]] json history() const;  // [{"step","digest"}]: first step of each map that was used.

private:
  enum class phase : std::uint8_t { idle, preparing, prepared, armed, committed, aborted };
  struct map_switch {
    std::string name;
    std::string digest;
    json map;
    std::uint64_t step = 0;
    phase state = phase::idle;
  };

  [[nodiscard]] bool has_expert(const json& map, std::uint32_t layer, std::uint32_t expert) const;
  // Returns the share of a layer's tokens that each expert receives; the shares drift with the step.
  [[nodiscard]] std::vector<double> popularity(std::uint32_t layer, std::uint64_t step) const;
  // Makes the pending map the current one.
  void apply_pending(std::uint64_t step);

  expert_options m_options;
  std::uint64_t m_fencing_token = 0;
  json m_map;
  std::string m_digest;
  map_switch m_pending;
  map_switch m_last_ended;     // The last switch that has ended, without its map.
  std::string m_last_applied;  // Name of the last switch that was applied.
  std::vector<std::vector<double>> m_expert_tokens;
  std::vector<std::pair<std::uint64_t, std::string>> m_history;
};

}  // namespace cuminpath::emulator
