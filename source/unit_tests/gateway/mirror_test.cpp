#include "core/gateway/mirror.h"

#include <gtest/gtest.h>

namespace cuminpath::gateway {
namespace {

TEST(mirror, moves_forward_only) {
  mirror held;
  held.replace("a", {{"k", {10, "new"}}}, 12);
  held.put("a", "k", {9, "old"});
  held.replace("a", {{"k", {5, "stale read"}}}, 8);
  EXPECT_EQ(held.collection("a").at("k").bytes, "new");
  held.put("a", "k", {13, "newer"});
  EXPECT_EQ(held.collection("a").at("k").bytes, "newer");
  EXPECT_EQ(held.content_version(), 13U);
}

TEST(mirror, ignores_removals_that_a_newer_row_has_overtaken) {
  mirror held;
  held.replace("a", {}, 5);
  held.put("a", "k", {9, "value"});
  held.remove("a", "k", 7);
  EXPECT_EQ(held.collection("a").size(), 1U);
  held.remove("a", "k", 11);
  EXPECT_TRUE(held.collection("a").empty());
  EXPECT_EQ(held.content_version(), 11U);
}

TEST(mirror, a_whole_read_that_only_removes_counts_as_a_change) {
  mirror held;
  held.replace("a", {{"k", {10, "value"}}}, 12);
  held.replace("a", {}, 20);
  EXPECT_EQ(held.content_version(), 20U);
}

TEST(mirror, takes_newer_collections_of_another_mirror) {
  mirror behind;
  behind.replace("a", {{"k", {1, "old"}}}, 2);
  behind.replace("b", {{"k", {30, "own"}}}, 31);
  mirror ahead;
  ahead.replace("a", {{"k", {20, "new"}}}, 21);
  ahead.replace("b", {{"k", {7, "older"}}}, 8);
  const auto merged = behind.merge(ahead.snapshot());
  ASSERT_TRUE(merged);
  EXPECT_TRUE(merged.value());
  EXPECT_EQ(behind.collection("a").at("k").bytes, "new");
  EXPECT_EQ(behind.collection("b").at("k").bytes, "own");
  EXPECT_FALSE(behind.merge(ahead.snapshot()).value());
}

TEST(mirror, refuses_bytes_that_are_no_mirror) {
  mirror held;
  EXPECT_FALSE(held.merge(""));
  EXPECT_FALSE(held.merge("\x93\x01\x02\x03"));
  EXPECT_FALSE(held.merge("\x81\xa1\x61\x01"));
}

}  // namespace
}  // namespace cuminpath::gateway
