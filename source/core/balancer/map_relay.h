// The way of a switch's map from the leader to the ranks of its group. In a copy for each rank it would fill
// the link of the leader's host for longer than the engines copy their experts, so ranks pass it on in a
// tree.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace cuminpath::balancer {

// Copies of the map that one rank sends. 96 ranks are four steps deep; a map of 16 layers of 192 experts
// takes 10 ms at 6 Mbit/s for each copy.
constexpr std::uint32_t k_map_copies = 3;

// Order in which the map spreads: the leader, then the other ranks that can pass it on.
std::vector<std::uint32_t> relay_order(std::span<const std::uint32_t> ranks, std::uint32_t leader);

// Ranks that `rank` sends the map to; none if it is not in the order.
std::vector<std::uint32_t> relay_targets(std::span<const std::uint32_t> order, std::uint32_t rank);

}  // namespace cuminpath::balancer
