// Divides the capacity of a service among the workspaces that use it while slots are scarce. It addresses
// overload by a few large workspaces: admission by rank alone lets one workspace take all slots that its rank
// may use, and the requests of small workspaces are refused as often as those of the large one.
//
// A part of the capacity is divided in proportion to what workspaces ask for, so that the requests of none
// are served much less often than those of others. The rest is divided evenly: a workspace that asks for less
// than an equal share gets all that it asks for, and what it leaves is divided among the others. All
// workspaces have the same weight. Each gateway divides what it admits itself; see
// docs/design/workspace-shares.md.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/common/time.h"

namespace cuminpath::gateway {

// What a request counts as.
struct share_request {
  std::string_view workspace;
  std::uint32_t rank = 0;  // 0 is the most urgent.
  double cost = 1;         // Prompt and maximum output tokens, or 1 if these are not known.
  bool is_retry = false;   // The caller has been refused before; see retry_detector.
};

// One object for each service. Holds an entry for each workspace that has sent requests within the last
// minutes, so its memory is bounded by the workspaces of the configuration.
class workspace_shares {
public:
  // Records that a workspace asks for a slot, whether it gets one or not.
  void on_request(const share_request& request, time_point now);
  // Records that the request got a slot.
  void on_admitted(const share_request& request, time_point now);

  // Returns false if the workspace has used more than its share lately. `scarcity` is 0 while there are slots
  // for everyone, and nobody is refused then, and 1 if there is none; see gateway::scarcity. A request is
  // compared with the use of requests at least as urgent, so less urgent ones of the same workspace do not
  // cause its refusal.
  [[nodiscard]] bool may_admit(const share_request& request, double scarcity, time_point now) const;

  // Number of workspaces with recent requests.
  [[nodiscard]] std::size_t size() const { return m_workspaces.size(); }

private:
  static constexpr std::size_t k_ranks = 3;  // Less urgent requests count as those of the last one.

  // Decaying sums of cost by rank.
  struct use {
    std::array<double, k_ranks> requested{};
    std::array<double, k_ranks> admitted{};
  };

  void decay(time_point now);
  // Returns the use up to which a workspace is served; infinite if there is enough for all.
  [[nodiscard]] double share(const use& workspace, std::size_t rank, double scarcity) const;

  std::unordered_map<std::string, use> m_workspaces;  // By name.
  time_point m_decayed_at{};
  time_point m_observed_since{};
};

}  // namespace cuminpath::gateway
