#include "core/proxy/response_buffers.h"

#include <gtest/gtest.h>

#include <string>

namespace cuminpath::proxy {
namespace {

TEST(response_buffers, gives_up_the_largest_until_the_others_are_within_the_limit) {
  response_buffers buffers(100);
  std::string given_up;
  const auto begin = [&](const char* owner) {
    buffers.begin(owner, [&given_up, owner] { given_up += owner; });
  };
  const char* const owners[] = {"a", "b", "c", "d"};
  for (const char* owner : owners) {
    begin(owner);
  }
  buffers.add(owners[0], 40);
  buffers.add(owners[1], 50);
  buffers.add(owners[2], 10);
  buffers.enforce_limit();
  EXPECT_EQ(given_up, "");
  buffers.add(owners[3], 60);
  buffers.enforce_limit();
  EXPECT_EQ(given_up, "d");
  buffers.add(owners[2], 100);
  buffers.enforce_limit();
  EXPECT_EQ(given_up, "dc");
  EXPECT_EQ(buffers.bytes(), 90U);
  buffers.release(owners[0]);
  buffers.release(owners[0]);
  buffers.release(owners[2]);
  EXPECT_EQ(buffers.bytes(), 50U);
}

}  // namespace
}  // namespace cuminpath::proxy
