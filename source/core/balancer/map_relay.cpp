#include "core/balancer/map_relay.h"

#include <algorithm>

namespace cuminpath::balancer {

std::vector<std::uint32_t> chain_heads(std::span<const std::uint32_t> ranks, std::uint32_t leader) {
  std::vector<std::uint32_t> heads;
  for (std::uint32_t chain = 0; chain < k_map_chains; ++chain) {
    const auto head = std::find_if(ranks.begin(), ranks.end(), [chain, leader](std::uint32_t rank) {
      return rank % k_map_chains == chain && rank != leader;
    });
    if (head != ranks.end()) {
      heads.push_back(*head);
    }
  }
  return heads;
}

std::optional<std::uint32_t> next_in_chain(std::span<const std::uint32_t> ranks, std::uint32_t rank) {
  const auto next = std::find_if(ranks.begin(), ranks.end(), [rank](std::uint32_t other) {
    return other > rank && other % k_map_chains == rank % k_map_chains;
  });
  return next == ranks.end() ? std::nullopt : std::optional(*next);
}

}  // namespace cuminpath::balancer
