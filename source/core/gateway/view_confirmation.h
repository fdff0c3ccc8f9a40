// How current a gateway's view of the store is. A source confirms the view if it could know of newer changes
// and has none: the store when it answers, or a gateway that reads the store.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/common/time.h"

namespace cuminpath::gateway {

class view_confirmation {
public:
  // Without a confirmation for this long, a change that the operator has made may be missing. Gateways that
  // read the store report at least every second, and calls that wait for changes end after seconds.
  static constexpr milliseconds k_stale_after{5000};

  struct change {
    bool stale = false;   // False if the view has been confirmed again.
    milliseconds age{0};  // When stale, since the last confirmation; otherwise how long it had been missing.
  };

  explicit view_confirmation(time_point started) : m_confirmed_at(started) {}

  // The view was current at `at`. Ignored if a later time is known.
  void confirm(std::string_view source, time_point at);
  // Time since the last confirmation, or since the start.
  [[nodiscard]] milliseconds age(time_point now) const;
  // Name of the source of the last confirmation; empty if there was none.
  [[nodiscard]] const std::string& source() const { return m_source; }
  // Returns whether the view has become stale or current since the last call.
  std::optional<change> take_change(time_point now);

private:
  time_point m_confirmed_at;
  std::string m_source;
  bool m_stale = false;
  milliseconds m_longest_age{0};  // While stale.
};

}  // namespace cuminpath::gateway
