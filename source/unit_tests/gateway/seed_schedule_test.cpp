#include "core/gateway/seed_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace cuminpath::gateway {
namespace {

using contact = seed_schedule::contact;

constexpr time_point k_start{seconds{100}};
constexpr milliseconds k_tick{50};

std::vector<time_point> calls(seed_schedule& schedule, contact state, time_point from, time_point until,
                              random_source& random) {
  std::vector<time_point> found;
  for (time_point now = from; now < until; now += k_tick) {
    if (schedule.take_due(state, now, random)) {
      found.push_back(now);
    }
  }
  return found;
}

// Guards against a gateway that the store rejects and that nobody tells of changes.
TEST(seed_schedule, a_gateway_that_hears_from_nobody_keeps_asking) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    random_source random(seed);
    seed_schedule schedule;
    EXPECT_EQ(calls(schedule, contact::starting, k_start, k_start + seconds{1}, random).size(), 4U);
    const time_point ready = k_start + seconds{1};
    const auto alone = calls(schedule, contact::alone, ready, ready + seconds{60}, random);
    ASSERT_GE(alone.size(), 2U);
    EXPECT_LE(alone[0] - ready, seed_schedule::k_first_interval);
    EXPECT_LE(alone[1] - alone[0], 2 * seed_schedule::k_first_interval + k_tick);
    for (std::size_t i = 1; i < alone.size(); ++i) {
      EXPECT_LE(alone[i] - alone[i - 1], seed_schedule::k_last_interval + k_tick);
    }
    EXPECT_GE(alone.back(), ready + seconds{57});
  }
}

TEST(seed_schedule, asks_no_more_once_it_hears_from_another_gateway_or_the_store) {
  random_source random(1);
  seed_schedule schedule;
  EXPECT_FALSE(calls(schedule, contact::alone, k_start, k_start + seconds{10}, random).empty());
  EXPECT_TRUE(
      calls(schedule, contact::in_touch, k_start + seconds{10}, k_start + seconds{70}, random).empty());
  // Reports may be late for a moment, so it does not ask at once.
  const time_point lost = k_start + seconds{70};
  const auto again = calls(schedule, contact::alone, lost, lost + seconds{2}, random);
  ASSERT_FALSE(again.empty());
  EXPECT_GE(again.front() - lost, seed_schedule::k_first_interval / 2);
  EXPECT_LE(again.front() - lost, seed_schedule::k_first_interval + k_tick);
}

// Guards against more calls in any second than a seed bears while a fleet starts.
TEST(seed_schedule, gateways_that_are_alone_call_a_seed_less_often_than_starting_ones) {
  constexpr std::size_t k_seeds = 3;
  for (const std::size_t size : {30U, 148U, 300U}) {
    const auto busiest_second = [&](contact state, milliseconds duration) {
      random_source random(size);
      std::map<std::int64_t, std::vector<std::size_t>> by_tick;
      for (std::size_t i = 0; i < size; ++i) {
        seed_schedule schedule;
        for (const time_point at : calls(schedule, state, k_start, k_start + duration, random)) {
          by_tick[(at - k_start) / k_tick].push_back(random_index(random, k_seeds));
        }
      }
      std::size_t most = 0;
      for (const auto& [first, unused] : by_tick) {
        std::vector<std::size_t> of_seed(k_seeds);
        for (auto each = by_tick.lower_bound(first); each != by_tick.lower_bound(first + 20); ++each) {
          for (const std::size_t called : each->second) {
            ++of_seed[called];
          }
        }
        most = std::max(most, *std::max_element(of_seed.begin(), of_seed.end()));
      }
      return most;
    };
    const std::size_t starting = busiest_second(contact::starting, seconds{1});
    const std::size_t alone = busiest_second(contact::alone, seconds{60});
    EXPECT_LE(alone, starting) << size;
    RecordProperty("starting_" + std::to_string(size), static_cast<int>(starting));
    RecordProperty("alone_" + std::to_string(size), static_cast<int>(alone));
  }
}

// Guards against rejected gateways that know only each other and hear of no change.
TEST(seed_schedule, gateways_that_are_cut_off_together_are_not_in_touch) {
  const std::vector<std::string> seeds{"seed:1"};
  const auto contact_with = [&](const std::optional<member_report>& other, member_report local = {}) {
    local.state = member_state::ready;
    member_list members({});
    if (other) {
      members.on_report(*other, k_start);
    }
    return seed_schedule::find_contact(local, members, seeds, k_start);
  };
  EXPECT_EQ(contact_with(std::nullopt), contact::alone);
  EXPECT_EQ(contact_with(std::nullopt, {.reads_store = true}), contact::in_touch);
  EXPECT_EQ(contact_with(member_report{.name = "g", .mirror_address = "g:1"}), contact::alone);
  EXPECT_EQ(contact_with(member_report{.name = "g", .mirror_address = "g:1", .reads_store = true}),
            contact::in_touch);
  EXPECT_EQ(contact_with(member_report{.name = "s", .mirror_address = "seed:1"}), contact::in_touch);
}

}  // namespace
}  // namespace cuminpath::gateway
