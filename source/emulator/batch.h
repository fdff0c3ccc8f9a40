// Continuous batching of an emulated engine: streams wait for a slot by priority, and each step gives every
// running stream one token. No sockets or timers; the present time is an argument.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace cuminpath::emulator {

// The token at an index of the continuation of a prompt. The same on every engine, so that a stream that is
// resumed elsewhere continues the same text.
std::string token_text(std::string_view prompt, std::uint32_t index);
// The tokens before `end`, joined.
std::string text_before(std::string_view prompt, std::uint32_t end);

struct stream_order {
  std::string prompt;
  std::uint32_t first_index = 0;
  std::uint32_t end_index = 16;  // One past the last token.
  std::uint32_t priority = 0;    // 0 is the most urgent.
  duration prefill{0};           // From the slot to the first token.
};

using stream_id = std::uint64_t;

struct emitted_token {
  stream_id stream = 0;
  std::uint32_t index = 0;
  std::string text;
  bool last = false;
};

class batch {
public:
  explicit batch(std::uint32_t slots) : m_slots(slots) {}

  // `first_index` must be below `end_index`.
  stream_id add(time_point now, stream_order order);
  void remove(time_point now, stream_id id);
  // Gives each running stream whose prefill is over one token. Finished streams leave their slot.
  void step(time_point now, std::vector<emitted_token>& tokens);
  // Streams that got a slot since the last call.
  std::vector<stream_id> take_started();

  [[nodiscard]] std::uint32_t slots() const { return m_slots; }
  [[nodiscard]] std::size_t running() const { return m_running.size(); }
  [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

private:
  struct running_stream {
    stream_order order;
    std::uint32_t next_index = 0;
    time_point ready_at;
  };
  using queue_key = std::pair<std::uint32_t, stream_id>;  // Priority, then order of arrival.

  void fill_slots(time_point now);

  std::uint32_t m_slots;
  stream_id m_last_id = 0;
  std::map<queue_key, stream_order> m_waiting;
  std::map<stream_id, running_stream> m_running;
  std::vector<stream_id> m_started;
};

}  // namespace cuminpath::emulator
