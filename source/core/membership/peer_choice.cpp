#include "core/membership/peer_choice.h"

#include <algorithm>
#include <map>

#include "core/common/hash.h"
#include "core/membership/member_table.h"

namespace cuminpath::membership {
namespace {

host_refs ring_peers(std::string_view name, host_refs ring) {
  const auto start = hash64(name);
  // Distance on the ring from this process. Unsigned overflow provides the wrap-around.
  const auto distance = [start](const storage::host_entry* host) { return hash64(host->name) - start; };
  std::sort(ring.begin(), ring.end(),
            [&](const auto* left, const auto* right) { return distance(left) < distance(right); });
  if (ring.size() <= k_local_availability_zone_peers) {
    return ring;
  }
  const auto opposite = std::max(k_local_availability_zone_peers - 1, ring.size() / 2);
  host_refs chosen(ring.begin(),
                   ring.begin() + static_cast<std::ptrdiff_t>(k_local_availability_zone_peers - 1));
  chosen.push_back(ring[opposite]);
  return chosen;
}

}  // namespace

host_refs entry_peers(std::string_view name, std::string_view availability_zone, const host_refs& others) {
  host_refs local_entries;
  std::map<std::string_view, const storage::host_entry*> best_by_availability_zone;
  for (const auto* host : others) {
    if (host->availability_zone == availability_zone) {
      local_entries.push_back(host);
      continue;
    }
    auto& best = best_by_availability_zone[host->availability_zone];
    if (best == nullptr || rendezvous_weight(name, host->name) > rendezvous_weight(name, best->name)) {
      best = host;
    }
  }
  auto chosen = ring_peers(name, std::move(local_entries));
  for (const auto& [other_availability_zone, host] : best_by_availability_zone) {
    if (chosen.size() >= k_local_availability_zone_peers + k_max_other_availability_zones) {
      break;
    }
    chosen.push_back(host);
  }
  return chosen;
}

host_refs agent_peers(std::string_view name, std::string_view availability_zone, const host_refs& entries) {
  auto chosen = entries;
  order_for_callers(name, availability_zone, chosen);
  chosen.resize(std::min(chosen.size(), k_agent_peers));
  return chosen;
}

void order_for_callers(std::string_view name, std::string_view availability_zone, host_refs& entries) {
  std::vector<std::pair<std::uint64_t, const storage::host_entry*>> weighted;
  weighted.reserve(entries.size());
  for (const auto* host : entries) {
    weighted.emplace_back(rendezvous_weight(name, host->name), host);
  }
  std::sort(weighted.begin(), weighted.end(), [availability_zone](const auto& left, const auto& right) {
    const bool left_is_local = left.second->availability_zone == availability_zone;
    const bool right_is_local = right.second->availability_zone == availability_zone;
    return left_is_local != right_is_local ? left_is_local : left.first > right.first;
  });
  std::transform(weighted.begin(), weighted.end(), entries.begin(),
                 [](const auto& item) { return item.second; });
}

}  // namespace cuminpath::membership
