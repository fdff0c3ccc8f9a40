#include "core/agent/load_subscriptions.h"

#include <algorithm>

namespace cuminpath::agent {
namespace {

// An agent serves the entries whose subset it is in: about 31 at the scale of the design (1,200 entries, 13
// models, subsets of 24, 12,000 upstreams).
constexpr std::size_t k_max_subscribers = 4096;
// Entries renew far more often; a longer lease would keep reports going to an entry that is gone.
constexpr std::chrono::hours k_max_lease{1};
// The suspicion timeout of the design: renewals that are late by less are no sign of a dead entry.
constexpr seconds k_silence{2};

}  // namespace

bool load_subscriptions::subscribe(time_point now, std::string_view peer_address, duration lease) {
  const std::string peer(peer_address);
  if (!m_subscribers.contains(peer) && m_subscribers.size() >= k_max_subscribers) {
    return false;
  }
  const auto [found, added] = m_subscribers.try_emplace(peer);
  if (added) {
    found->second.next_report = now;  // A new entry learns the load at once.
  }
  found->second.lease_end = now + std::min<duration>(lease, k_max_lease);
  found->second.last_message = now;
  return true;
}

void load_subscriptions::on_message(time_point now, std::string_view peer_address) {
  if (const auto found = m_subscribers.find(std::string(peer_address)); found != m_subscribers.end()) {
    found->second.last_message = now;
  }
}

void load_subscriptions::remove(std::string_view peer_address) {
  m_subscribers.erase(std::string(peer_address));
}

void load_subscriptions::expedite() {
  for (auto& [peer, value] : m_subscribers) {
    value.next_report = time_point::min();
  }
}

void load_subscriptions::due(time_point now, std::vector<std::string>& peers) {
  for (auto& [peer, value] : m_subscribers) {
    if (value.next_report <= now && value.lease_end > now) {
      value.next_report = now + k_load_interval;
      peers.push_back(peer);
    }
  }
}

void load_subscriptions::lapsed(time_point now, std::vector<std::string>& peers) {
  std::erase_if(m_subscribers, [&](const auto& item) {
    const auto& [peer, value] = item;
    const bool gone = value.lease_end + k_silence <= now && value.last_message + k_silence <= now;
    if (gone) {
      peers.push_back(peer);
    }
    return gone;
  });
}

}  // namespace cuminpath::agent
