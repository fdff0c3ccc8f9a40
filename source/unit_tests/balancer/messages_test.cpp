#include "core/balancer/messages.h"

#include <gtest/gtest.h>

#include "unit_tests/support/nested_input.h"
#include "unit_tests/support/small_stack.h"

namespace cuminpath::balancer {
namespace {

TEST(messages, a_report_round_trips) {
  rank_report sent{.host = "h",
                   .incarnation = 3,
                   .sequence = 4,
                   .report_address = "10.0.0.1:7340",
                   .engine_address = "10.0.0.1:80",
                   .interval = milliseconds{2000},
                   .may_lead = false,
                   .loads = {1, 2, 255}};
  sent.view.status = {.group = "g",
                      .epoch = 2,
                      .rank = 1,
                      .ranks = 8,
                      .open = true,
                      .busy = true,
                      .step = 99,
                      .map_version = 5,
                      .prepared = 6,
                      .armed = armed_switch{6, 101},
                      .held = 101};
  sent.view.disarmed_token = 12;
  sent.view.refused_token = 6;
  sent.view.followed_token = 7;
  sent.view.fenced = {.token = 8, .epoch = 2};
  sent.view.armed_token = 9;
  sent.view.armed_version = 10;
  sent.view.checked = {.version = 11, .round = 3};
  sent.view.latched = {.epoch = 2, .version = 13, .leader = 14};
  sent.experts = engine_experts{.epoch = 2, .map_version = 5, .experts = {{1, 2}, {3}}};
  const auto read = decode(encode(sent));
  ASSERT_TRUE(read);
  const auto& received = std::get<rank_report>(read.value());
  EXPECT_EQ(received.view.status.armed, (armed_switch{6, 101}));
  EXPECT_EQ(received.view.status.held, 101U);
  EXPECT_EQ(received.view.status.prepared, 6U);
  EXPECT_EQ(received.view.disarmed_token, 12U);
  EXPECT_EQ(received.view.refused_token, 6U);
  EXPECT_EQ(received.view.followed_token, 7U);
  EXPECT_EQ(received.view.fenced, sent.view.fenced);
  EXPECT_EQ(received.view.armed_token, 9U);
  EXPECT_EQ(received.view.armed_version, 10U);
  EXPECT_EQ(received.view.checked, sent.view.checked);
  EXPECT_EQ(received.view.latched, sent.view.latched);
  EXPECT_EQ(received.loads, sent.loads);
  EXPECT_EQ(received.interval, milliseconds{2000});
  EXPECT_FALSE(received.may_lead);
  ASSERT_TRUE(received.experts);
  EXPECT_EQ(received.experts->experts, sent.experts->experts);
}

TEST(messages, a_directive_round_trips) {
  group_directive sent{.group = "g", .token = 4, .relay = {0, 3, 1}};
  sent.value = directive{.kind = phase::preparing,
                         .token = 4,
                         .epoch = 2,
                         .version = 9,
                         .leader = 5,
                         .round = 6,
                         .absent = 7,
                         .map = {{{1, 2}, {0}}, {{300}, {}}}};
  const auto read = decode(encode(sent));
  ASSERT_TRUE(read);
  const auto& received = std::get<group_directive>(read.value());
  ASSERT_TRUE(received.value);
  EXPECT_EQ(received.value->map, sent.value->map);
  EXPECT_EQ(received.value->token, 4U);
  EXPECT_EQ(received.value->leader, 5U);
  EXPECT_EQ(received.value->round, 6U);
  EXPECT_EQ(received.value->absent, 7U);
  EXPECT_EQ(received.relay, sent.relay);
  const auto end = decode(encode(group_directive{.group = "g", .token = 4}));
  ASSERT_TRUE(end);
  EXPECT_FALSE(std::get<group_directive>(end.value()).value);
}

// docs/CAPACITY.md calculates with these sizes.
TEST(messages, reports_and_maps_stay_within_their_size_limits) {
  rank_report sent{.host = "side-ankleshwar-125",
                   .incarnation = ~std::uint64_t{0} >> 1U,
                   .sequence = 1'000'000,
                   .report_address = "10.113.127.129:17340",
                   .engine_address = "10.113.127.129:18200"};
  sent.view.status = {.group = "group-1",
                      .epoch = 20,
                      .rank = 95,
                      .ranks = 96,
                      .step = 1'000'000,
                      .map_version = 10'000'000,
                      .prepared = 10'000'001,
                      .armed = armed_switch{10'000'001, 1'000'001}};
  sent.view.disarmed_token = sent.view.followed_token = sent.view.armed_token = 10'000;
  sent.view.fenced = {.token = 10'000, .epoch = 20};
  sent.view.armed_version = 10'000'001;
  sent.view.checked = {.version = 10'000'001, .round = 2};
  sent.view.latched = {.epoch = 20, .version = 10'000'001, .leader = 95};
  EXPECT_LE(encode(sent).size(), 300U);
  sent.loads.assign(std::size_t{16} * 192, 500);
  EXPECT_LE(encode(sent).size(), 3400U);
  // 16 layers, 96 ranks with three of 192 experts each, and the order in which the map is relayed.
  group_directive prepare{.group = "group-1", .token = 10'000};
  prepare.value = directive{.kind = phase::preparing,
                            .version = 10'000'001,
                            .map = rank_map(16, std::vector<std::vector<std::uint32_t>>(96))};
  for (std::uint32_t rank = 0; rank < 96; ++rank) {
    prepare.relay.push_back(rank);
    for (auto& layer : prepare.value->map) {
      layer[rank] = {rank, rank + 96, (rank + 1) % 192};
    }
  }
  EXPECT_LE(encode(prepare).size(), 8500U);
}

TEST(messages, loads_are_precise_to_a_255th_of_the_highest) {
  rank_report sent{.host = "h", .loads = {0, 1, 1000, 255'000, 999'999}};
  const auto read = decode(encode(sent));
  ASSERT_TRUE(read);
  const auto& loads = std::get<rank_report>(read.value()).loads;
  ASSERT_EQ(loads.size(), sent.loads.size());
  for (std::size_t i = 0; i < loads.size(); ++i) {
    EXPECT_NEAR(static_cast<double>(loads[i]), static_cast<double>(sent.loads[i]), 1'000'000.0 / 255) << i;
  }
}

TEST(messages, refuses_a_map_whose_counts_exceed_its_bytes) {
  group_directive sent{.group = "g", .token = 4};
  sent.value = directive{.kind = phase::preparing, .version = 9, .map = {{{1, 2}, {0}}}};
  const std::string encoded = encode(sent);
  const std::string map("\x01\x02\x02\x01\x02\x01\x00", 7);
  const auto at = encoded.find(map);
  ASSERT_NE(at, std::string::npos);
  for (const std::size_t i : {0U, 1U, 2U, 5U, 6U}) {  // The numbers of layers, ranks and experts.
    std::string malformed = encoded;
    malformed[at + i] = '\xff';
    EXPECT_FALSE(decode(malformed)) << i;
  }
}

// Decoding recurses once a level; the bytes are as many as a datagram can have.
TEST(messages, refuses_deep_nesting) {
  EXPECT_FALSE(decode(std::string(65'507, '\x91')));
}

TEST(messages, refuses_malformed_messages) {
  EXPECT_FALSE(decode(""));
  EXPECT_FALSE(decode("\x92\x01\x09"));
  const std::string encoded = encode(group_directive{.group = "g", .token = 4});
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    EXPECT_FALSE(decode(std::string_view(encoded).substr(0, size)));
  }
}

TEST(messages, deeply_nested_messages_do_not_exhaust_the_stack) {
  ASSERT_TRUE(support::run_on_small_stack([] {
    for (const std::size_t depth : support::k_nesting_depths) {
      for (const std::string& bytes : support::nested_msgpack(depth)) {
        EXPECT_FALSE(decode(bytes)) << depth;
      }
    }
  }));
}

}  // namespace
}  // namespace cuminpath::balancer
