#include "asio_macros.h"

#include <gtest/gtest.h>

namespace cuminpath::net {
namespace {

// Guards against handler memory that one translation unit allocates and another frees by another function.
TEST(asio_macros, do_not_depend_on_the_order_of_includes) {
  EXPECT_EQ(aligned_alloc_with_asio_first(), aligned_alloc_with_asio_last());
}

}  // namespace
}  // namespace cuminpath::net
