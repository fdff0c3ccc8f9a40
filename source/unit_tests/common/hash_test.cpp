#include "core/common/hash.h"

#include <gtest/gtest.h>

namespace cuminpath {
namespace {

// Guards against a digest that differs from the published SHA-256 test vector.
TEST(hash, sha256_matches_the_test_vector) {
  EXPECT_EQ(sha256_hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against processes that disagree on the rendezvous order because a hash depends on the process.
TEST(hash, rendezvous_weight_is_fixed) {
  EXPECT_EQ(rendezvous_weight("model", "upstream-1"), rendezvous_weight("model", "upstream-1"));
  EXPECT_NE(rendezvous_weight("model", "upstream-1"), rendezvous_weight("model", "upstream-2"));
}

}  // namespace
}  // namespace cuminpath
