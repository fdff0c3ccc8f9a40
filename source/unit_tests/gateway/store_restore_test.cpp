// What the table of upstreams makes of a store that has come back from an older copy.

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "core/gateway/instance_memory.h"
#include "core/gateway/mirror.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {
namespace {

using kind = upstream_table::change::kind;

constexpr time_point k_start{seconds{100}};
constexpr std::uint64_t k_first_start = 1000;
// Longer than any time for which rows of the copy are doubted.
constexpr seconds k_long_after{60};

struct row_options {
  bool leaving = false;
  std::uint64_t started_ms = k_first_start;
  std::optional<milliseconds> cold_for{};
  std::string address{};
};

// A store of upstreams and a table that reads it.
class store_restore : public ::testing::Test {
protected:
  void write(const std::string& id, const row_options& options = {}) {
    upstream_record row{.id = id, .service = "s", .availability_zone = "z", .slots = 4};
    row.address = options.address.empty() ? id + ":80" : options.address;
    row.leaving = options.leaving;
    row.started_ms = options.started_ms;
    row.cold_for = options.cold_for;
    row.row_version.number = ++m_number;
    remove_row(id);
    m_rows.push_back(std::move(row));
  }
  void remove(const std::string& id) {
    ++m_number;
    remove_row(id);
  }
  void copy() { m_copy = {m_rows, m_number}; }
  void restore() {
    m_rows = m_copy.rows;
    m_number = m_copy.number;
    ++m_era;
  }
  std::vector<upstream_table::change> read(milliseconds at = milliseconds{0}, bool disturbed = false) {
    for (upstream_record& row : m_rows) {
      row.row_version.era = m_era;
    }
    return m_table.apply(m_rows, k_start + at, disturbed, {m_era, m_number});
  }
  bool used(const std::string& id, milliseconds at = milliseconds{0}) {
    const auto* known = m_table.find(id);
    return known != nullptr &&
           !upstream_table::why_excluded(*known, {.availability_zone = "z"}, k_start + at);
  }
  static std::size_t count(std::span<const upstream_table::change> changes, kind type) {
    return static_cast<std::size_t>(std::count_if(changes.begin(), changes.end(),
                                                  [type](const auto& each) { return each.type == type; }));
  }

  upstream_table m_table;

private:
  struct content {
    std::vector<upstream_record> rows;
    std::uint64_t number = 0;
  };
  void remove_row(const std::string& id) {
    std::erase_if(m_rows, [&](const upstream_record& row) { return row.id == id; });
  }

  std::vector<upstream_record> m_rows;
  std::uint64_t m_number = 0;
  std::uint64_t m_era = 0;
  content m_copy;
};

// Presence.

// Guards against refusals for want of upstreams while rows that the copy lacks are written again.
TEST_F(store_restore, an_upstream_that_the_copy_lacks_is_kept_for_its_row_to_be_written_again) {
  for (const char* id : {"a", "b", "c", "d"}) {
    write(id);
  }
  copy();
  write("new");
  read();
  restore();
  EXPECT_EQ(count(read(), kind::kept_after_expiry), 1U);
  EXPECT_TRUE(used("new"));
  EXPECT_TRUE(m_table.expire(k_start + k_expired_row_grace - milliseconds{1}).empty());
  write("new");
  read(milliseconds{1500});
  m_table.expire(k_start + k_expired_row_grace);
  EXPECT_TRUE(used("new", k_expired_row_grace));
}

// Guards against requests to an upstream that is gone: its row is not written again after the copy.
TEST_F(store_restore, an_upstream_whose_row_is_not_written_again_is_gone_after_the_grace_period) {
  write("a");
  copy();
  write("new");
  read();
  restore();
  read();
  EXPECT_EQ(count(m_table.expire(k_start + k_expired_row_grace), kind::removed), 1U);
  EXPECT_FALSE(used("new", k_expired_row_grace));
  EXPECT_TRUE(used("a", k_expired_row_grace));
}

// Guards against a grace period that begins again with each read of the restored store.
TEST_F(store_restore, only_the_first_list_of_an_era_may_lack_rows) {
  for (const char* id : {"a", "b", "c", "d"}) {
    write(id);
  }
  copy();
  read();
  restore();
  read();
  remove("a");
  EXPECT_EQ(count(read(milliseconds{300}), kind::removed), 1U);
  EXPECT_FALSE(used("a"));
}

// Guards against a leaving upstream that is used again because it is kept.
TEST_F(store_restore, a_leaving_upstream_that_the_copy_lacks_is_not_kept) {
  write("a");
  copy();
  write("new", {.leaving = true});
  read();
  restore();
  EXPECT_EQ(count(read(), kind::removed), 1U);
}

// Guards against a first list that counts as a copy: nothing was known before it.
TEST_F(store_restore, the_first_list_is_no_copy_whatever_its_era) {
  copy();
  restore();
  restore();
  read();
  write("a");
  EXPECT_EQ(count(read(), kind::added), 1U);
  EXPECT_TRUE(used("a"));
  instance_memory memory;
  EXPECT_FALSE(memory.on_list({3, 50}, k_start));
  EXPECT_FALSE(memory.on_list({3, 51}, k_start));
  EXPECT_TRUE(memory.on_list({4, 40}, k_start));
}

// The same content reaches a gateway that does not read the store as a whole collection of another one.
TEST(store_restore_mirror, a_collection_merged_from_another_gateway_states_the_era) {
  mirror reader;
  mirror other;
  const auto row = [](std::uint64_t era, std::uint64_t number) { return document{{era, number}, "row"}; };
  ASSERT_TRUE(reader.replace("servers", {{"a", row(0, 5)}, {"new", row(0, 9)}}, {0, 9}));
  ASSERT_TRUE(other.merge(reader.changes_since(other.known_versions())).value());
  ASSERT_TRUE(reader.replace("servers", {{"a", row(1, 5)}}, {1, 6}));
  ASSERT_TRUE(other.merge(reader.changes_since(other.known_versions())).value());
  EXPECT_EQ(other.version("servers"), (store_version{1, 6}));
  EXPECT_EQ(other.collection("servers").at("a").version, (store_version{1, 5}));
  EXPECT_FALSE(other.collection("servers").contains("new"));
}

// Leaving.

// Guards against requests to a leaving upstream that the copy lists as ready.
TEST_F(store_restore, an_upstream_that_leaves_stays_so_though_the_copy_lists_it_as_ready) {
  for (const std::uint64_t started_ms : {std::uint64_t{0}, k_first_start}) {
    const std::string id = "a" + std::to_string(started_ms);
    write(id, {.started_ms = started_ms});
    read();
    copy();
    write(id, {.leaving = true, .started_ms = started_ms});
    read();
    restore();
    read();
    EXPECT_FALSE(used(id)) << started_ms;
    read(milliseconds{900});
    EXPECT_FALSE(used(id)) << started_ms;
  }
}

// Guards against requests to a leaving upstream whose earlier write reaches the store late.
TEST_F(store_restore, an_upstream_that_leaves_stays_so_until_a_later_start) {
  write("a");
  read();
  copy();
  write("a", {.leaving = true});
  read();
  restore();
  read();
  write("a");
  read(milliseconds{100});
  EXPECT_FALSE(used("a"));
  write("a", {.started_ms = k_first_start + 1});
  read(milliseconds{200});
  EXPECT_TRUE(used("a"));
}

// Guards against an upstream without a known start that is never used again: nothing else ends its leaving.
TEST_F(store_restore, a_row_of_an_unknown_start_that_is_written_after_the_copy_is_believed) {
  write("a", {.started_ms = 0});
  read();
  copy();
  write("a", {.leaving = true, .started_ms = 0});
  read();
  restore();
  read();
  EXPECT_FALSE(used("a"));
  write("a", {.started_ms = 0});
  read(milliseconds{500});
  EXPECT_TRUE(used("a"));
}

TEST_F(store_restore, an_upstream_that_announced_leaving_stays_so_though_the_copy_removes_and_lists_it) {
  write("b");
  copy();
  write("a");
  read();
  m_table.on_leaving("a", k_start);
  restore();
  read();
  EXPECT_EQ(m_table.find("a"), nullptr);
  write("a");
  read(milliseconds{200});
  EXPECT_FALSE(used("a"));
}

// Guards against requests to an upstream whose row a late write lists again as ready.
TEST_F(store_restore, an_upstream_that_leaves_by_its_row_stays_so_after_its_removal) {
  write("b");
  copy();
  write("a", {.leaving = true});
  read();
  restore();
  read();
  EXPECT_EQ(m_table.find("a"), nullptr);
  write("a");
  read(milliseconds{200});
  EXPECT_FALSE(used("a"));
}

// Removed before.

// Guards against requests to an upstream that is gone and that the copy lists again.
TEST_F(store_restore, an_upstream_removed_before_is_not_used_because_of_the_copy) {
  for (const std::uint64_t started_ms : {std::uint64_t{0}, k_first_start}) {
    const std::string id = "a" + std::to_string(started_ms);
    write(id, {.started_ms = started_ms});
    read();
    copy();
    remove(id);
    read();
    restore();
    read();
    EXPECT_FALSE(used(id)) << started_ms;
    write("b");
    read(milliseconds{900});
    m_table.expire(k_start + milliseconds{900});
    EXPECT_FALSE(used(id)) << started_ms;
    EXPECT_TRUE(used("b"));
  }
}

// Guards against an upstream that is alive and never used again.
TEST_F(store_restore, an_upstream_removed_before_is_used_once_its_row_is_written_again) {
  write("a");
  read();
  copy();
  remove("a");
  read();
  restore();
  read();
  write("a");
  EXPECT_EQ(count(read(milliseconds{400}), kind::added), 1U);
  EXPECT_TRUE(used("a"));
}

TEST_F(store_restore, an_upstream_removed_before_is_used_at_a_later_start) {
  write("a");
  read();
  remove("a");
  read();
  write("a", {.started_ms = k_first_start + 5});
  copy();
  restore();
  read();
  EXPECT_TRUE(used("a"));
}

TEST_F(store_restore, an_upstream_removed_before_is_used_if_the_store_goes_on_listing_it) {
  write("a");
  read();
  copy();
  remove("a");
  read();
  restore();
  read();
  EXPECT_EQ(count(m_table.expire(k_start + seconds{4}), kind::added), 0U);
  EXPECT_EQ(count(m_table.expire(k_start + k_long_after), kind::added), 1U);
  EXPECT_TRUE(used("a", k_long_after));
  read(k_long_after);
  EXPECT_TRUE(used("a", k_long_after));
}

// Guards against a second copy that ends the grace period of an upstream for good.
TEST_F(store_restore, an_upstream_missing_in_one_copy_and_listed_by_the_next_is_not_kept_longer) {
  write("b");
  read();
  write("a");
  read();
  copy();
  remove("a");
  read(milliseconds{0}, true);
  EXPECT_TRUE(used("a"));
  restore();
  read(milliseconds{400});
  EXPECT_TRUE(used("a"));
  EXPECT_EQ(count(m_table.expire(k_start + k_expired_row_grace), kind::removed), 1U);
  read(milliseconds{1700});
  EXPECT_FALSE(used("a"));
  write("a");
  read(milliseconds{1800});
  EXPECT_TRUE(used("a"));
}

// Guards against requests to an instance that has ended, at an address that may be used again.
TEST_F(store_restore, an_earlier_instance_listed_by_the_copy_replaces_no_later_one) {
  write("a", {.address = "earlier:80"});
  read();
  copy();
  write("a", {.started_ms = k_first_start + 5, .address = "later:80"});
  read();
  restore();
  read();
  ASSERT_NE(m_table.find("a"), nullptr);
  EXPECT_EQ(m_table.find("a")->record.address, "later:80");
  EXPECT_TRUE(used("a"));
  // Its row is written again, or it is gone.
  EXPECT_EQ(count(m_table.expire(k_start + k_expired_row_grace), kind::removed), 1U);
  read(milliseconds{1700});
  EXPECT_FALSE(used("a"));
  write("a", {.started_ms = k_first_start + 5, .address = "later:80"});
  read(milliseconds{1800});
  EXPECT_TRUE(used("a"));
}

// Cold.

TEST_F(store_restore, the_time_in_a_row_of_the_copy_counts_again_from_when_it_is_read) {
  constexpr milliseconds k_cold_for{3000};
  m_table.set_cold_policies({{"s", {.cold_start = k_cold_for, .max_per_s = 26}}});
  write("a", {.cold_for = k_cold_for});
  read();
  copy();
  write("a", {.cold_for = milliseconds{0}});
  read(milliseconds{2900});
  restore();
  read(milliseconds{2950});
  EXPECT_TRUE(m_table.find("a")->cold(k_start + milliseconds{5949}));
  EXPECT_FALSE(m_table.find("a")->cold(k_start + milliseconds{5950}));
}

// Guards against a service whose upstreams all count as cold after a copy that lacks their rows.
TEST_F(store_restore, an_upstream_that_the_copy_lacks_does_not_become_cold) {
  m_table.set_cold_policies({{"s", {.cold_start = milliseconds{3000}, .max_per_s = 26}}});
  write("b", {.cold_for = milliseconds{0}});
  copy();
  write("a", {.cold_for = milliseconds{0}});
  read();
  restore();
  read();
  write("a", {.cold_for = milliseconds{0}});
  read(milliseconds{500});
  EXPECT_FALSE(m_table.find("a")->cold(k_start + milliseconds{500}));
}

// Guards against an upstream that is alive and stays unused while nothing else in the store changes.
TEST_F(store_restore, an_upstream_in_its_grace_period_that_the_copy_lists_is_used_in_the_end) {
  write("b");
  write("a");
  read();
  copy();
  remove("a");
  read(milliseconds{0}, true);
  restore();
  read(milliseconds{400});
  m_table.expire(k_start + k_expired_row_grace);
  m_table.expire(k_start + k_long_after);
  EXPECT_TRUE(used("a", k_long_after));
}

// Guards against a later instance that is ignored during the grace period of the earlier one.
TEST_F(store_restore, a_later_instance_listed_by_the_copy_is_used) {
  write("b");
  write("a", {.address = "earlier:80"});
  read();
  write("a", {.started_ms = k_first_start + 5, .address = "later:80"});
  copy();
  remove("a");
  read(milliseconds{0}, true);
  restore();
  read(milliseconds{400});
  ASSERT_NE(m_table.find("a"), nullptr);
  EXPECT_EQ(m_table.find("a")->record.address, "later:80");
  m_table.expire(k_start + k_expired_row_grace);
  EXPECT_TRUE(used("a", k_expired_row_grace));
}

// Guards against upstreams that are alive and unused, as heartbeats do not change their rows.
TEST_F(store_restore, rows_that_lapsed_before_the_copy_lists_them_are_used_after_three_heartbeats) {
  write("a");
  write("b");
  read();
  copy();
  remove("a");
  remove("b");
  read(milliseconds{0}, true);
  restore();
  read(milliseconds{400});
  m_table.expire(k_start + k_expired_row_grace);
  read(milliseconds{1700});
  m_table.expire(k_start + seconds{7});
  EXPECT_TRUE(used("a", seconds{7}));
  EXPECT_TRUE(used("b", seconds{7}));
}

TEST_F(store_restore, a_row_of_the_copy_counts_once_it_has_outlived_three_heartbeats_of_the_platform) {
  m_table.set_heartbeat_interval(milliseconds{1000});
  write("a");
  read();
  copy();
  remove("a");
  read();
  restore();
  read(milliseconds{100});
  m_table.expire(k_start + milliseconds{3100});
  EXPECT_FALSE(used("a", milliseconds{3100}));
  m_table.expire(k_start + milliseconds{3700});
  EXPECT_TRUE(used("a", milliseconds{3700}));
}

// Guards against refusals after a second restore: no time is left to write the row again.
TEST_F(store_restore, an_upstream_that_two_copies_lack_is_kept_after_the_second) {
  write("b");
  copy();
  write("a");
  read();
  restore();
  read();
  restore();
  read(milliseconds{1400});
  m_table.expire(k_start + milliseconds{1700});
  EXPECT_TRUE(used("a", milliseconds{1700}));
}

}  // namespace
}  // namespace cuminpath::gateway
