// Splits a server-sent event stream into complete events, so that a stream that is interrupted in the middle
// of an event can be resumed after the last complete one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cuminpath::gateway {

// Examines each byte once and copies it at most twice, whatever arrives and in reads of any size.
class event_splitter {
public:
  struct event {
    std::string_view bytes;  // Including the empty line that ends the event, and those before the event.
    std::string_view id;     // Value of the last `id` line; empty if there is none.
    bool has_data = false;   // Clients ignore an event without a `data` line, for example a comment.
  };

  // Calls `on_event` for each event that `bytes` completes, in order. The views are valid during the call
  // only.
  void feed(std::string_view bytes, const std::function<void(const event&)>& on_event);

  // Returns the buffered bytes: an incomplete event and the empty lines before it.
  [[nodiscard]] std::string_view pending() const { return m_pending; }
  // Returns true if these are more than empty lines.
  [[nodiscard]] bool inside_event() const;
  // Returns how many bytes have been examined or copied so far, as a measure of the work done.
  [[nodiscard]] std::uint64_t work() const { return m_work; }
  // Forgets an incomplete event. Must not be called from `on_event`.
  void reset();

private:
  // What the complete lines of an incomplete event say. Positions are relative to its first byte.
  struct event_summary {
    bool has_lines = false;      // Other than empty ones.
    std::size_t line_start = 0;  // Of the first incomplete line.
    std::size_t id_start = 0;
    std::size_t id_size = 0;
    bool has_data = false;
  };

  // Records what a line that is not empty says. `start` is its position in the event.
  void read_line(std::string_view line, std::size_t start);

  std::string m_pending;  // Start of an incomplete event.
  event_summary m_summary;
  std::uint64_t m_work = 0;
};

// Returns the number that an id consists of; absent if it is not a decimal number.
[[nodiscard]] std::optional<std::uint64_t> parse_event_id(std::string_view id);

// Returns true if both ids are decimal numbers and `id` is one higher than `last`.
[[nodiscard]] bool is_next_event_id(std::string_view last, std::string_view id);

}  // namespace cuminpath::gateway
