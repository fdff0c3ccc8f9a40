#include "asio_macros.h"

#include <asio/io_context.hpp>

namespace cuminpath::net {

bool aligned_alloc_with_asio_first() {
#ifdef ASIO_HAS_STD_ALIGNED_ALLOC
  return true;
#else
  return false;
#endif
}

}  // namespace cuminpath::net
