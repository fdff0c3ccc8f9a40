// Availability zones that the operator has evacuated. The load it addresses: an operator empties a zone while
// the other zones are near capacity.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace cuminpath::gateway {

// An evacuation that the operator has requested. It lasts as long as the operator's request exists.
struct evacuation_request {
  std::string availability_zone;
  std::uint64_t version = 0;  // Version of the store at the last write of the request.

  bool operator==(const evacuation_request&) const = default;
};

// The evacuations in force, and those that have ended recently. Knowledge of this process only: requests stay
// in force while the store cannot be read.
class evacuation {
public:
  struct change {
    std::string availability_zone;
    std::uint64_t version = 0;
    bool evacuated = false;  // False if the zone has been restored.

    bool operator==(const change&) const = default;
  };

  // Replaces the requests by the given ones. Returns the zones whose state has changed.
  std::vector<change> apply(std::span<const evacuation_request> requests, time_point now);

  [[nodiscard]] bool evacuated(std::string_view availability_zone) const {
    return m_active.contains(availability_zone);
  }
  // Returns when this process learned that the zone was restored; absent if it has never been evacuated, is
  // evacuated now, or was restored longer than k_restoration_memory ago.
  [[nodiscard]] std::optional<time_point> restored_at(std::string_view availability_zone,
                                                      time_point now) const;

  struct state {
    std::uint64_t version = 0;
    time_point since{};  // When this process learned of the evacuation.
  };
  using zone_states = std::map<std::string, state, std::less<>>;
  [[nodiscard]] const zone_states& active() const { return m_active; }

  // Upstreams of a restored zone can be cold for a few seconds; a minute covers any configured time.
  static constexpr minutes k_restoration_memory{1};

private:
  zone_states m_active;
  std::map<std::string, time_point, std::less<>> m_restored;
};

}  // namespace cuminpath::gateway
