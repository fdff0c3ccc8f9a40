// Cuts a server-sent event stream into whole events, so that a stream that breaks in the middle of an event
// can be resumed after the last whole one.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace cuminpath::gateway {

class event_splitter {
public:
  struct event {
    std::string_view bytes;  // With the empty line at its end.
    std::string_view id;     // Value of the last `id` line; empty if there is none.
  };

  // Calls `take` for each event that `bytes` completes, in order. The views live as long as the call.
  void feed(std::string_view bytes, const std::function<void(const event&)>& take);

  // Bytes of an event that has not ended.
  [[nodiscard]] std::size_t pending() const { return m_pending.size(); }
  void reset() { m_pending.clear(); }

private:
  std::string m_pending;
};

}  // namespace cuminpath::gateway
