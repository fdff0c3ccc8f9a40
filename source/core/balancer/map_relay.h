// The way of a switch's map from the leader to the ranks of its group. At 32 ranks the map in 32 copies fills
// an 8 Mbit/s link for longer than the engines copy their experts, so ranks pass it on in chains.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cuminpath::balancer {

// Copies of the map that the leader sends at once: 20 KB for 12 sets of 128 experts, 20 ms at 8 Mbit/s.
constexpr std::uint32_t k_map_chains = 8;

// Ranks that the leader sends the map to. `ranks` are those with a balancer, in ascending order.
std::vector<std::uint32_t> chain_heads(std::span<const std::uint32_t> ranks, std::uint32_t leader);

// The rank that `rank` passes the map on to; absent at the end of its chain.
std::optional<std::uint32_t> next_in_chain(std::span<const std::uint32_t> ranks, std::uint32_t rank);

}  // namespace cuminpath::balancer
