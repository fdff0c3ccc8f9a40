// Runs code on a small stack, so that recursion over nested input overflows it.
#pragma once

#include <pthread.h>

#include <cstddef>
#include <functional>

namespace cuminpath::support {

// Less than the main thread of a process has, more than the stacks that libraries set for threads of theirs.
constexpr std::size_t k_small_stack_bytes = 256U << 10U;

// Runs `work` on a thread with that stack and waits for its end. Returns false if there is no such thread.
inline bool run_on_small_stack(std::function<void()> work) {
  pthread_attr_t attributes;
  pthread_t thread{};
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, k_small_stack_bytes);
  const auto entry = [](void* argument) -> void* {
    (*static_cast<std::function<void()>*>(argument))();
    return nullptr;
  };
  const bool started = pthread_create(&thread, &attributes, entry, &work) == 0;
  pthread_attr_destroy(&attributes);
  return started && pthread_join(thread, nullptr) == 0;
}

}  // namespace cuminpath::support
