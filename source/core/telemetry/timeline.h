// Records the events of one process in a bounded ring. A hybrid logical clock orders them, so that the rings
// of all processes can be merged in causal order.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/json.h"

namespace cuminpath::telemetry {

// Hybrid logical clock: milliseconds since the Unix epoch in the upper 48 bits, a counter in the lower 16. A
// receiver advances past the sender's time, so that an effect is never ordered before its cause.
class hybrid_clock {
public:
  // Advances the clock for a local event.
  std::uint64_t tick(std::uint64_t wall_ms);
  // Advances the clock for a message that was sent at the time `remote`.
  std::uint64_t receive(std::uint64_t wall_ms, std::uint64_t remote);
  [[nodiscard]] std::uint64_t now() const { return m_time; }

private:
  std::uint64_t m_time = 0;
};

struct event {
  std::uint64_t time = 0;  // Hybrid logical time.
  std::string process;
  std::string kind;  // For example request_refused, switch_armed, configuration_applied.
  std::string detail;
};

class timeline {
public:
  timeline(std::string process, std::size_t capacity);
  void record(std::uint64_t time, std::string_view kind, std::string detail);
  // Returns the events, oldest first.
  [[nodiscard]] std::vector<event> events() const;
  [[nodiscard]] json to_json() const;

private:
  std::string m_process;
  std::size_t m_capacity;
  std::size_t m_next = 0;
  std::vector<event> m_ring;
};

// Merges the events of several processes in order of time, then process.
std::vector<event> merge(std::span<const std::vector<event>> rings);

}  // namespace cuminpath::telemetry
