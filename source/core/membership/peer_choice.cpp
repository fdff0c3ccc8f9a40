#include "core/membership/peer_choice.h"

#include <algorithm>
#include <map>

#include "core/common/hash.h"
#include "core/membership/member_table.h"

namespace cuminpath::membership {
namespace {

host_refs ring_peers(std::string_view name, host_refs ring) {
  const auto start = hash64(name);
  // Distance on the ring from this process, with wrap-around.
  const auto distance = [start](const storage::host_entry* host) { return hash64(host->name) - start; };
  std::sort(ring.begin(), ring.end(),
            [&](const auto* left, const auto* right) { return distance(left) < distance(right); });
  if (ring.size() <= k_zone_peers) {
    return ring;
  }
  const auto opposite = std::max(k_zone_peers - 1, ring.size() / 2);
  host_refs chosen(ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(k_zone_peers - 1));
  chosen.push_back(ring[opposite]);
  return chosen;
}

}  // namespace

host_refs entry_peers(std::string_view name, std::string_view zone, const host_refs& others) {
  host_refs own;
  std::map<std::string_view, const storage::host_entry*> best;
  for (const auto* host : others) {
    if (host->availability_zone == zone) {
      own.push_back(host);
      continue;
    }
    auto& known = best[host->availability_zone];
    if (known == nullptr || rendezvous_weight(name, host->name) > rendezvous_weight(name, known->name)) {
      known = host;
    }
  }
  auto chosen = ring_peers(name, std::move(own));
  for (const auto& [other_zone, host] : best) {
    if (chosen.size() >= k_zone_peers + k_max_other_zones) {
      break;
    }
    chosen.push_back(host);
  }
  return chosen;
}

host_refs agent_peers(std::string_view name, std::string_view zone, const host_refs& entries) {
  auto chosen = entries;
  order_for_callers(name, zone, chosen);
  chosen.resize(std::min(chosen.size(), k_agent_peers));
  return chosen;
}

void order_for_callers(std::string_view name, std::string_view zone, host_refs& entries) {
  std::vector<std::pair<std::uint64_t, const storage::host_entry*>> weighted;
  weighted.reserve(entries.size());
  for (const auto* host : entries) {
    weighted.emplace_back(rendezvous_weight(name, host->name), host);
  }
  std::sort(weighted.begin(), weighted.end(), [zone](const auto& left, const auto& right) {
    const bool left_near = left.second->availability_zone == zone;
    const bool right_near = right.second->availability_zone == zone;
    return left_near != right_near ? left_near : left.first > right.first;
  });
  std::transform(weighted.begin(), weighted.end(), entries.begin(),
                 [](const auto& item) { return item.second; });
}

}  // namespace cuminpath::membership
