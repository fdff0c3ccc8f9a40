// Invariant checks. They are also active in release builds because a process with a broken invariant must not
// continue.
#pragma once

namespace cuminpath {

[[noreturn]] void fail_assertion(const char* expression, const char* file, int line);

}  // namespace cuminpath

#define CUMINPATH_ASSERT(expression) \
  ((expression) ? static_cast<void>(0) : ::cuminpath::fail_assertion(#expression, __FILE__, __LINE__))
