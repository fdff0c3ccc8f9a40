#include "core/routing/router.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "core/routing/retry_budget.h"

namespace cuminpath::routing {
namespace {

constexpr std::uint64_t k_seed = 7;

struct router_test : testing::Test {
  std::vector<upstream_info> fleet(std::size_t size) {
    std::vector<upstream_info> list;
    for (std::size_t i = 0; i < size; ++i) {
      const std::string number = std::to_string(i);
      list.push_back(
          {"engine-" + number, "m", i % 2 == 0 ? "az-1" : "az-2", "r", "10.0.0." + number + ":1", 4});
    }
    return list;
  }
  void report(const std::string& name, std::uint32_t running) {
    wire::load_report value;
    value.upstream = name;
    value.running = running;
    value.slots = 4;
    target.on_load_report(now, value);
  }

  time_point now{seconds(100)};
  random_source random{k_seed};
  router target{router_options{.entry_name = "entry-1", .availability_zone = "az-1", .region = "r"}};
};

// Guards against requests to a host without messages for the suspicion timeout, and against a host that stays
// excluded after it has returned.
TEST_F(router_test, upstream_without_messages_is_suspected_after_two_seconds_until_its_next_message) {
  target.set_upstreams(now, fleet(2));
  now += milliseconds(1900);
  target.on_message(now, "10.0.0.1:1");
  EXPECT_TRUE(target.tick(now).empty());
  now += milliseconds(100);
  const auto suspected = target.tick(now);
  ASSERT_EQ(suspected.size(), 1U);
  EXPECT_EQ(target.upstream(suspected[0]).name, "engine-0");
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(target.upstream(*target.choose(now, {"m", 0, {}}, random)).name, "engine-1");
  }
  target.on_message(now, "10.0.0.0:1");
  EXPECT_EQ(target.upstream(*target.choose(now, {"m", 0, {}}, random)).name, "engine-0");
}

// Guards against upstreams that are suspected, and whose running requests are given up, because the local
// process was suspended.
TEST_F(router_test, suspicion_timeouts_start_again_after_a_pause_of_the_local_process) {
  target.set_upstreams(now, fleet(2));
  now += milliseconds(2800);
  target.on_process_resumed(now);
  EXPECT_TRUE(target.tick(now).empty());
  EXPECT_TRUE(target.choose(now, {"m", 0, {}}, random).has_value());
  EXPECT_TRUE(target.tick(now + milliseconds(1900)).empty());
  EXPECT_EQ(target.tick(now + milliseconds(2000)).size(), 2U);
}

// Guards against traffic that crosses availability zones without need, and against an overloaded availability
// zone that does not use idle capacity in others.
TEST_F(router_test, local_availability_zone_is_used_until_its_load_exceeds_the_limit) {
  target.set_upstreams(now, fleet(8));
  std::map<std::string, int> zones;
  for (int i = 0; i < 200; ++i) {
    ++zones[target.upstream(*target.choose(now, {"m", 0, {}}, random)).availability_zone];
  }
  EXPECT_EQ(zones["az-1"], 200);
  for (const char* name : {"engine-0", "engine-2", "engine-4", "engine-6"}) {
    report(name, 8);
  }
  zones.clear();
  for (int i = 0; i < 200; ++i) {
    ++zones[target.upstream(*target.choose(now, {"m", 0, {}}, random)).availability_zone];
  }
  EXPECT_GT(zones["az-2"], 100);
}

// Guards against state and subscriptions that grow with the fleet.
TEST_F(router_test, subset_is_bounded_and_replaces_unusable_members) {
  target.set_upstreams(now, fleet(500));
  const auto before = target.subset();
  EXPECT_EQ(before.size(), 24U);
  target.on_link_lost(now, target.upstream(before[0]).peer_address);
  EXPECT_EQ(target.subset().size(), 25U);
}

// Guards against a configuration change that loses load or changes the ids of attempts in flight.
TEST_F(router_test, ids_and_state_survive_a_change_of_the_list) {
  auto list = fleet(8);
  target.set_upstreams(now, list);
  const upstream_id kept = *target.find("engine-6");
  list.erase(list.begin());
  target.set_upstreams(now, list);
  EXPECT_EQ(target.find("engine-6"), kept);
  EXPECT_FALSE(target.find("engine-0").has_value());
}

// Guards against retries that multiply the load of a failing fleet.
TEST(retry_budget, attempts_stay_below_the_declared_limit) {
  retry_budget budget;
  int attempts = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.on_first_attempt();
    ++attempts;
    while (budget.try_take()) {
      ++attempts;
    }
  }
  EXPECT_LE(attempts, 1.08 * 10000 + retry_budget::k_defaults.capacity);
  EXPECT_GE(attempts, 1.07 * 10000);
}

}  // namespace
}  // namespace cuminpath::routing
