// A point in the history of the platform's store.
#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace cuminpath::gateway {

// The store numbers its changes. When it is restored from an older copy, it gives out numbers again and its
// era rises, so every version of a later era is newer than any of an earlier one. A store that states no era
// stays in era 0.
struct store_version {
  std::uint64_t era = 0;
  std::uint64_t number = 0;

  bool operator==(const store_version&) const = default;
  std::strong_ordering operator<=>(const store_version& other) const {
    return std::tie(era, number) <=> std::tie(other.era, other.number);
  }
};

}  // namespace cuminpath::gateway
