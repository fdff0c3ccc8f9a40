// Recovery by a new leader of ranks that its predecessor left in the middle of a switch.

#include "core/balancer/switch_coordinator.h"

#include <gtest/gtest.h>

namespace cuminpath::balancer {
namespace {

constexpr time_point k_now{seconds{100}};
constexpr std::uint64_t k_token = 9;

class leader_takeover : public ::testing::Test {
protected:
  leader_takeover() {
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
      rank_view view;
      view.status = {
          .group = "g", .epoch = 1, .rank = rank, .ranks = 2, .open = true, .step = 10, .map_version = 4};
      view.updated_at = k_now;
      m_views.emplace_back(view);
    }
  }
  engine_status& status(std::size_t rank) { return m_views[rank]->status; }
  phase step() {
    m_coordinator.step(m_views, 0, k_token, k_now);
    return m_coordinator.current_phase();
  }

  std::vector<std::optional<rank_view>> m_views;
  switch_coordinator m_coordinator;
};

TEST_F(leader_takeover, finishes_a_switch_that_every_rank_has_prepared) {
  status(0).held = 12;
  status(0).prepared = status(1).prepared = 5;
  status(1).armed = armed_switch{5, 12};
  EXPECT_EQ(step(), phase::arming);
  EXPECT_EQ(m_coordinator.current_directive()->version, 5U);
  EXPECT_EQ(m_coordinator.current_directive()->step, 12U);
  status(0).armed = armed_switch{5, 12};
  EXPECT_EQ(step(), phase::going);
}

TEST_F(leader_takeover, disarms_every_rank_with_its_own_token_before_it_releases_ranks_that_differ) {
  status(0).held = 12;
  status(0).prepared = 5;
  status(0).armed = armed_switch{5, 12};
  status(1).prepared = 6;
  EXPECT_EQ(step(), phase::disarming);
  status(0).armed.reset();
  EXPECT_EQ(step(), phase::disarming);  // A late order could still arm a rank that has not seen the token.
  for (auto& view : m_views) {
    view->disarmed_token = k_token;
    view->disarmed_epoch = 1;
  }
  EXPECT_EQ(step(), phase::releasing);
  EXPECT_EQ(m_coordinator.current_directive()->step, 12U);
  status(0).held.reset();
  EXPECT_EQ(step(), phase::idle);
}

TEST_F(leader_takeover, releases_a_group_that_was_held_before_any_rank_had_a_new_map) {
  status(1).held = 12;
  EXPECT_EQ(step(), phase::releasing);
  EXPECT_EQ(m_coordinator.current_directive()->holder, 1U);
}

TEST_F(leader_takeover, waits_for_the_pass_of_a_group_that_has_been_released) {
  status(0).prepared = status(1).prepared = 5;
  status(0).armed = status(1).armed = armed_switch{5, 12};
  EXPECT_EQ(step(), phase::going);
}

TEST_F(leader_takeover, issues_no_directive_while_a_rank_is_unknown_or_with_a_token_that_is_not_the_highest) {
  status(0).held = 12;
  m_views[1]->updated_at = k_now - seconds{2};
  EXPECT_EQ(step(), phase::idle);
  m_views[1]->updated_at = k_now;
  m_views[1]->followed_token = k_token + 1;
  EXPECT_EQ(step(), phase::idle);
  EXPECT_EQ(m_coordinator.outdated_token(), k_token);
  m_coordinator.step(m_views, 0, k_token + 2, k_now);
  EXPECT_EQ(m_coordinator.current_phase(), phase::releasing);
}

class stopping_leader : public leader_takeover {
protected:
  stopping_leader() {
    EXPECT_TRUE(m_coordinator.start(m_views, k_token, 5, {}, k_now));
    EXPECT_EQ(step(), phase::preparing);
  }
  void prepare_all() { status(0).prepared = status(1).prepared = 5; }
  std::uint64_t step_of_switch() { return m_coordinator.current_directive()->step; }
};

TEST_F(stopping_leader, gives_up_a_switch_that_is_being_prepared_and_starts_no_other) {
  prepare_all();
  m_coordinator.stop_switching();
  EXPECT_EQ(step(), phase::idle);
  EXPECT_FALSE(m_coordinator.holds_group(m_views));
  EXPECT_FALSE(m_coordinator.start(m_views, k_token, 6, {}, k_now));
  EXPECT_EQ(step(), phase::idle);
}

TEST_F(stopping_leader, ends_a_switch_whose_hold_has_been_ordered) {
  prepare_all();
  EXPECT_EQ(step(), phase::holding);
  m_coordinator.stop_switching();
  EXPECT_EQ(step(), phase::holding);
  EXPECT_TRUE(m_coordinator.holds_group(m_views));  // The order may be under way.
  status(0).held = step_of_switch();
  EXPECT_EQ(step(), phase::arming);
  status(0).armed = status(1).armed = armed_switch{5, step_of_switch()};
  EXPECT_EQ(step(), phase::going);
  EXPECT_TRUE(m_coordinator.holds_group(m_views));
  status(0).held.reset();
  EXPECT_FALSE(m_coordinator.holds_group(m_views));  // The group goes on by itself.
  EXPECT_EQ(step(), phase::going);
}

TEST_F(stopping_leader, disarms_and_releases_a_switch_that_cannot_be_ended) {
  prepare_all();
  EXPECT_EQ(step(), phase::holding);
  status(0).held = step_of_switch();
  EXPECT_EQ(step(), phase::arming);
  status(0).armed = armed_switch{5, step_of_switch()};
  status(1).prepared.reset();
  m_coordinator.stop_switching();
  EXPECT_EQ(step(), phase::idle);
  EXPECT_EQ(m_coordinator.outdated_token(), k_token);
  EXPECT_TRUE(m_coordinator.holds_group(m_views));
  constexpr std::uint64_t k_new_token = k_token + 1;
  const auto step_with_new_token = [this] {
    m_coordinator.step(m_views, 0, k_new_token, k_now);
    return m_coordinator.current_phase();
  };
  EXPECT_EQ(step_with_new_token(), phase::disarming);
  status(0).armed.reset();
  for (auto& view : m_views) {
    view->disarmed_token = k_new_token;
    view->disarmed_epoch = 1;
  }
  EXPECT_EQ(step_with_new_token(), phase::releasing);
  EXPECT_TRUE(m_coordinator.holds_group(m_views));
  status(0).held.reset();
  EXPECT_EQ(step_with_new_token(), phase::idle);
  EXPECT_FALSE(m_coordinator.holds_group(m_views));
}

}  // namespace
}  // namespace cuminpath::balancer
