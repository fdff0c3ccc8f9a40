// Availability zones that the operator has evacuated. The load it addresses: an operator empties a zone while
// the other zones are near capacity.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/gateway/restored_copy.h"

namespace cuminpath::gateway {

// An evacuation that the operator has requested. It lasts as long as the operator's request exists.
struct evacuation_request {
  std::string availability_zone;
  std::uint64_t version = 0;  // Version of the store at the last write of the request.

  bool operator==(const evacuation_request&) const = default;
};

// The requests as of one version of the store.
struct evacuation_list {
  std::vector<evacuation_request> requests;
  store_version version;
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

  // Replaces the requests by the given ones. Returns the zones whose state has changed. After the store was
  // restored from an older copy, a request that the copy lacks stays in force, and one that was known to have
  // ended does not come into force, for k_operator_rewrite_time or until its row is written again.
  std::vector<change> apply(const evacuation_list& listed, time_point now);
  // Ends requests that were not written again after the store was restored, and brings those into force that
  // it goes on listing. Returns the zones whose state has changed.
  std::vector<change> expire(time_point now);

  [[nodiscard]] bool evacuated(std::string_view availability_zone) const {
    return m_active.contains(availability_zone);
  }
  // Returns when this process learned that the zone was restored; absent if it has never been evacuated, is
  // evacuated now, or was restored longer than k_restoration_memory ago.
  [[nodiscard]] std::optional<time_point> restored_at(std::string_view availability_zone,
                                                      time_point now) const;

  struct state {
    std::uint64_t version = 0;
    time_point since{};                 // When this process learned of the evacuation.
    std::optional<time_point> ends_at;  // Set if the request is no longer listed.
  };
  using zone_states = std::map<std::string, state, std::less<>>;
  [[nodiscard]] const zone_states& active() const { return m_active; }

  // Upstreams of a restored zone can be cold for a few seconds; a minute covers any configured time.
  static constexpr minutes k_restoration_memory{1};

private:
  [[nodiscard]] bool may_be_of_copy(const evacuation_request& request, std::uint64_t era,
                                    time_point now) const;
  void activate(const evacuation_request& request, std::vector<change>& changes, time_point now);
  void remove_ended(std::vector<change>& changes, time_point now);

  restored_copy m_copy;
  zone_states m_active;
  evacuation_list m_held_back;  // Listed by a copy of the store, though their end was known.
  std::map<std::string, time_point, std::less<>> m_restored;
};

}  // namespace cuminpath::gateway
