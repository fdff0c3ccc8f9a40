// Events of one process in a bounded ring, ordered by a hybrid logical clock so that the rings of all
// processes merge in causal order.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/json.h"

namespace cuminpath::telemetry {

// Milliseconds since the Unix epoch in the upper 48 bits, a counter in the lower 16. A receiver advances past
// the sender's time, so an effect never orders before its cause.
class hybrid_clock {
public:
  std::uint64_t tick(std::uint64_t wall_ms);
  std::uint64_t receive(std::uint64_t wall_ms, std::uint64_t remote);
  [[nodiscard]] std::uint64_t now() const { return m_time; }

private:
  std::uint64_t m_time = 0;
};

struct event {
  std::uint64_t time = 0;  // Hybrid logical time.
  std::string process;
  std::string kind;  // Like request_refused, switch_armed, configuration_applied.
  std::string detail;
};

class timeline {
public:
  timeline(std::string process, std::size_t capacity);
  void record(std::uint64_t time, std::string_view kind, std::string detail);
  // Oldest first.
  [[nodiscard]] std::vector<event> events() const;
  [[nodiscard]] json to_json() const;

private:
  std::string m_process;
  std::size_t m_capacity;
  std::size_t m_next = 0;
  std::vector<event> m_ring;
};

// Merges events of several processes by time, then process.
std::vector<event> merge(std::span<const std::vector<event>> rings);

}  // namespace cuminpath::telemetry
