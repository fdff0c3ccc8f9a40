#include "core/gateway/evacuation.h"

#include <algorithm>

namespace cuminpath::gateway {

std::vector<evacuation::change> evacuation::apply(std::span<const evacuation_request> requests,
                                                  time_point now) {
  std::vector<change> changes;
  for (auto known = m_active.begin(); known != m_active.end();) {
    const bool requested = std::any_of(requests.begin(), requests.end(), [&](const auto& request) {
      return request.availability_zone == known->first;
    });
    if (requested) {
      ++known;
      continue;
    }
    changes.push_back({known->first, known->second.version, false});
    m_restored.insert_or_assign(known->first, now);
    known = m_active.erase(known);
  }
  for (const evacuation_request& request : requests) {
    const auto [entry, added] = m_active.try_emplace(request.availability_zone, state{request.version, now});
    // A request that was removed and written again is a new evacuation, also if the removal was not seen.
    if (added || entry->second.version != request.version) {
      entry->second = {request.version, now};
      changes.push_back({request.availability_zone, request.version, true});
    }
    m_restored.erase(request.availability_zone);
  }
  std::erase_if(m_restored, [now](const auto& entry) { return now - entry.second > k_restoration_memory; });
  return changes;
}

std::optional<time_point> evacuation::restored_at(std::string_view availability_zone, time_point now) const {
  const auto found = m_restored.find(availability_zone);
  if (found == m_restored.end() || now - found->second > k_restoration_memory) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace cuminpath::gateway
