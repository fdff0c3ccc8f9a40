#include "core/balancer/map_relay.h"

#include <algorithm>

namespace cuminpath::balancer {

std::vector<std::uint32_t> relay_order(std::span<const std::uint32_t> ranks, std::uint32_t leader) {
  std::vector<std::uint32_t> order{leader};
  std::copy_if(ranks.begin(), ranks.end(), std::back_inserter(order),
               [leader](std::uint32_t rank) { return rank != leader; });
  return order;
}

std::vector<std::uint32_t> relay_targets(std::span<const std::uint32_t> order, std::uint32_t rank) {
  const auto found = std::find(order.begin(), order.end(), rank);
  if (found == order.end()) {
    return {};
  }
  const auto first = k_relay_fanout * static_cast<std::size_t>(found - order.begin()) + 1;
  const auto begin = std::min(first, order.size());
  const auto end = std::min(first + k_relay_fanout, order.size());
  return {order.begin() + static_cast<std::ptrdiff_t>(begin),
          order.begin() + static_cast<std::ptrdiff_t>(end)};
}

}  // namespace cuminpath::balancer
