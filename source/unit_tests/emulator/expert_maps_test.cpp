#include "emulator/expert_maps.h"

#include <gtest/gtest.h>

namespace cuminpath::emulator {
namespace {

using order_result = expert_maps::order_result;

const json k_new_map = {{"layers", {{{0, 1, 2}, {3, 1}}}}};

expert_maps first_rank_of_two(bool ignore_fencing = false) {
  return expert_maps({.layers = 1,
                      .experts = 4,
                      .ranks = 2,
                      .rank = 0,
                      .drift_steps = 10,
                      .ignore_fencing = ignore_fencing});
}

// Guards against an emulator that runs the switch step before the switch has been committed or aborted.
TEST(expert_maps, an_armed_rank_waits_before_the_switch_step_until_commit) {
  auto maps = first_rank_of_two();
  maps.prepare("1", "new", k_new_map);
  // Rank 0 has experts 0 and 2 initially.
  EXPECT_EQ(maps.missing_experts(), (std::vector<expert_maps::expert_position>{{0, 1}}));
  EXPECT_EQ(maps.arm("1", 10, 5), order_result::wrong_switch);
  maps.set_prepared("1");
  EXPECT_EQ(maps.arm("1", 5, 5), order_result::step_passed);
  EXPECT_EQ(maps.arm("1", 10, 5), order_result::accepted);
  EXPECT_FALSE(maps.blocks_step(9));
  EXPECT_TRUE(maps.blocks_step(10));
  EXPECT_EQ(maps.commit("1", 9, true), order_result::accepted);
  EXPECT_FALSE(maps.blocks_step(10));
  EXPECT_EQ(maps.digest_for_step(9), "initial");
  EXPECT_EQ(maps.digest_for_step(10), "new");
  maps.run_step(10, 0);
  EXPECT_EQ(maps.commit("1", 12, true), order_result::accepted);  // A repeated order has no effect.
  EXPECT_EQ(maps.abort("1"), order_result::wrong_switch);
  EXPECT_EQ(maps.history(), json({{{"step", 0}, {"digest", "initial"}}, {{"step", 10}, {"digest", "new"}}}));
}

// Guards against an aborted switch that takes effect or keeps the rank waiting.
TEST(expert_maps, an_aborted_switch_keeps_the_old_map) {
  auto maps = first_rank_of_two();
  maps.prepare("1", "new", k_new_map);
  maps.set_prepared("1");
  ASSERT_EQ(maps.arm("1", 10, 5), order_result::accepted);
  EXPECT_EQ(maps.abort("1"), order_result::accepted);
  EXPECT_FALSE(maps.blocks_step(10));
  EXPECT_EQ(maps.commit("1", 9, true), order_result::wrong_switch);
  EXPECT_EQ(maps.digest_for_step(10), "initial");
}

// Guards against an engine that accepts orders from a coordinator that has been replaced.
TEST(expert_maps, stale_fencing_tokens_are_refused_unless_ignored) {
  auto maps = first_rank_of_two();
  EXPECT_TRUE(maps.accept_fencing_token(3));
  EXPECT_FALSE(maps.accept_fencing_token(2));
  EXPECT_TRUE(maps.accept_fencing_token(3));
  auto ignoring = first_rank_of_two(true);
  EXPECT_TRUE(ignoring.accept_fencing_token(3));
  EXPECT_TRUE(ignoring.accept_fencing_token(2));
}

// Guards against an engine that forgets the map that the other ranks switch to because it prepares another
// map before it has run the first step on that one.
TEST(expert_maps, a_new_switch_is_refused_until_an_armed_or_committed_one_is_applied) {
  auto maps = first_rank_of_two();
  ASSERT_EQ(maps.prepare("1", "new", k_new_map), order_result::accepted);
  ASSERT_EQ(maps.set_prepared("1"), order_result::accepted);
  ASSERT_EQ(maps.arm("1", 10, 5), order_result::accepted);
  EXPECT_EQ(maps.prepare("2", "other", k_new_map), order_result::wrong_switch);
  ASSERT_EQ(maps.commit("1", 8, true), order_result::accepted);
  EXPECT_EQ(maps.prepare("2", "other", k_new_map), order_result::wrong_switch);
  EXPECT_EQ(maps.digest_for_step(10), "new");
  maps.run_step(10, 0);
  EXPECT_EQ(maps.prepare("2", "other", k_new_map), order_result::accepted);
}

// Guards against a restarted agent that considers its engine idle, and against late messages of an aborted
// switch. The engine therefore reports how its last switch ended.
TEST(expert_maps, the_map_state_reports_how_the_last_switch_ended) {
  auto maps = first_rank_of_two();
  const auto field = [&maps](std::uint64_t next_step, const char* key) {
    return maps.map_state(next_step)[key];
  };
  EXPECT_EQ(maps.map_state(1), json({{"fencing", 0},
                                     {"switch", 0},
                                     {"phase", "idle"},
                                     {"switch_step", 0},
                                     {"step", 1},
                                     {"digest", "initial"},
                                     {"new_digest", ""}}));
  ASSERT_TRUE(maps.accept_fencing_token(4));
  maps.prepare("1", "new", k_new_map);
  EXPECT_EQ(field(2, "phase"), "preparing");
  ASSERT_EQ(maps.abort("1"), order_result::accepted);
  EXPECT_EQ(maps.set_prepared("1"),
            order_result::wrong_switch);  // The weights finish loading after the abort.
  EXPECT_EQ(field(2, "phase"), "aborted");
  EXPECT_EQ(field(2, "switch"), 1);
  EXPECT_EQ(maps.prepare("1", "new", k_new_map), order_result::wrong_switch);
  maps.prepare("2", "new", k_new_map);
  maps.set_prepared("2");
  maps.arm("2", 10, 5);
  EXPECT_EQ(field(6, "phase"), "armed");
  maps.commit("2", 8, true);
  EXPECT_EQ(field(10, "digest"), "initial");
  maps.run_step(10, 0);
  EXPECT_EQ(maps.map_state(11), json({{"fencing", 4},
                                      {"switch", 2},
                                      {"phase", "committed"},
                                      {"switch_step", 10},
                                      {"step", 11},
                                      {"digest", "new"},
                                      {"new_digest", "new"}}));
}

// Guards against expert loads that are even or do not drift, with which a planner would never be needed.
TEST(expert_maps, popularity_is_skewed_and_drifts) {
  auto maps = first_rank_of_two();
  maps.run_step(0, 1000);
  const auto before = maps.load_counts();
  EXPECT_GT(before[0][0], before[0][1]);
  maps.run_step(10, 1000);
  const auto after = maps.load_counts();
  EXPECT_GT(after[0][1].get<int>() - before[0][1].get<int>(),
            after[0][0].get<int>() - before[0][0].get<int>());
  EXPECT_GT(maps.relative_load(0), 1.0);
}

}  // namespace
}  // namespace cuminpath::emulator
