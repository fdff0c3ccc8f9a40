#include "core/membership/event_queue.h"

#include <algorithm>

namespace cuminpath::membership {
namespace {

// Each event is sent in this many heartbeats and replies. This covers two rounds of the 13 peers that an
// entry has with 11 availability zones.
constexpr unsigned k_max_transmissions = 26;
// The failure of a rack affects some tens of hosts. Older events beyond this limit are dropped; the peers of
// the affected hosts announce them again.
constexpr std::size_t k_max_queued_events = 256;

}  // namespace

void event_queue::add(wire::member_event event) {
  std::erase_if(m_events, [&](const auto& queued) { return queued.event.name == event.name; });
  m_events.push_front({std::move(event)});
  if (m_events.size() > k_max_queued_events) {
    m_events.pop_back();
  }
}

std::vector<wire::member_event> event_queue::take(std::size_t limit) {
  // The queue is sorted by the number of transmissions: events that were just sent move behind all events
  // that were sent less often.
  std::vector<wire::member_event> taken;
  std::vector<queued_event> sent;
  while (taken.size() < limit && !m_events.empty()) {
    auto queued = std::move(m_events.front());
    m_events.pop_front();
    taken.push_back(queued.event);
    if (++queued.transmissions < k_max_transmissions) {
      sent.push_back(std::move(queued));
    }
  }
  for (auto& queued : sent) {
    const auto position =
        std::upper_bound(m_events.begin(), m_events.end(), queued.transmissions,
                         [](unsigned count, const auto& other) { return count < other.transmissions; });
    m_events.insert(position, std::move(queued));
  }
  return taken;
}

}  // namespace cuminpath::membership
