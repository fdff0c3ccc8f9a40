// Distribution of a switch's map from the leader to the ranks of its group. One copy for each rank would fill
// the link of the leader's host for longer than the engines need to copy their experts, so the ranks relay
// the map in a tree.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace cuminpath::balancer {

// Copies of the map that one rank sends. The tree of 96 ranks is four hops deep; each copy of a map of 16
// layers of 192 experts takes 10 ms at 6 Mbit/s.
constexpr std::uint32_t k_relay_fanout = 3;

// Returns the order in which the map is distributed: the leader, then the other ranks that can relay it.
std::vector<std::uint32_t> relay_order(std::span<const std::uint32_t> ranks, std::uint32_t leader);

// Returns the ranks to which `rank` sends the map; none if `rank` is not in `order`.
std::vector<std::uint32_t> relay_targets(std::span<const std::uint32_t> order, std::uint32_t rank);

}  // namespace cuminpath::balancer
