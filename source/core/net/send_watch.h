// Finds out whether the peer of a connection takes what it is sent.
#pragma once

#include <cstdint>
#include <optional>

#include "core/common/time.h"

namespace cuminpath::net {

// A peer that has acknowledged nothing for this long while segments were repeated is gone; long enough for
// several retransmissions.
constexpr milliseconds k_max_silence{1500};
// The same for a probe of a closed window; as long as the interval of keep-alive probes.
constexpr milliseconds k_max_probe_silence{1000};
// Time for which a peer that is there may take nothing. A receiver opens a closed window once a sixteenth of
// its buffer is free; with one of 6 MB that is read at 32 KB a second, this takes 12 s.
constexpr milliseconds k_max_unread_time{15000};

// What the kernel knows of the sending direction of a connection.
struct send_state {
  std::uint64_t acknowledged_bytes = 0;   // Since the connection was established.
  std::uint32_t unsent_bytes = 0;         // Wait for the peer's window or for acknowledgements.
  std::uint32_t segments_in_flight = 0;   // Sent and not acknowledged.
  std::uint32_t retransmissions = 0;      // In a row, of the oldest segment in flight.
  std::uint32_t unanswered_probes = 0;    // Of a closed window.
  milliseconds since_acknowledgement{0};  // Of any kind, also one of nothing new.
};

// Returns the state of a TCP socket; absent if the kernel does not tell (Linux before 4.6).
std::optional<send_state> read_send_state(int handle);

enum class send_verdict : std::uint8_t {
  done,    // Everything has been acknowledged.
  waits,   // The peer may still take the rest.
  unread,  // The peer is there, but has taken nothing for k_max_unread_time.
  gone,    // The peer no longer answers.
};

// Judges the sending direction of one connection by samples of its state. Has no socket and no timer.
class send_watch {
public:
  // Records that bytes are handed to the socket. The watch goes on until a sample finds them acknowledged.
  void on_sent(time_point now);
  void stop() { *this = {}; }
  [[nodiscard]] bool active() const { return m_due != time_point::max(); }
  // Returns when to take the next sample; the end of time if none is needed.
  [[nodiscard]] time_point due() const { return m_due; }
  send_verdict judge(const send_state& state, time_point now);
  // Takes a sample of that socket and judges it. A state that the kernel does not tell counts as done.
  send_verdict sample(int handle, time_point now);

private:
  time_point m_due = time_point::max();
  time_point m_since{};                               // Since then something has not been acknowledged.
  time_point m_last_progress{};                       // Bytes were acknowledged, or there were none before.
  std::optional<std::uint64_t> m_acknowledged_bytes;  // At the last sample.
  std::optional<time_point> m_probe_since;            // A probe was first seen without its answer.
};

}  // namespace cuminpath::net
