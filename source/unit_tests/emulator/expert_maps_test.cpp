#include "emulator/expert_maps.h"

#include <gtest/gtest.h>

namespace cuminpath::emulator {
namespace {

using verdict = expert_maps::verdict;

const json k_new_map = {{"layers", {{{0, 1, 2}, {3, 1}}}}};

expert_maps two_ranks(bool ignore_fencing = false) {
  return expert_maps({.layers = 1,
                      .experts = 4,
                      .ranks = 2,
                      .rank = 0,
                      .drift_steps = 10,
                      .ignore_fencing = ignore_fencing});
}

// Guards against an emulator that runs a step on a map before the switch is decided.
TEST(expert_maps, an_armed_rank_holds_at_the_step_until_go) {
  auto maps = two_ranks();
  maps.prepare("1", "new", k_new_map);
  // Rank 0 has experts 0 and 2 at the start.
  EXPECT_EQ(maps.missing(), (std::vector<expert_maps::expert_position>{{0, 1}}));
  EXPECT_EQ(maps.arm("1", 10, 5), verdict::wrong_switch);
  maps.set_prepared("1");
  EXPECT_EQ(maps.arm("1", 5, 5), verdict::step_passed);
  EXPECT_EQ(maps.arm("1", 10, 5), verdict::accepted);
  EXPECT_FALSE(maps.holds(9));
  EXPECT_TRUE(maps.holds(10));
  EXPECT_EQ(maps.go("1", 9, true), verdict::accepted);
  EXPECT_FALSE(maps.holds(10));
  EXPECT_EQ(maps.digest_at(9), "initial");
  EXPECT_EQ(maps.digest_at(10), "new");
  maps.run_step(10, 0);
  EXPECT_EQ(maps.go("1", 12, true), verdict::accepted);  // A repeated order is harmless.
  EXPECT_EQ(maps.abort("1"), verdict::wrong_switch);
  EXPECT_EQ(maps.history(), json({{{"step", 0}, {"digest", "initial"}}, {{"step", 10}, {"digest", "new"}}}));
}

// Guards against an aborted switch that takes effect or keeps the rank waiting.
TEST(expert_maps, an_aborted_switch_keeps_the_old_map) {
  auto maps = two_ranks();
  maps.prepare("1", "new", k_new_map);
  maps.set_prepared("1");
  ASSERT_EQ(maps.arm("1", 10, 5), verdict::accepted);
  EXPECT_EQ(maps.abort("1"), verdict::accepted);
  EXPECT_FALSE(maps.holds(10));
  EXPECT_EQ(maps.go("1", 9, true), verdict::wrong_switch);
  EXPECT_EQ(maps.digest_at(10), "initial");
}

// Guards against an engine that takes orders of a coordinator that was replaced.
TEST(expert_maps, stale_fencing_tokens_are_refused_unless_ignored) {
  auto maps = two_ranks();
  EXPECT_TRUE(maps.accept_fencing(3));
  EXPECT_FALSE(maps.accept_fencing(2));
  EXPECT_TRUE(maps.accept_fencing(3));
  auto ignoring = two_ranks(true);
  EXPECT_TRUE(ignoring.accept_fencing(3));
  EXPECT_TRUE(ignoring.accept_fencing(2));
}

// Guards against an engine that forgets the map that the other ranks switch to, because it prepares another
// one before it has run the first step on it.
TEST(expert_maps, no_other_switch_is_prepared_before_an_armed_or_committed_one_took_effect) {
  auto maps = two_ranks();
  ASSERT_EQ(maps.prepare("1", "new", k_new_map), verdict::accepted);
  ASSERT_EQ(maps.set_prepared("1"), verdict::accepted);
  ASSERT_EQ(maps.arm("1", 10, 5), verdict::accepted);
  EXPECT_EQ(maps.prepare("2", "other", k_new_map), verdict::wrong_switch);
  ASSERT_EQ(maps.go("1", 8, true), verdict::accepted);
  EXPECT_EQ(maps.prepare("2", "other", k_new_map), verdict::wrong_switch);
  EXPECT_EQ(maps.digest_at(10), "new");
  maps.run_step(10, 0);
  EXPECT_EQ(maps.prepare("2", "other", k_new_map), verdict::accepted);
}

// Guards against a restarted agent that takes its engine for idle, and against the aborted switch's messages
// that come late: the engine reports how its last switch ended.
TEST(expert_maps, the_state_tells_how_the_last_switch_ended) {
  auto maps = two_ranks();
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
  ASSERT_TRUE(maps.accept_fencing(4));
  maps.prepare("1", "new", k_new_map);
  EXPECT_EQ(field(2, "phase"), "preparing");
  ASSERT_EQ(maps.abort("1"), verdict::accepted);
  EXPECT_EQ(maps.set_prepared("1"), verdict::wrong_switch);  // Its weights are loaded only now.
  EXPECT_EQ(field(2, "phase"), "aborted");
  EXPECT_EQ(field(2, "switch"), 1);
  EXPECT_EQ(maps.prepare("1", "new", k_new_map), verdict::wrong_switch);
  maps.prepare("2", "new", k_new_map);
  maps.set_prepared("2");
  maps.arm("2", 10, 5);
  EXPECT_EQ(field(6, "phase"), "armed");
  maps.go("2", 8, true);
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

// Guards against expert loads that do not drift, so that a planner is never needed.
TEST(expert_maps, popularity_is_skewed_and_drifts) {
  auto maps = two_ranks();
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
