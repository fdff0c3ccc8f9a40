// Prompt prefixes that an emulated engine holds in limited memory, and the events that it publishes about
// them: late, and with gaps.
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
  std::size_t capacity = 64;    // Prefixes.
  milliseconds event_lag{500};  // Until an event can be read.
  std::uint32_t gap_every = 7;  // One in so many events is never published; 0: none.
};

// Identifies the prefix of a prompt: xxHash of its first 256 bytes, as 16 hexadecimal digits.
std::string prefix_of(std::string_view prompt);

class prefix_cache {
public:
  explicit prefix_cache(prefix_cache_options options) : m_options(options) {}

  // Returns whether the prefix was held, and holds it from now on.
  bool touch(time_point now, std::string_view prompt);
  // Published events after a sequence number: [{"seq","kind","prefix"}].
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
  std::list<std::string> m_held;  // Most recently used first.
  std::deque<event> m_events;
  std::uint64_t m_last_sequence = 0;
};

}  // namespace cuminpath::emulator
