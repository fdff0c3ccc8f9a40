// A queue of membership events to disseminate. Each event is sent in a bounded number of heartbeats.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "core/wire/messages.h"

namespace cuminpath::membership {

class event_queue {
public:
  // Adds an event. It replaces an older event about the same process.
  void add(wire::member_event event);
  // Returns the events for the next heartbeat. Those that have been sent least often come first.
  std::vector<wire::member_event> take(std::size_t limit);

private:
  struct queued_event {
    wire::member_event event;
    unsigned transmissions = 0;
  };
  std::deque<queued_event> m_events;
};

}  // namespace cuminpath::membership
