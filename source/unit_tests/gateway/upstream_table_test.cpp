#include "core/gateway/upstream_table.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "core/common/hash.h"

namespace cuminpath::gateway {
namespace {

constexpr time_point k_start{seconds{100}};

// Each upstream has a different address unless a test sets another one.
upstream_record record(std::string id, std::string zone = "z") {
  std::string address = id + ":80";
  return {.id = std::move(id),
          .service = "s",
          .address = std::move(address),
          .availability_zone = std::move(zone),
          .slots = 4};
}

std::vector<upstream_record> records(std::initializer_list<const char*> ids) {
  std::vector<upstream_record> out;
  for (const char* id : ids) {
    out.push_back(record(id));
  }
  return out;
}

std::string choose_id(const upstream_table& table, time_point now, double max_utilization = 1,
                      std::span<const std::string> excluded = {}) {
  random_source random(1);
  const auto* found = table.choose(
      "s", {.availability_zone = "z", .excluded = excluded, .max_utilization = max_utilization}, now, random);
  return found == nullptr ? "" : found->record.id;
}

TEST(upstream_table, chooses_the_least_loaded) {
  upstream_table table;
  table.apply(records({"a", "b"}), k_start, false);
  table.on_started("a", k_start);
  EXPECT_EQ(choose_id(table, k_start), "b");
  table.on_started("b", k_start);
  table.on_started("b", k_start);
  EXPECT_EQ(choose_id(table, k_start), "a");
}

TEST(upstream_table, counts_the_load_that_other_gateways_report) {
  upstream_table table;
  table.apply(records({"a", "b"}), k_start, false);
  const std::vector<upstream_load> loads{{static_cast<std::uint32_t>(hash64("a")), 3}};
  table.set_member_loads("peer", loads);
  table.on_started("b", k_start);
  EXPECT_EQ(choose_id(table, k_start), "b");
  table.set_member_loads("peer", {});
  EXPECT_EQ(choose_id(table, k_start), "a");
}

TEST(upstream_table, applies_reported_loads_to_upstreams_added_later) {
  upstream_table table;
  table.apply(records({"b"}), k_start, false);
  const std::vector<upstream_load> loads{{static_cast<std::uint32_t>(hash64("a")), 3}};
  table.set_member_loads("peer", loads);
  table.apply(records({"a", "b"}), k_start, false);
  EXPECT_EQ(choose_id(table, k_start), "b");
}

TEST(upstream_table, chooses_no_upstream_above_the_utilization_limit) {
  upstream_table table;
  table.apply(records({"a"}), k_start, false);
  for (int i = 0; i < 4; ++i) {
    table.on_started("a", k_start);
  }
  EXPECT_EQ(choose_id(table, k_start), "");
  EXPECT_EQ(choose_id(table, k_start, 1.25), "a");
}

TEST(upstream_table, does_not_choose_leaving_upstreams) {
  upstream_table table;
  auto list = records({"a", "b"});
  table.apply(list, k_start, false);
  list[0].leaving = true;
  const auto changes = table.apply(list, k_start, false);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].type, upstream_table::change::kind::leaving);
  table.on_started("b", k_start);
  EXPECT_EQ(choose_id(table, k_start), "b");
}

TEST(upstream_table, removes_rows_at_once_while_the_store_is_available) {
  upstream_table table;
  table.apply(records({"a", "b", "c", "d"}), k_start, false);
  table.apply(records({"b", "c", "d"}), k_start, false);
  EXPECT_EQ(table.size(), 3U);
}

TEST(upstream_table, keeps_expired_rows_for_the_grace_period_after_an_outage) {
  upstream_table table;
  table.apply(records({"a", "b"}), k_start, false);
  table.apply({}, k_start, true);
  EXPECT_NE(choose_id(table, k_start), "");
  EXPECT_TRUE(table.expire(k_start + k_expired_row_grace - milliseconds{1}).empty());
  table.apply(records({"a"}), k_start + milliseconds{500}, true);
  EXPECT_EQ(table.expire(k_start + k_expired_row_grace).size(), 1U);
  EXPECT_EQ(choose_id(table, k_start + k_expired_row_grace), "a");
}

// Guards against a grace period that lets requests reach an upstream that has left. This has happened: a row
// removed while the store counted as disturbed was that of an upstream that left.
TEST(upstream_table, the_grace_period_ends_within_the_limit_for_leaving_upstreams) {
  constexpr milliseconds k_store_change_interval{150};  // Interval of the store client between changes.
  constexpr milliseconds k_expiry_interval{50};         // Interval at which the gateway expires upstreams.
  constexpr milliseconds k_dispatch_latency{100};       // From the selection to the arrival at the upstream.
  EXPECT_LE(k_expired_row_grace + k_store_change_interval + k_expiry_interval + k_dispatch_latency,
            k_max_dispatch_after_leaving);
}

TEST(upstream_table, a_leaving_upstream_has_no_grace_period) {
  upstream_table table;
  auto list = records({"a"});
  list[0].leaving = true;
  table.apply(list, k_start, false);
  table.apply({}, k_start, true);
  EXPECT_EQ(table.size(), 0U);
}

TEST(upstream_table, treats_rows_that_vanish_together_as_expired) {
  upstream_table table;
  table.apply(records({"a", "b", "c", "d", "e", "f", "g", "h", "i"}), k_start, false);
  table.apply({}, k_start, false);
  EXPECT_EQ(table.size(), 9U);
  EXPECT_EQ(table.expire(k_start + k_expired_row_grace).size(), 9U);
}

TEST(upstream_table, excludes_a_wrong_instance_until_its_row_changes) {
  upstream_table table;
  auto list = records({"a"});
  table.apply(list, k_start, false);
  table.on_wrong_instance("a");
  EXPECT_EQ(choose_id(table, k_start), "");
  table.apply(list, k_start, false);
  EXPECT_EQ(choose_id(table, k_start), "");
  list[0].address = "10.0.0.2:80";
  table.apply(list, k_start, false);
  EXPECT_EQ(choose_id(table, k_start), "a");
}

TEST(upstream_table, a_restart_under_the_same_id_resets_the_health) {
  upstream_table table;
  auto list = records({"a", "b"});
  list[0].started_ms = 1;
  table.apply(list, k_start, false);
  for (int i = 0; i < 5; ++i) {
    table.on_failure("a", k_start);
  }
  table.on_started("b", k_start);
  EXPECT_EQ(choose_id(table, k_start), "b");
  list[0].started_ms = 2;
  table.apply(list, k_start, false);
  EXPECT_EQ(choose_id(table, k_start), "a");
}

TEST(upstream_table, prefers_the_later_instance_at_an_address) {
  upstream_table table;
  auto list = records({"earlier", "later"});
  list[0].address = list[1].address;
  list[0].started_ms = 1;
  list[1].started_ms = 2;
  table.apply(list, k_start, false);
  for (int i = 0; i < 3; ++i) {
    table.on_started("later", k_start);
  }
  EXPECT_EQ(choose_id(table, k_start), "later");
  EXPECT_EQ(table.totals("s", k_start).upstreams, 1U);
  list.pop_back();
  table.apply(list, k_start, false);
  EXPECT_EQ(choose_id(table, k_start), "earlier");
}

// Returns upstreams that have been started again under new ids, each with the row of the instance before it.
std::vector<upstream_record> restarted(std::initializer_list<const char*> ids) {
  std::vector<upstream_record> out;
  for (const char* id : ids) {
    out.push_back(record(id));
    out.back().started_ms = 2;
    out.push_back(record(std::string("old-") + id));
    out.back().address = out[out.size() - 2].address;
    out.back().started_ms = 1;
  }
  return out;
}

// Guards against a service without upstreams after a restart of its hosts: the rows of the instances before
// raise the number of upstreams that may be ejected to that of all that run.
TEST(upstream_table, a_superseded_row_does_not_count_in_the_share_of_ejected_upstreams) {
  upstream_table table;
  table.apply(restarted({"a", "b"}), k_start, false);
  for (const char* id : {"a", "b"}) {
    for (int i = 0; i < 5; ++i) {
      table.on_failure(id, k_start);
    }
  }
  EXPECT_EQ(choose_id(table, k_start), "b");
}

// The same for upstreams that are silent.
TEST(upstream_table, a_superseded_row_does_not_count_in_the_share_of_silent_upstreams) {
  upstream_table table;
  table.apply(restarted({"a", "b", "c", "d"}), k_start, false);
  const auto hash = [&table](const char* id) { return table.find(id)->hash; };
  table.set_silent(std::vector{hash("a"), hash("b")});
  EXPECT_TRUE(table.find("a")->silent);
  EXPECT_FALSE(table.find("b")->silent);
  table.set_silent(std::vector{hash("old-c"), hash("old-d"), hash("a")});
  EXPECT_TRUE(table.find("a")->silent);
  EXPECT_EQ(table.totals("s", k_start).upstreams, 3U);
}

// A row as another writer may add it at the address of an upstream.
upstream_record row_at(const upstream_record& other, std::string id, std::string service) {
  return {.id = std::move(id),
          .service = std::move(service),
          .address = other.address,
          .availability_zone = other.availability_zone,
          .slots = 4,
          .started_ms = other.started_ms + 1'000'000'000};
}

// Returns upstreams of the service "s" and, behind them, 40 rows of another writer.
std::vector<upstream_record> beside_many_others(std::initializer_list<const char*> ids) {
  std::vector<upstream_record> out = records(ids);
  for (int i = 0; i < 40; ++i) {
    out.push_back(record("archive-" + std::to_string(i)));
    out.back().service = "archive";
  }
  return out;
}

std::size_t count(std::span<const upstream_table::change> changes, upstream_table::change::kind kind) {
  return static_cast<std::size_t>(
      std::count_if(changes.begin(), changes.end(), [kind](const auto& each) { return each.type == kind; }));
}

// Guards against refusals of all requests while rows of a service that the configuration does not name carry
// the addresses of the upstreams.
TEST(upstream_table, a_row_of_a_service_that_is_not_configured_hides_no_upstream) {
  for (const bool configured_first : {true, false}) {
    for (const bool leaving : {true, false}) {
      upstream_table table;
      auto list = records({"a"});
      list[0].started_ms = 1;
      list.push_back(row_at(list[0], "other", "archive"));
      list[1].leaving = leaving;
      if (configured_first) {
        table.set_services({"s"});
      }
      table.apply(list, k_start, false);
      table.set_services({"s"});
      EXPECT_EQ(choose_id(table, k_start), "a");
      EXPECT_EQ(table.totals("s", k_start).upstreams, 1U);
      EXPECT_EQ(table.size(), 1U);
      EXPECT_EQ(table.count_not_configured(), 1U);
    }
  }
}

TEST(upstream_table, a_later_instance_of_another_configured_service_takes_over_its_address) {
  upstream_table table;
  table.set_services({"s", "other"});
  auto list = records({"a"});
  list.push_back(row_at(list[0], "b", "other"));
  table.apply(list, k_start, false);
  EXPECT_EQ(choose_id(table, k_start), "");
}

// Guards against an upstream whose places are given out twice: requests of the configuration before still run
// there when its service is configured again.
TEST(upstream_table, an_upstream_is_used_while_its_service_is_configured) {
  using kind = upstream_table::change::kind;
  upstream_table table;
  table.set_services({"other"});
  EXPECT_EQ(count(table.apply(records({"a"}), k_start, false), kind::not_configured), 1U);
  EXPECT_EQ(count(table.set_services({"s"}), kind::added), 1U);
  EXPECT_TRUE(table.set_services({"s", "other"}).empty());
  for (int i = 0; i < 4; ++i) {
    table.on_started("a", k_start);
  }
  EXPECT_EQ(count(table.set_services({"other"}), kind::not_configured), 1U);
  EXPECT_EQ(table.size(), 0U);
  EXPECT_EQ(count(table.set_services({"s"}), kind::added), 1U);
  EXPECT_EQ(choose_id(table, k_start), "");
  table.on_ended("a");
  EXPECT_EQ(choose_id(table, k_start), "a");
}

TEST(upstream_table, a_row_that_changes_its_service_is_used_if_the_new_one_is_configured) {
  using kind = upstream_table::change::kind;
  upstream_table table;
  table.set_services({"s"});
  auto list = records({"a"});
  list[0].service = "archive";
  table.apply(list, k_start, false);
  EXPECT_EQ(table.size(), 0U);
  list[0].service = "s";
  EXPECT_EQ(count(table.apply(list, k_start, false), kind::added), 1U);
  EXPECT_EQ(choose_id(table, k_start), "a");
  list[0].service = "archive";
  EXPECT_EQ(count(table.apply(list, k_start, false), kind::not_configured), 1U);
  EXPECT_EQ(table.size(), 0U);
}

// Guards against a fleet that is dropped in an outage of the store because another writer lists many rows.
TEST(upstream_table, rows_of_services_that_are_not_configured_do_not_lower_the_share_of_expired_rows) {
  upstream_table table;
  table.set_services({"s"});
  auto list = beside_many_others({"a", "b", "c", "d"});
  table.apply(list, k_start, false);
  list.erase(list.begin(), list.begin() + 3);
  EXPECT_EQ(count(table.apply(list, k_start, false), upstream_table::change::kind::kept_after_expiry), 3U);
  EXPECT_EQ(table.size(), 4U);
}

// Guards against requests to an upstream that has left: its row vanishes beside many rows of another writer.
TEST(upstream_table, rows_of_services_that_are_not_configured_do_not_count_as_expired) {
  upstream_table table;
  table.set_services({"s"});
  auto list = beside_many_others({"a", "b", "c", "d"});
  table.apply(list, k_start, false);
  EXPECT_EQ(table.apply(records({"b", "c", "d"}), k_start, false).size(), 41U);
  EXPECT_EQ(table.size(), 3U);
  EXPECT_EQ(table.count_not_configured(), 0U);
}

TEST(upstream_table, an_instance_that_announces_leaving_is_excluded_until_it_restarts) {
  upstream_table table;
  auto rows = records({"a"});
  rows[0].started_ms = 7;
  table.apply(rows, k_start, false);
  EXPECT_TRUE(table.on_leaving("a", k_start));
  EXPECT_FALSE(table.on_leaving("a", k_start));
  EXPECT_EQ(choose_id(table, k_start), "");
  EXPECT_EQ(table.totals("s", k_start).upstreams, 0U);
  // Neither a change of its row nor its removal and reinsertion makes it usable.
  rows[0].slots = 5;
  table.apply(rows, k_start, false);
  EXPECT_EQ(choose_id(table, k_start), "");
  table.apply({}, k_start, true);
  EXPECT_EQ(table.size(), 0U);  // The expired row of a leaving instance has no grace period.
  table.apply(rows, k_start, false);
  EXPECT_EQ(choose_id(table, k_start + minutes{9}), "");
  rows[0].started_ms = 8;
  table.apply(rows, k_start, false);
  EXPECT_EQ(choose_id(table, k_start), "a");
}

TEST(upstream_table, an_upstream_that_rejects_requests_is_full_and_not_failed) {
  upstream_table table;
  table.apply(records({"a", "b"}), k_start, false);
  table.on_requests_rejected("a", milliseconds{1500}, k_start);
  table.on_requests_rejected("a", milliseconds{200},
                             k_start);  // A shorter time does not shorten a longer one.
  EXPECT_EQ(choose_id(table, k_start + milliseconds{1499}), "b");
  EXPECT_EQ(table.totals("s", k_start).upstreams, 1U);
  EXPECT_FALSE(table.totals("s", k_start).all_reject_for);
  table.on_requests_rejected("b", milliseconds{900}, k_start);
  EXPECT_EQ(choose_id(table, k_start), "");
  EXPECT_EQ(table.totals("s", k_start).all_reject_for, milliseconds{900});
  EXPECT_EQ(choose_id(table, k_start + milliseconds{900}), "b");
  EXPECT_NE(choose_id(table, k_start + milliseconds{1500}), "");
  // An implausibly long time does not exclude an upstream permanently.
  table.on_requests_rejected("a", hours{24}, k_start);
  table.on_requests_rejected("b", hours{24}, k_start);
  EXPECT_NE(choose_id(table, k_start + hours{1}), "");
}

TEST(upstream_table, does_not_choose_upstreams_that_a_request_has_tried) {
  upstream_table table;
  table.apply(records({"a", "b"}), k_start, false);
  const std::vector<std::string> tried{"a"};
  EXPECT_EQ(choose_id(table, k_start, 1, tried), "b");
}

}  // namespace
}  // namespace cuminpath::gateway
