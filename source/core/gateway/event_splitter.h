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

class event_splitter {
public:
  struct event {
    std::string_view bytes;  // Including the empty line that ends the event.
    std::string_view id;     // Value of the last `id` line; empty if there is none.
    bool has_data = false;   // Clients ignore an event without a `data` line, for example a comment.
  };

  // Calls `on_event` for each event that `bytes` completes, in order. The views are valid during the call
  // only.
  void feed(std::string_view bytes, const std::function<void(const event&)>& on_event);

  // Returns the number of buffered bytes of an incomplete event.
  [[nodiscard]] std::size_t pending() const { return m_pending.size(); }
  void reset() { m_pending.clear(); }

private:
  std::string m_pending;
};

// Returns the number that an id consists of; absent if it is not a decimal number.
[[nodiscard]] std::optional<std::uint64_t> parse_event_id(std::string_view id);

// Returns true if both ids are decimal numbers and `id` is one higher than `last`.
[[nodiscard]] bool is_next_event_id(std::string_view last, std::string_view id);

}  // namespace cuminpath::gateway
