#include "core/agent/load_subscriptions.h"

#include <algorithm>

namespace cuminpath::agent {
namespace {

// The subscribers of an agent are the entries that have it in their subset: about 31 at the scale of the
// design (1,200 entries, 13 models, subsets of 24, 12,000 upstreams).
constexpr std::size_t k_max_subscribers = 4096;
// Entries renew their leases far more often. With a longer lease, reports would continue to go to an entry
// that has ended.
constexpr std::chrono::hours k_max_lease{1};
// The suspicion timeout of the design. A renewal that is late by less does not mean that the entry has
// failed.
constexpr seconds k_suspicion_timeout{2};

}  // namespace

bool load_subscriptions::subscribe(time_point now, std::string_view peer_address, duration lease) {
  const std::string peer(peer_address);
  if (!m_subscribers.contains(peer) && m_subscribers.size() >= k_max_subscribers) {
    return false;
  }
  const auto [found, added] = m_subscribers.try_emplace(peer);
  if (added) {
    found->second.next_report = now;  // A new subscriber receives its first report at once.
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

void load_subscriptions::make_all_due() {
  for (auto& [peer, value] : m_subscribers) {
    value.next_report = time_point::min();
  }
}

void load_subscriptions::take_due(time_point now, std::vector<std::string>& peers) {
  for (auto& [peer, value] : m_subscribers) {
    if (value.next_report <= now && value.lease_end > now) {
      value.next_report = now + k_load_report_interval;
      peers.push_back(peer);
    }
  }
}

void load_subscriptions::remove_expired(time_point now, std::vector<std::string>& peers) {
  std::erase_if(m_subscribers, [&](const auto& item) {
    const auto& [peer, value] = item;
    const bool expired =
        value.lease_end + k_suspicion_timeout <= now && value.last_message + k_suspicion_timeout <= now;
    if (expired) {
      peers.push_back(peer);
    }
    return expired;
  });
}

}  // namespace cuminpath::agent
