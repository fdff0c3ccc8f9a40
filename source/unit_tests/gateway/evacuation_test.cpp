#include "core/gateway/evacuation.h"

#include <gtest/gtest.h>

#include "core/gateway/admission.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {
namespace {

constexpr time_point k_start{seconds{100}};

using requests = std::vector<evacuation_request>;

TEST(evacuation, reports_begin_and_end_of_overlapping_evacuations) {
  evacuation zones;
  EXPECT_EQ(zones.apply({requests{{"a", 5}}}, k_start), (std::vector<evacuation::change>{{"a", 5, true}}));
  EXPECT_EQ(zones.apply({requests{{"a", 5}, {"b", 6}}}, k_start),
            (std::vector<evacuation::change>{{"b", 6, true}}));
  EXPECT_TRUE(zones.apply({requests{{"a", 5}, {"b", 6}}}, k_start).empty());
  EXPECT_EQ(zones.apply({requests{{"b", 6}}}, k_start), (std::vector<evacuation::change>{{"a", 5, false}}));
  EXPECT_FALSE(zones.evacuated("a"));
  EXPECT_TRUE(zones.evacuated("b"));
}

// A mirror shows only the last of several writes. The zone stays evacuated, and its upstreams may have become
// cold in between.
TEST(evacuation, notices_a_request_that_was_removed_and_written_again) {
  evacuation zones;
  zones.apply({requests{{"a", 5}}}, k_start);
  EXPECT_EQ(zones.apply({requests{{"a", 9}}}, k_start + seconds{1}),
            (std::vector<evacuation::change>{{"a", 9, true}}));
  EXPECT_TRUE(zones.evacuated("a"));
  EXPECT_EQ(zones.active().at("a").since, k_start + seconds{1});
}

TEST(evacuation, remembers_a_restoration_until_the_zone_is_evacuated_again) {
  evacuation zones;
  zones.apply({requests{{"a", 5}}}, k_start);
  EXPECT_FALSE(zones.restored_at("a", k_start));
  zones.apply({requests{}}, k_start + seconds{2});
  EXPECT_EQ(zones.restored_at("a", k_start + seconds{3}), k_start + seconds{2});
  EXPECT_FALSE(zones.restored_at("a", k_start + seconds{3} + evacuation::k_restoration_memory));
  zones.apply({requests{{"a", 7}}}, k_start + seconds{4});
  EXPECT_FALSE(zones.restored_at("a", k_start + seconds{4}));
}

// Guards against requests to a zone that is being emptied, because the copy lacks the operator's row.
TEST(evacuation, lasts_until_its_row_is_written_again_after_a_restore) {
  evacuation zones;
  zones.apply({requests{{"a", 5}}, {1, 6}}, k_start);
  EXPECT_TRUE(zones.apply({requests{}, {2, 3}}, k_start).empty());
  EXPECT_TRUE(zones.apply({requests{}, {2, 4}}, k_start).empty()) << "another row is written";
  EXPECT_TRUE(zones.expire(k_start + k_operator_rewrite_time - milliseconds{1}).empty());
  EXPECT_TRUE(zones.evacuated("a"));
  EXPECT_TRUE(zones.apply({requests{{"a", 7}}, {2, 7}}, k_start).empty()) << "the same evacuation";
  EXPECT_TRUE(zones.expire(k_start + 2 * k_operator_rewrite_time).empty());
  EXPECT_EQ(zones.active().at("a").since, k_start);
  EXPECT_EQ(zones.apply({requests{}, {2, 8}}, k_start), (std::vector<evacuation::change>{{"a", 7, false}}));
}

// Guards against an evacuation that never ends, and against one that a second copy ends early.
TEST(evacuation, ends_after_the_last_restore_if_its_row_is_not_written_again) {
  evacuation zones;
  zones.apply({requests{{"a", 5}}, {1, 6}}, k_start);
  zones.apply({requests{}, {2, 3}}, k_start);
  const time_point second = k_start + seconds{1};
  zones.apply({requests{}, {3, 2}}, second);
  EXPECT_TRUE(zones.expire(second + k_operator_rewrite_time - milliseconds{1}).empty());
  EXPECT_EQ(zones.expire(second + k_operator_rewrite_time),
            (std::vector<evacuation::change>{{"a", 5, false}}));
  EXPECT_FALSE(zones.evacuated("a"));
}

// Guards against a zone that is lost for a moment near capacity, because the copy has a row that was removed.
TEST(evacuation, does_not_begin_again_while_only_a_copy_lists_it) {
  evacuation zones;
  zones.apply({requests{{"a", 5}}, {1, 6}}, k_start);
  zones.apply({requests{}, {1, 8}}, k_start);
  EXPECT_EQ(zones.apply({requests{{"a", 5}, {"b", 4}}, {2, 6}}, k_start),
            (std::vector<evacuation::change>{{"b", 4, true}}));
  EXPECT_TRUE(zones.apply({requests{{"a", 5}, {"b", 4}}, {2, 7}}, k_start).empty());
  EXPECT_TRUE(zones.expire(k_start + k_operator_rewrite_time - milliseconds{1}).empty());
  EXPECT_FALSE(zones.evacuated("a"));
  evacuation removed = zones;
  EXPECT_TRUE(removed.apply({requests{{"b", 4}}, {2, 8}}, k_start).empty());
  EXPECT_TRUE(removed.expire(k_start + k_operator_rewrite_time).empty());
  evacuation written = zones;
  EXPECT_EQ(written.apply({requests{{"a", 8}, {"b", 4}}, {2, 8}}, k_start),
            (std::vector<evacuation::change>{{"a", 8, true}}));
  EXPECT_EQ(zones.expire(k_start + k_operator_rewrite_time),
            (std::vector<evacuation::change>{{"a", 5, true}}));
}

class evacuated_table : public ::testing::Test {
protected:
  evacuated_table() {
    for (int i = 0; i < 12; ++i) {
      m_records.push_back({.id = "u" + std::to_string(i),
                           .service = "s",
                           .address = "10.0.0." + std::to_string(i) + ":80",
                           .availability_zone = std::string(1, static_cast<char>('a' + i % 3)),
                           .slots = 10});
    }
    m_table.apply(m_records, k_start, false);
  }
  void evacuate(requests wanted) {
    m_zones.apply({std::move(wanted)}, k_start);
    m_table.set_evacuations(m_zones);
  }
  const upstream_table::upstream* choose() {
    return m_table.choose("s", {.availability_zone = "a"}, k_start, m_random);
  }

  std::vector<upstream_record> m_records;
  upstream_table m_table;
  evacuation m_zones;
  random_source m_random{1};
};

// Load: the remaining zones fill up. Guards against requests that spill over into the evacuated zone.
TEST_F(evacuated_table, fills_the_other_zones_and_then_chooses_nothing) {
  m_table.on_started("u0", k_start);
  evacuate({{"a", 1}});
  EXPECT_EQ(m_table.local_requests_in("a"), 1U);  // A request that runs there goes on.
  int placed = 0;
  while (const auto* target = choose()) {
    ASSERT_NE(target->record.availability_zone, "a");
    m_table.on_started(target->record.id, k_start);
    ++placed;
  }
  EXPECT_EQ(placed, 80);
  const auto totals = m_table.totals("s", k_start);
  EXPECT_EQ(totals.slots, 80U);
  EXPECT_EQ(totals.evacuated, 4U);
}

TEST_F(evacuated_table, covers_upstreams_that_are_added_or_change_their_row_later) {
  evacuate({{"a", 1}, {"b", 2}, {"c", 3}});
  m_records.push_back(
      {.id = "new", .service = "s", .address = "10.0.1.1:80", .availability_zone = "a", .slots = 10});
  m_records[1].slots = 20;
  m_table.apply(m_records, k_start, false);
  EXPECT_EQ(choose(), nullptr);
  evacuate({{"b", 2}, {"c", 3}});
  ASSERT_NE(choose(), nullptr);
  EXPECT_EQ(choose()->record.availability_zone, "a");
}

// Guards against silent upstreams that take more than a quarter of what an evacuation leaves, and against
// those of the evacuated zones that use up this quarter.
TEST_F(evacuated_table, at_most_a_quarter_of_the_other_zones_is_left_out_as_silent) {
  std::vector<std::uint32_t> hashes;
  for (const char* id : {"u2", "u5", "u8", "u11", "u0"}) {  // All of zone c, and one of zone a.
    hashes.push_back(m_table.find(id)->hash);
  }
  m_table.set_silent(hashes);
  EXPECT_EQ(m_table.totals("s", k_start).upstreams, 9U);
  evacuate({{"a", 1}, {"b", 2}});
  EXPECT_EQ(m_table.totals("s", k_start).upstreams, 3U);
  evacuate({});
  EXPECT_EQ(m_table.totals("s", k_start).upstreams, 9U);
}

// With all zones evacuated, callers must not come back within the queueing time of an idle service.
TEST_F(evacuated_table, asks_callers_to_wait_while_all_zones_are_evacuated) {
  evacuate({{"a", 1}, {"b", 2}, {"c", 3}, {"unknown zone", 4}});
  const admission_request request{.engine = true, .time_left = milliseconds{8000}};
  EXPECT_GE(retry_after(m_table.totals("s", k_start), milliseconds{50}, request, m_random),
            milliseconds{1000});
  evacuate({});
  EXPECT_LE(retry_after(m_table.totals("s", k_start), milliseconds{50}, request, m_random),
            milliseconds{100});
}

}  // namespace
}  // namespace cuminpath::gateway
