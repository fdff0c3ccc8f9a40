// Cache of prompt prefixes in an emulated engine, with limited capacity. Changes of the cache are published
// as events, with a delay and with gaps, like those of a real engine.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/json.h"
#include "core/common/time.h"

namespace cuminpath::emulator {

struct prefix_cache_options {
  std::size_t capacity = 64;                 // Number of prefixes.
  milliseconds event_lag{500};               // Delay until an event can be read.
  std::uint32_t dropped_event_interval = 7;  // One in this many events is never published; 0: all are.
};

// Returns the identifier of a prompt's prefix: xxHash of its first 256 bytes, as 16 hexadecimal digits.
std::string prefix_of(std::string_view prompt);

// An LRU cache of prompt prefixes.
class prefix_cache {
public:
  explicit prefix_cache(prefix_cache_options options) : m_options(options) {}

  // Adds the prefix of a prompt or marks it as recently used. Returns true if it was cached already.
  bool touch(time_point now, std::string_view prompt);
  // Returns the published events after a sequence number: [{"seq","kind","prefix"}].
  [[nodiscard]] json events_after(time_point now, std::uint64_t sequence) const;
  void set_event_lag(milliseconds lag) { m_options.event_lag = lag; }

private:
  struct event {
    std::uint64_t sequence = 0;
    time_point at;
    const char* kind = "";
    std::string prefix;
  };

  void publish(time_point now, const char* kind, const std::string& prefix);

  prefix_cache_options m_options;
  std::list<std::string> m_prefixes;  // Most recently used first.
  std::deque<event> m_events;
  std::uint64_t m_last_sequence = 0;
};

}  // namespace cuminpath::emulator
