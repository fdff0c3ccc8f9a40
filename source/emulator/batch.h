// Continuous batching of an emulated engine. Streams wait for a slot in order of priority, and each step
// emits one token for every running stream. Uses no sockets or timers; the current time is passed as an
// argument.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace cuminpath::emulator {

// Returns the token at an index of the continuation of a prompt. The token is the same on every engine, so
// that a stream that is resumed on another engine continues the same text.
std::string token_text(std::string_view prompt, std::uint32_t index);
// Returns the concatenated tokens of the continuation before index `end`.
std::string text_before(std::string_view prompt, std::uint32_t end);

// Parameters of a stream that is added to a batch.
struct stream_parameters {
  std::string prompt;
  std::uint32_t first_index = 0;
  std::uint32_t end_index = 16;  // One past the last token.
  std::uint32_t priority = 0;    // 0 is the most urgent.
  duration prefill{0};           // Time from getting a slot to the first token.
};

using stream_id = std::uint64_t;

// A token that a step generated for a stream.
struct emitted_token {
  stream_id stream = 0;
  std::uint32_t index = 0;
  std::string text;
  bool last = false;
};

// The running and waiting streams of an engine with a fixed number of slots.
class batch {
public:
  explicit batch(std::uint32_t slots) : m_slots(slots) {}

  // Adds a stream, which starts as soon as a slot is free. `first_index` must be below `end_index`.
  stream_id add(time_point now, stream_parameters parameters);
  // Removes a running or waiting stream; its slot goes to the next waiting stream.
  void remove(time_point now, stream_id id);
  // Emits one token for each running stream whose prefill has ended. Streams that end free their slots.
  void step(time_point now, std::vector<emitted_token>& tokens);
  // Returns the streams that got a slot since the last call.
  std::vector<stream_id> take_started();

  [[nodiscard]] std::uint32_t slots() const { return m_slots; }
  [[nodiscard]] std::size_t running() const { return m_running.size(); }
  [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

private:
  struct running_stream {
    stream_parameters parameters;
    std::uint32_t next_index = 0;
    time_point ready_at;
  };
  using queue_key = std::pair<std::uint32_t, stream_id>;  // Priority, then id (ids ascend by arrival).

  void fill_slots(time_point now);

  std::uint32_t m_slots;
  stream_id m_last_id = 0;
  std::map<queue_key, stream_parameters> m_waiting;
  std::map<stream_id, running_stream> m_running;
  std::vector<stream_id> m_started;
};

}  // namespace cuminpath::emulator
