#include "core/gateway/evacuation.h"

#include <algorithm>
#include <utility>

namespace cuminpath::gateway {

namespace {

bool lists(const evacuation_list& listed, std::string_view availability_zone) {
  return std::any_of(listed.requests.begin(), listed.requests.end(),
                     [&](const auto& request) { return request.availability_zone == availability_zone; });
}

}  // namespace

std::vector<evacuation::change> evacuation::apply(const evacuation_list& listed, time_point now) {
  const bool restored = m_copy.on_list(listed.version, now);
  for (auto& [zone, known] : m_active) {
    if (lists(listed, zone)) {
      continue;
    }
    if (restored) {
      known.ends_at = now + k_operator_rewrite_time;
    } else if (!known.ends_at) {
      known.ends_at = now;
    }
  }
  std::vector<change> changes;
  remove_ended(changes, now);
  m_held_back = {.version = listed.version};
  for (const evacuation_request& request : listed.requests) {
    if (m_restored.contains(request.availability_zone) && may_be_of_copy(request, listed.version.era, now)) {
      m_held_back.requests.push_back(request);
    } else {
      activate(request, changes, now);
    }
  }
  std::erase_if(m_restored, [now](const auto& entry) { return now - entry.second > k_restoration_memory; });
  return changes;
}

std::vector<evacuation::change> evacuation::expire(time_point now) {
  std::vector<change> changes;
  remove_ended(changes, now);
  std::erase_if(m_held_back.requests, [&](const evacuation_request& request) {
    if (may_be_of_copy(request, m_held_back.version.era, now)) {
      return false;
    }
    activate(request, changes, now);
    return true;
  });
  return changes;
}

bool evacuation::may_be_of_copy(const evacuation_request& request, std::uint64_t era, time_point now) const {
  return m_copy.may_hold({era, request.version}, k_operator_rewrite_time, now);
}

void evacuation::activate(const evacuation_request& request, std::vector<change>& changes, time_point now) {
  const auto [entry, added] = m_active.try_emplace(request.availability_zone, state{request.version, now});
  state& known = entry->second;
  if (std::exchange(known.ends_at, std::nullopt)) {
    known.version = request.version;  // The row that the copy lacked has been written again.
  } else if (added || known.version != request.version) {
    // A request that was removed and written again is a new evacuation, also if the removal was not seen.
    known = {request.version, now};
    changes.push_back({request.availability_zone, request.version, true});
  }
  m_restored.erase(request.availability_zone);
}

void evacuation::remove_ended(std::vector<change>& changes, time_point now) {
  std::erase_if(m_active, [&](const auto& entry) {
    const auto& [availability_zone, known] = entry;
    if (!known.ends_at || now < *known.ends_at) {
      return false;
    }
    changes.push_back({availability_zone, known.version, false});
    m_restored.insert_or_assign(availability_zone, now);
    return true;
  });
}

std::optional<time_point> evacuation::restored_at(std::string_view availability_zone, time_point now) const {
  const auto found = m_restored.find(availability_zone);
  if (found == m_restored.end() || now - found->second > k_restoration_memory) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace cuminpath::gateway
