// Decides when a gateway asks a seed for the content of the store. A gateway learns of others from this
// content, and from reports of those that have its row or have received a report from it. One that has
// neither is told nothing, so it asks until it hears from another gateway or from the store.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/gateway/member_list.h"

namespace cuminpath::gateway {

class seed_schedule {
public:
  enum class contact : std::uint8_t {
    starting,  // The gateway does not have enough content to serve callers yet.
    alone,     // It hears neither from the store nor from a gateway that would have news.
    in_touch,
  };

  // Between two calls while starting.
  static constexpr milliseconds k_starting_interval{250};
  // Longest times between two calls while alone, at first and later; the shortest ones are half of them.
  static constexpr milliseconds k_first_interval{500};
  static constexpr milliseconds k_last_interval{2000};

  // Returns true if a seed has to be asked now, and counts it as asked.
  bool take_due(contact state, time_point now, random_source& random);

  // Returns the contact of the gateway that `local` describes. Gateways that know each other, but neither a
  // reader of the store nor a seed, are cut off together.
  [[nodiscard]] static contact find_contact(const member_report& local, const member_list& members,
                                            std::span<const std::string> seeds, time_point now);

private:
  milliseconds m_interval = k_first_interval;
  std::optional<time_point> m_next;
};

}  // namespace cuminpath::gateway
