// Which upstreams of the table are cold, and which of them are chosen.

#include <gtest/gtest.h>

#include "core/gateway/admission.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {
namespace {

constexpr time_point k_start{seconds{100}};
constexpr milliseconds k_cold_start{3000};

class cold_upstreams : public ::testing::Test {
protected:
  cold_upstreams() {
    m_table.set_cold_policies({{"s", {.cold_start = k_cold_start, .max_per_s = 26}}});
    for (milliseconds passed{0}; passed <= seconds{2}; passed += milliseconds{200}) {
      m_limiter.set_members({}, true, k_start - seconds{10} + passed);
    }
  }
  static upstream_record row(const std::string& id, std::uint64_t version, std::optional<int> cold_ms,
                             std::uint64_t started_ms = 1) {
    upstream_record record{.id = id, .service = "s", .address = id + ":80", .availability_zone = "z"};
    record.slots = 100;
    record.started_ms = started_ms;
    record.row_version.number = version;
    record.cold_for = cold_ms ? std::optional(milliseconds(*cold_ms)) : std::nullopt;
    return record;
  }
  void apply(const std::vector<upstream_record>& records, milliseconds at) {
    m_table.apply(records, k_start + at, false);
  }
  // Times in ms after the start at which the upstream is cold, in steps of 100 ms up to 10 s.
  int cold_until(const std::string& id) {
    int until = 0;
    for (int ms = 0; ms < 10'000; ms += 100) {
      until = m_table.find(id)->cold(k_start + milliseconds(ms)) ? ms + 100 : until;
    }
    return until;
  }
  const upstream_table::upstream* choose(time_point now) {
    return m_table.choose("s", {.availability_zone = "z", .cold_limiter = &m_limiter}, now, m_random);
  }

  upstream_table m_table;
  cold_rate_limiter m_limiter{"a"};
  random_source m_random{1};
};

// Guards against times that are extended whenever another row changes, and against a request that is sent to
// a wrong instance again with each heartbeat of the row.
TEST_F(cold_upstreams, counts_the_time_of_a_row_once_from_its_first_application) {
  apply({row("u", 1, 3000)}, milliseconds{0});
  m_table.on_wrong_instance("u");
  apply({row("u", 1, 3000)}, milliseconds{900});
  EXPECT_EQ(cold_until("u"), 3000);
  apply({row("u", 2, 3000)}, milliseconds{1000});
  EXPECT_EQ(cold_until("u"), 4000);
  apply({row("u", 3, 0)}, milliseconds{1100});
  EXPECT_EQ(cold_until("u"), 4000);
  EXPECT_TRUE(m_table.find("u")->wrong_instance);
}

TEST_F(cold_upstreams, trusts_the_rows_of_the_first_list_and_doubts_later_ones) {
  apply({}, milliseconds{0});
  apply({row("warm", 1, 0), row("cold", 2, 1000), row("silent", 3, std::nullopt)}, milliseconds{0});
  EXPECT_EQ(cold_until("warm"), 0);
  EXPECT_EQ(cold_until("cold"), 1000);
  EXPECT_EQ(cold_until("silent"), 3000);
  apply({row("warm", 1, 0), row("cold", 2, 1000), row("new", 4, 0)}, milliseconds{1000});
  EXPECT_EQ(cold_until("new"), 4000);
  // A new instance under the same id.
  apply({row("warm", 5, 0, 2), row("cold", 2, 1000), row("new", 4, 0)}, milliseconds{2000});
  EXPECT_EQ(cold_until("warm"), 5000);
  // A row that lapsed and comes back unchanged, after one that comes back with another instance.
  apply({row("warm", 5, 0, 2)}, milliseconds{2000});
  apply({row("warm", 5, 0, 2), row("cold", 6, 0), row("new", 7, 0, 9)}, milliseconds{6000});
  EXPECT_FALSE(m_table.find("cold")->cold(k_start + milliseconds{6000}));
  EXPECT_EQ(cold_until("new"), 9000);
}

TEST_F(cold_upstreams, are_those_of_a_restored_zone_and_those_that_state_it_in_a_response) {
  apply({row("u", 1, 0)}, milliseconds{0});
  m_table.on_zone_restored("other", k_start);
  EXPECT_EQ(cold_until("u"), 0);
  m_table.on_zone_restored("z", k_start);
  EXPECT_EQ(cold_until("u"), 3000);
  m_table.on_cold_statement("u", milliseconds{2000}, k_start + milliseconds{4000});
  EXPECT_EQ(cold_until("u"), 6000);
  m_table.set_cold_policies({});
  EXPECT_EQ(cold_until("u"), 0);
}

// Guards against an upstream that restarts under its id while this gateway is cut off from its row.
TEST_F(cold_upstreams, are_those_that_respond_again_after_they_were_ejected_for_failed_connects) {
  apply({row("u", 1, 0), row("v", 2, 0), row("w", 3, 0)}, milliseconds{0});
  m_table.on_failure("u", k_start);
  m_table.on_connect_failure("u");
  EXPECT_EQ(cold_until("u"), 0);  // A single failure is no restart.
  for (int i = 0; i < 3; ++i) {
    m_table.on_failure("u", k_start);
    m_table.on_connect_failure("u");
  }
  EXPECT_EQ(cold_until("u"), 10'000);
  m_table.on_success("u", k_start + milliseconds{5000});
  EXPECT_EQ(cold_until("u"), 8000);
}

// Load: a restart of the whole fleet. Guards against refusals while this gateway may still send.
TEST_F(cold_upstreams, get_one_request_each_in_a_second_if_no_other_ones_are_left) {
  std::vector<upstream_record> records;
  records.reserve(20);
  for (int i = 0; i < 20; ++i) {
    records.push_back(row("u" + std::to_string(i), 1, 3000));
  }
  apply(records, milliseconds{0});
  EXPECT_EQ(m_table.totals("s", k_start).cold, 20U);
  EXPECT_EQ(m_table.take_cold_changes(k_start).size(), 20U);
  const admission_request request{.engine = true, .time_left = milliseconds{8000}};
  EXPECT_GE(retry_after(m_table.totals("s", k_start), milliseconds{50}, request, m_random),
            milliseconds{250});
  for (int i = 0; i < 20; ++i) {
    const auto* target = choose(k_start);
    ASSERT_NE(target, nullptr);
    m_limiter.on_sent(target->record.id, target->cold_rules.max_per_s, k_start);
  }
  EXPECT_EQ(choose(k_start), nullptr);
  EXPECT_NE(choose(k_start + milliseconds{1050}), nullptr);
  EXPECT_NE(choose(k_start + milliseconds{3000}), nullptr);
  EXPECT_EQ(m_table.take_cold_changes(k_start + milliseconds{3000}).front().remaining, milliseconds{0});
}

// Second attempts are extra work, and a cold upstream would be a slow choice for them.
TEST_F(cold_upstreams, get_no_second_attempt_even_within_the_rate) {
  apply({row("u", 1, 3000)}, milliseconds{0});
  const choice_options options{.availability_zone = "z", .cold_limiter = &m_limiter, .exclude_cold = true};
  EXPECT_NE(choose(k_start), nullptr);
  EXPECT_EQ(m_table.choose("s", options, k_start, m_random), nullptr);
  EXPECT_NE(m_table.choose("s", options, k_start + milliseconds{3000}, m_random), nullptr);
}

}  // namespace
}  // namespace cuminpath::gateway
