// Expert maps of one rank of an emulated engine: orders to switch them, and the map used from each step on.
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
  std::uint32_t experts = 8;  // For each layer.
  std::uint32_t ranks = 1;
  std::uint32_t rank = 0;
  std::uint32_t drift_steps = 2000;  // Steps until the most popular expert is the next one.
  bool ignore_fencing = false;
};

class expert_maps {
public:
  explicit expert_maps(const expert_options& options);

  enum class verdict : std::uint8_t { accepted, stale_fencing, wrong_switch, step_passed };
  using expert_position = std::pair<std::uint32_t, std::uint32_t>;  // Layer and expert.

  // Remembers the fencing token. False if it is stale and tokens are checked.
  bool accept_fencing(std::uint64_t token);
  void set_ignore_fencing(bool ignore) { m_options.ignore_fencing = ignore; }
  // Starts a preparation, in place of one that is not armed. The weights of missing() are still to be loaded.
  // Refused while another switch is armed, while the first step of a committed one has not run, and for a
  // switch that was aborted: the rank would forget the map that the other ranks switch to.
  verdict prepare(const std::string& switch_name, std::string digest, json map);
  [[nodiscard]] std::vector<expert_position> missing() const;
  // Accepted if the switch is now prepared, or further; it may have been aborted meanwhile.
  verdict set_prepared(const std::string& switch_name);
  // The first step on the new map. The rank holds before that step until go() or abort().
  verdict arm(const std::string& switch_name, std::uint64_t step, std::uint64_t current_step);
  // `joined`: whether the rank takes part in its group; one that does not takes the map at once.
  verdict go(const std::string& switch_name, std::uint64_t current_step, bool joined);
  verdict abort(const std::string& switch_name);

  // Whether the rank must not run this step yet.
  [[nodiscard]] bool holds(std::uint64_t step) const;
  // Digest of the map that this step runs on.
  [[nodiscard]] const std::string& digest_at(std::uint64_t step) const;
  // Makes the map of this step the one in use and counts `tokens` of this rank over the experts.
  void run_step(std::uint64_t step, std::uint64_t tokens);
  // Time of this step on this rank, relative to a rank with the mean load.
  [[nodiscard]] double relative_load(std::uint64_t step) const;

  [[nodiscard]] json load_counts() const;
  [[nodiscard]] json state() const;  // {"switch","phase","armed_step","digest","fencing"}
  // {"fencing","switch","phase","switch_step","step","digest","new_digest"} as in group_switch::engine_state.
  // A switch that has ended stays visible until the next one, so that a restarted agent learns how it ended.
  [[nodiscard]] json map_state(std::uint64_t next_step) const;
  [[nodiscard]] json history() const;  // [{"step","digest"}]: the map used from each step on.

private:
  enum class phase : std::uint8_t { idle, preparing, prepared, armed, committed, aborted };
  struct pending_switch {
    std::string name;
    std::string digest;
    json map;
    std::uint64_t step = 0;
    phase state = phase::idle;
  };

  [[nodiscard]] bool holds_expert(const json& map, std::uint32_t layer, std::uint32_t expert) const;
  // Share of the tokens of a layer that go to each expert; drifts with the step.
  [[nodiscard]] std::vector<double> popularity(std::uint32_t layer, std::uint64_t step) const;
  void use_pending(std::uint64_t step);

  expert_options m_options;
  std::uint64_t m_fencing = 0;
  json m_map;
  std::string m_digest;
  pending_switch m_pending;
  pending_switch m_last;       // The last switch that has ended, without its map.
  std::string m_last_applied;  // Name of the last switch that took effect.
  std::vector<std::vector<double>> m_tokens;
  std::vector<std::pair<std::uint64_t, std::string>> m_history;
};

}  // namespace cuminpath::emulator
