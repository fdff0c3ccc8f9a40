#include "core/gateway/mirror.h"

#include <gtest/gtest.h>

#include "unit_tests/support/nested_input.h"
#include "unit_tests/support/small_stack.h"

namespace cuminpath::gateway {
namespace {

TEST(mirror, ignores_changes_and_reads_older_than_its_content) {
  mirror target;
  target.replace("a", {{"k", {10, "new"}}}, 12);
  target.put("a", "k", {9, "old"});
  target.replace("a", {{"k", {5, "stale read"}}}, 8);
  EXPECT_EQ(target.collection("a").at("k").bytes, "new");
  target.put("a", "k", {13, "newer"});
  EXPECT_EQ(target.collection("a").at("k").bytes, "newer");
  EXPECT_EQ(target.content_version(), 13U);
}

TEST(mirror, ignores_removals_older_than_the_row) {
  mirror target;
  target.replace("a", {}, 5);
  target.put("a", "k", {9, "value"});
  target.remove("a", "k", 7);
  EXPECT_EQ(target.collection("a").size(), 1U);
  target.remove("a", "k", 11);
  EXPECT_TRUE(target.collection("a").empty());
  EXPECT_EQ(target.content_version(), 11U);
}

TEST(mirror, a_full_read_that_only_removes_rows_counts_as_a_change) {
  mirror target;
  target.replace("a", {{"k", {10, "value"}}}, 12);
  target.replace("a", {}, 20);
  EXPECT_EQ(target.content_version(), 20U);
}

TEST(mirror, applies_newer_collections_of_another_mirror) {
  mirror behind;
  behind.replace("a", {{"k", {1, "old"}}}, 2);
  behind.replace("b", {{"k", {30, "own"}}}, 31);
  mirror ahead;
  ahead.replace("a", {{"k", {20, "new"}}}, 21);
  ahead.replace("b", {{"k", {7, "older"}}}, 8);
  const auto merged = behind.merge(ahead.changes_since({}));
  ASSERT_TRUE(merged);
  EXPECT_TRUE(merged.value());
  EXPECT_EQ(behind.collection("a").at("k").bytes, "new");
  EXPECT_EQ(behind.collection("b").at("k").bytes, "own");
  EXPECT_FALSE(behind.merge(ahead.changes_since({})).value());
}

TEST(mirror, sends_only_the_changes) {
  mirror ahead;
  ahead.replace("a", {{"large", {1, std::string(10000, 'x')}}, {"gone", {2, "value"}}}, 5);
  mirror behind;
  ASSERT_TRUE(behind.merge(ahead.changes_since(behind.known_versions())));
  ahead.put("a", "new", {6, "value"});
  ahead.remove("a", "gone", 7);
  ahead.advance("a", 7);
  const std::string changes = ahead.changes_since(behind.known_versions());
  EXPECT_LT(changes.size(), 200U);
  ASSERT_TRUE(behind.merge(changes));
  EXPECT_EQ(behind.collection("a"), ahead.collection("a"));
  EXPECT_EQ(behind.version("a"), 7U);
  EXPECT_EQ(behind.content_version(), ahead.content_version());
}

// Guards against removed rows that stay in the mirror of another gateway: a gateway that has read the table
// twice does not know rows that were added and removed in between.
TEST(mirror, sends_the_whole_collection_if_the_receiver_may_hold_removed_rows) {
  mirror behind;
  behind.replace("a", {{"came and went", {6, "value"}}}, 6);
  mirror ahead;
  ahead.replace("a", {{"k", {1, "value"}}}, 5);
  ahead.replace("a", {{"k", {1, "value"}}}, 9);
  ASSERT_TRUE(behind.merge(ahead.changes_since(behind.known_versions())));
  EXPECT_EQ(behind.collection("a"), ahead.collection("a"));
}

// Guards against a removal that is not passed on because the number of stored removals is limited.
TEST(mirror, sends_the_whole_collection_if_the_receiver_lags_behind_the_stored_removals) {
  constexpr std::uint64_t k_rows = 1000;
  mirror ahead;
  mirror::documents rows;
  for (std::uint64_t i = 0; i < k_rows; ++i) {
    rows.emplace(std::to_string(i), document{1, "value"});
  }
  ahead.replace("a", rows, 5);
  mirror behind;
  ASSERT_TRUE(behind.merge(ahead.changes_since({})));
  for (std::uint64_t i = 0; i < k_rows; ++i) {
    ahead.remove("a", std::to_string(i), 6 + i);
    ahead.advance("a", 6 + i);
  }
  ASSERT_TRUE(behind.merge(ahead.changes_since(behind.known_versions())));
  EXPECT_TRUE(behind.collection("a").empty());
}

TEST(mirror, forwards_changes_received_from_another_mirror) {
  mirror first;
  first.replace("a", {{"gone", {1, "value"}}}, 2);
  mirror second;
  mirror third;
  ASSERT_TRUE(second.merge(first.changes_since({})));
  ASSERT_TRUE(third.merge(second.changes_since({})));
  first.remove("a", "gone", 3);
  first.advance("a", 3);
  ASSERT_TRUE(second.merge(first.changes_since(second.known_versions())));
  ASSERT_TRUE(third.merge(second.changes_since(third.known_versions())));
  EXPECT_TRUE(third.collection("a").empty());
}

// Two gateways assign different versions to a removal: that of the change, or that of the read that did not
// contain the row.
TEST(mirror, announces_a_change_that_is_read_after_a_newer_one_of_another_collection) {
  mirror reader;
  reader.replace("upstreams", {{"u", {50, "ready"}}}, 60);
  reader.replace("configuration", {{"c", {40, "old"}}}, 60);
  mirror other;
  ASSERT_TRUE(other.merge(reader.changes_since({})));
  reader.put("upstreams", "u", {63, "leaving"});
  ASSERT_TRUE(other.merge(reader.changes_since(other.known_versions())));
  reader.put("configuration", "c", {62, "new"});
  EXPECT_GT(reader.content_version(), other.content_version());
}

TEST(mirror, agrees_on_the_newest_change_with_a_mirror_that_has_read_the_whole_table) {
  mirror by_changes;
  by_changes.replace("a", {{"gone", {1, "value"}}}, 2);
  by_changes.remove("a", "gone", 3);
  by_changes.advance("a", 9);
  mirror by_read;
  by_read.replace("a", {{"gone", {1, "value"}}}, 2);
  by_read.replace("a", {}, 8);
  ASSERT_GT(by_read.content_version(), by_changes.content_version());
  const auto merged = by_changes.merge(by_read.changes_since(by_changes.known_versions()));
  ASSERT_TRUE(merged);
  EXPECT_FALSE(merged.value());
  EXPECT_EQ(by_changes.content_version(), by_read.content_version());
}

TEST(mirror, versions_survive_encoding_and_decoding) {
  const collection_versions sent{{"a", 3}, {"b", 1U << 20U}};
  const auto received = decode_versions(encode_versions(sent));
  ASSERT_TRUE(received);
  EXPECT_EQ(received.value(), sent);
  EXPECT_TRUE(decode_versions("").value().empty());
  EXPECT_FALSE(decode_versions("\x93\x01\x02\x03"));
  EXPECT_FALSE(decode_versions("\x81\xa1\x61\xa1\x62"));
}

// Decoding a body of a few hundred kilobytes exhausted the stack.
TEST(mirror, rejects_deep_nesting) {
  const std::string nested(1U << 20U, '\x91');
  EXPECT_FALSE(mirror{}.merge(nested));
  EXPECT_FALSE(decode_versions(nested));
}

TEST(mirror, rejects_malformed_mirrors) {
  mirror target;
  EXPECT_FALSE(target.merge(""));
  EXPECT_FALSE(target.merge("\x93\x01\x02\x03"));
  EXPECT_FALSE(target.merge("\x81\xa1\x61\x01"));
}

TEST(mirror, deeply_nested_changes_do_not_exhaust_the_stack) {
  ASSERT_TRUE(support::run_on_small_stack([] {
    for (const std::size_t depth : support::k_nesting_depths) {
      for (const std::string& bytes : support::nested_msgpack(depth)) {
        mirror target;
        EXPECT_FALSE(target.merge(bytes)) << depth;
        EXPECT_FALSE(decode_versions(bytes)) << depth;
      }
    }
  }));
}

}  // namespace
}  // namespace cuminpath::gateway
