#include "core/gateway/mirror.h"

#include <gtest/gtest.h>

#include "core/common/json.h"
#include "unit_tests/support/nested_input.h"
#include "unit_tests/support/small_stack.h"

namespace cuminpath::gateway {
namespace {

store_version at(std::uint64_t number, std::uint64_t era = 1) {
  return {era, number};
}

TEST(mirror, ignores_changes_and_reads_older_than_its_content) {
  mirror target;
  target.replace("a", {{"k", {at(10), "new"}}}, at(12));
  target.put("a", "k", {at(9), "old"});
  target.replace("a", {{"k", {at(5), "stale read"}}}, at(8));
  EXPECT_EQ(target.collection("a").at("k").bytes, "new");
  target.put("a", "k", {at(13), "newer"});
  EXPECT_EQ(target.collection("a").at("k").bytes, "newer");
  EXPECT_EQ(target.content_version(), 13U);
}

TEST(mirror, ignores_removals_older_than_the_row) {
  mirror target;
  target.replace("a", {}, at(5));
  target.put("a", "k", {at(9), "value"});
  target.remove("a", "k", at(7));
  EXPECT_EQ(target.collection("a").size(), 1U);
  target.remove("a", "k", at(11));
  EXPECT_TRUE(target.collection("a").empty());
  EXPECT_EQ(target.content_version(), 11U);
}

TEST(mirror, a_full_read_that_only_removes_rows_counts_as_a_change) {
  mirror target;
  target.replace("a", {{"k", {at(10), "value"}}}, at(12));
  target.replace("a", {}, at(20));
  EXPECT_EQ(target.content_version(), 20U);
}

TEST(mirror, applies_newer_collections_of_another_mirror) {
  mirror behind;
  behind.replace("a", {{"k", {at(1), "old"}}}, at(2));
  behind.replace("b", {{"k", {at(30), "own"}}}, at(31));
  mirror ahead;
  ahead.replace("a", {{"k", {at(20), "new"}}}, at(21));
  ahead.replace("b", {{"k", {at(7), "older"}}}, at(8));
  const auto merged = behind.merge(ahead.changes_since({}));
  ASSERT_TRUE(merged);
  EXPECT_TRUE(merged.value());
  EXPECT_EQ(behind.collection("a").at("k").bytes, "new");
  EXPECT_EQ(behind.collection("b").at("k").bytes, "own");
  EXPECT_FALSE(behind.merge(ahead.changes_since({})).value());
}

TEST(mirror, sends_only_the_changes) {
  mirror ahead;
  ahead.replace("a", {{"large", {at(1), std::string(10000, 'x')}}, {"gone", {at(2), "value"}}}, at(5));
  mirror behind;
  ASSERT_TRUE(behind.merge(ahead.changes_since(behind.known_versions())));
  ahead.put("a", "new", {at(6), "value"});
  ahead.remove("a", "gone", at(7));
  ahead.advance("a", at(7));
  const std::string changes = ahead.changes_since(behind.known_versions());
  EXPECT_LT(changes.size(), 200U);
  ASSERT_TRUE(behind.merge(changes));
  EXPECT_EQ(behind.collection("a"), ahead.collection("a"));
  EXPECT_EQ(behind.version("a"), at(7));
  EXPECT_EQ(behind.content_version(), ahead.content_version());
}

// Guards against removed rows that stay in the mirror of another gateway: a gateway that has read the table
// twice does not know rows that were added and removed in between.
TEST(mirror, sends_the_whole_collection_if_the_receiver_may_hold_removed_rows) {
  mirror behind;
  behind.replace("a", {{"came and went", {at(6), "value"}}}, at(6));
  mirror ahead;
  ahead.replace("a", {{"k", {at(1), "value"}}}, at(5));
  ahead.replace("a", {{"k", {at(1), "value"}}}, at(9));
  ASSERT_TRUE(behind.merge(ahead.changes_since(behind.known_versions())));
  EXPECT_EQ(behind.collection("a"), ahead.collection("a"));
}

// Guards against a removal that is not passed on because the number of stored removals is limited.
TEST(mirror, sends_the_whole_collection_if_the_receiver_lags_behind_the_stored_removals) {
  constexpr std::uint64_t k_rows = 1000;
  mirror ahead;
  mirror::documents rows;
  for (std::uint64_t i = 0; i < k_rows; ++i) {
    rows.emplace(std::to_string(i), document{at(1), "value"});
  }
  ahead.replace("a", rows, at(5));
  mirror behind;
  ASSERT_TRUE(behind.merge(ahead.changes_since({})));
  for (std::uint64_t i = 0; i < k_rows; ++i) {
    ahead.remove("a", std::to_string(i), at(6 + i));
    ahead.advance("a", at(6 + i));
  }
  ASSERT_TRUE(behind.merge(ahead.changes_since(behind.known_versions())));
  EXPECT_TRUE(behind.collection("a").empty());
}

TEST(mirror, forwards_changes_received_from_another_mirror) {
  mirror first;
  first.replace("a", {{"gone", {at(1), "value"}}}, at(2));
  mirror second;
  mirror third;
  ASSERT_TRUE(second.merge(first.changes_since({})));
  ASSERT_TRUE(third.merge(second.changes_since({})));
  first.remove("a", "gone", at(3));
  first.advance("a", at(3));
  ASSERT_TRUE(second.merge(first.changes_since(second.known_versions())));
  ASSERT_TRUE(third.merge(second.changes_since(third.known_versions())));
  EXPECT_TRUE(third.collection("a").empty());
}

// Two gateways assign different versions to a removal: that of the change, or that of the read that did not
// contain the row.
TEST(mirror, announces_a_change_that_is_read_after_a_newer_one_of_another_collection) {
  mirror reader;
  reader.replace("upstreams", {{"u", {at(50), "ready"}}}, at(60));
  reader.replace("configuration", {{"c", {at(40), "old"}}}, at(60));
  mirror other;
  ASSERT_TRUE(other.merge(reader.changes_since({})));
  reader.put("upstreams", "u", {at(63), "leaving"});
  ASSERT_TRUE(other.merge(reader.changes_since(other.known_versions())));
  reader.put("configuration", "c", {at(62), "new"});
  EXPECT_GT(reader.content_version(), other.content_version());
}

TEST(mirror, agrees_on_the_newest_change_with_a_mirror_that_has_read_the_whole_table) {
  mirror by_changes;
  by_changes.replace("a", {{"gone", {at(1), "value"}}}, at(2));
  by_changes.remove("a", "gone", at(3));
  by_changes.advance("a", at(9));
  mirror by_read;
  by_read.replace("a", {{"gone", {at(1), "value"}}}, at(2));
  by_read.replace("a", {}, at(8));
  ASSERT_GT(by_read.content_version(), by_changes.content_version());
  const auto merged = by_changes.merge(by_read.changes_since(by_changes.known_versions()));
  ASSERT_TRUE(merged);
  EXPECT_FALSE(merged.value());
  EXPECT_EQ(by_changes.content_version(), by_read.content_version());
}

TEST(mirror, versions_survive_encoding_and_decoding) {
  const collection_versions sent{{"a", at(3)}, {"b", at(1U << 20U, 7)}};
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

// Guards against gateways that drop what the store holds after it has come back from an older copy.
TEST(mirror, content_of_a_later_era_is_newer_whatever_its_numbers) {
  mirror target;
  target.replace("a", {{"k", {at(122), "lost"}}, {"gone", {at(7), "value"}}}, at(141));
  EXPECT_TRUE(target.replace("a", {{"k", {at(80, 2), "copy"}}}, at(80, 2)));
  EXPECT_EQ(target.collection("a").at("k").bytes, "copy");
  EXPECT_EQ(target.collection("a").size(), 1U);
  target.put("a", "k", {at(81, 2), "written again"});
  EXPECT_EQ(target.collection("a").at("k").bytes, "written again");
  EXPECT_EQ(target.version("a"), at(80, 2));
  EXPECT_EQ(target.era(), 2U);
}

TEST(mirror, ignores_changes_and_reads_of_another_era_than_its_content) {
  mirror target;
  target.replace("a", {{"k", {at(80, 2), "copy"}}}, at(80, 2));
  EXPECT_FALSE(target.replace("a", {{"k", {at(122), "lost"}}}, at(141)));
  target.put("a", "k", {at(142), "lost"});
  target.remove("a", "k", at(142));
  target.advance("a", at(142));
  target.put("a", "k", {at(70, 3), "without its table"});
  target.advance("a", at(70, 3));
  EXPECT_EQ(target.collection("a").at("k").bytes, "copy");
  EXPECT_EQ(target.version("a"), at(80, 2));
}

TEST(mirror, takes_the_whole_collection_of_a_later_era_from_another_mirror) {
  mirror behind;
  behind.replace("a", {{"k", {at(122), "lost"}}, {"gone", {at(9), "value"}}}, at(141));
  mirror ahead = behind;
  ahead.replace("a", {{"k", {at(80, 2), "copy"}}}, at(80, 2));
  ASSERT_TRUE(behind.merge(ahead.changes_since(behind.known_versions())).value());
  EXPECT_EQ(behind.collection("a"), ahead.collection("a"));
  EXPECT_EQ(behind.version("a"), at(80, 2));
  // From then on, changes suffice.
  ahead.put("a", "new", {at(81, 2), "value"});
  ahead.advance("a", at(81, 2));
  EXPECT_EQ(ahead.changes_since(behind.known_versions()).find("copy"), std::string::npos);
  ASSERT_TRUE(behind.merge(ahead.changes_since(behind.known_versions())).value());
  EXPECT_EQ(behind.collection("a"), ahead.collection("a"));
}

TEST(mirror, a_mirror_of_an_earlier_era_takes_nothing_back) {
  mirror ahead;
  ahead.replace("a", {{"k", {at(80, 2), "copy"}}}, at(80, 2));
  mirror behind;
  behind.replace("a", {{"k", {at(122), "lost"}}}, at(141));
  EXPECT_FALSE(ahead.merge(behind.changes_since(ahead.known_versions())).value());
  EXPECT_FALSE(ahead.merge(behind.changes_since({})).value());
  EXPECT_EQ(ahead.collection("a").at("k").bytes, "copy");
}

// Removals that the copy has undone, or that a mirror remembers from before it, do not reach the new content.
TEST(mirror, removals_of_an_earlier_era_are_forgotten) {
  mirror ahead;
  ahead.replace("a", {{"k", {at(70), "value"}}}, at(100));
  ahead.remove("a", "k", at(101));
  ahead.advance("a", at(101));
  ahead.replace("a", {{"k", {at(70, 2), "value"}}}, at(80, 2));
  mirror behind;
  behind.replace("a", {{"k", {at(70, 2), "value"}}}, at(75, 2));
  ASSERT_TRUE(behind.merge(ahead.changes_since(behind.known_versions())));
  EXPECT_EQ(behind.collection("a").size(), 1U);
}

TEST(mirror, names_the_newest_change_of_each_collection) {
  mirror source;
  EXPECT_TRUE(source.newest_changes().empty());
  source.replace("a", {{"k", {at(10), "value"}}}, at(12));
  source.replace("b", {}, at(12, 0));
  source.put("a", "k", {at(13), "newer"});
  EXPECT_EQ(source.newest_changes(), (collection_versions{{"a", at(13)}}));
  source.remove("a", "k", at(14));
  EXPECT_EQ(source.newest_changes(), (collection_versions{{"a", at(14)}}));
  source.replace("a", {{"k", {at(10, 2), "value"}}}, at(11, 2));
  EXPECT_EQ(source.newest_changes(), (collection_versions{{"a", at(11, 2)}}));
}

TEST(mirror, lacks_changes_by_collection) {
  const collection_versions known{{"a", at(13)}, {"b", at(7, 2)}};
  EXPECT_FALSE(lacks_changes(known, {}));
  EXPECT_FALSE(lacks_changes(known, known));
  EXPECT_FALSE(lacks_changes(known, {{"a", at(12)}, {"b", at(900)}}));
  EXPECT_TRUE(lacks_changes(known, {{"a", at(14)}, {"b", at(1)}}));
  EXPECT_TRUE(lacks_changes(known, {{"b", at(1, 3)}}));
  EXPECT_TRUE(lacks_changes(known, {{"c", at(1)}}));
}

// Guards against upstreams that stay listed where a row was seen that came and went elsewhere.
TEST(mirror, passes_on_removals_of_rows_that_it_never_held) {
  mirror reader;
  reader.replace("a", {{"k", {at(1), "value"}}}, at(10));
  mirror other = reader;
  mirror third = reader;
  other.put("a", "came and went", {at(11), "value"});
  other.advance("a", at(11));
  reader.remove("a", "came and went", at(12));
  reader.advance("a", at(12));
  EXPECT_GT(reader.content_version(), other.content_version());
  ASSERT_TRUE(third.merge(reader.changes_since(third.known_versions())));
  for (const mirror* source : {&reader, &third}) {
    mirror target = other;
    ASSERT_TRUE(target.merge(source->changes_since(target.known_versions())).value());
    EXPECT_EQ(target.collection("a"), reader.collection("a"));
  }
}

// Guards against a row that only another gateway has seen and that the copy does not contain.
TEST(mirror, a_collection_that_is_empty_in_a_later_era_is_newer) {
  for (const bool was_read : {false, true}) {
    mirror reader;
    if (was_read) {
      reader.replace("a", {}, at(50));
    }
    mirror other;
    other.replace("a", {}, at(50));
    other.put("a", "k", {at(60), "lost"});
    reader.replace("a", {}, at(55, 2));
    EXPECT_TRUE(lacks_changes(other.newest_changes(), reader.newest_changes())) << was_read;
    EXPECT_FALSE(lacks_changes(reader.newest_changes(), other.newest_changes())) << was_read;
    ASSERT_TRUE(other.merge(reader.changes_since(other.known_versions())));
    EXPECT_TRUE(other.collection("a").empty()) << was_read;
    EXPECT_EQ(other.newest_changes(), reader.newest_changes()) << was_read;
  }
}

// Guards against a rolling restart in which gateways of two releases exchange no changes.
TEST(mirror, exchanges_changes_with_gateways_that_state_no_era) {
  const auto to_bytes = [](const json& value) {
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
  };
  mirror current;
  current.replace("a", {{"large", {at(1), std::string(10000, 'x')}}}, at(40));
  current.put("a", "new", {at(41), "value"});
  current.advance("a", at(41));
  const auto known = decode_versions(to_bytes({{"a", 40}}));
  ASSERT_TRUE(known);
  EXPECT_LT(current.changes_since(known.value()).size(), 200U);

  // A gateway that knows nothing takes content without an era, and gives it up for any with one.
  mirror starting;
  const std::string without_era =
      to_bytes({{"a", {50, 50, 0, json::array({{"k", 50, "other"}}), json::array()}}});
  ASSERT_TRUE(starting.merge(without_era).value());
  ASSERT_TRUE(starting.merge(current.changes_since(starting.known_versions())).value());
  EXPECT_EQ(starting.collection("a"), current.collection("a"));
  EXPECT_FALSE(starting.merge(without_era).value());
}

}  // namespace
}  // namespace cuminpath::gateway
