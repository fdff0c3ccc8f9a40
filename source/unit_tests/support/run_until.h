// Waits for a condition in tests that use real sockets.
#pragma once

#include <asio/io_context.hpp>

#include "core/common/time.h"

namespace cuminpath::support {

// Runs the io_context until the condition is true or ten seconds have passed. Returns the condition.
template <class condition>
bool run_until(asio::io_context& context, condition is_met) {
  constexpr seconds k_timeout{10};
  const auto deadline = clock::now() + k_timeout;
  while (!is_met() && clock::now() < deadline) {
    context.restart();
    context.run_for(milliseconds(10));
  }
  return is_met();
}

}  // namespace cuminpath::support
