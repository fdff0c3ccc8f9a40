// Waits for a condition in tests that use real sockets.
#pragma once

#include <asio/io_context.hpp>

#include "core/common/time.h"

namespace cuminpath::support {

// Runs the io_context until the condition holds or ten seconds have passed. Returns whether it holds.
template <class condition>
bool run_until(asio::io_context& context, condition holds) {
  constexpr seconds k_bound{10};
  const auto deadline = clock::now() + k_bound;
  while (!holds() && clock::now() < deadline) {
    context.restart();
    context.run_for(milliseconds(10));
  }
  return holds();
}

}  // namespace cuminpath::support
