#include "core/common/assert.h"

#include <cstdio>
#include <cstdlib>

namespace cuminpath {

void fail_assertion(const char* expression, const char* file, int line) {
  std::fprintf(stderr,
               "{\"level\":\"fatal\",\"message\":\"broken "
               "invariant\",\"expression\":\"%s\",\"file\":\"%s\",\"line\":%d}\n",
               expression, file, line);
  std::abort();
}

}  // namespace cuminpath
