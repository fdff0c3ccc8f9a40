// Recovery by a new leader of ranks that its predecessor left in the middle of a switch.

#include "core/balancer/switch_coordinator.h"

#include <gtest/gtest.h>

namespace cuminpath::balancer {
namespace {

constexpr time_point k_now{seconds{100}};
constexpr std::uint64_t k_token = 9;
constexpr std::uint64_t k_version = first_version_of_token(k_token) + 1;

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
  phase step(std::uint64_t token = k_token) {
    m_coordinator.step(m_views, 0, token, k_now);
    return m_coordinator.current_phase();
  }
  // Takes the step of a leader that takes over, and lets every rank refuse the orders of its predecessors.
  phase step_after_fence(std::uint64_t token = k_token) {
    EXPECT_EQ(step(token), phase::fencing);
    EXPECT_EQ(step(token), phase::fencing);
    for (auto& view : m_views) {
      view->fenced = {.token = token, .epoch = 1};
    }
    return step(token);
  }
  void arm(std::size_t rank, armed_switch value, std::uint64_t token = k_token) {
    status(rank).armed = value;
    m_views[rank]->armed_token = token;
    m_views[rank]->armed_version = value.version;
  }

  std::vector<std::optional<rank_view>> m_views;
  switch_coordinator m_coordinator;
};

TEST_F(leader_takeover, finishes_a_switch_that_every_rank_has_prepared) {
  status(0).held = 12;
  status(0).prepared = status(1).prepared = 5;
  status(1).armed = armed_switch{5, 12};
  EXPECT_EQ(step_after_fence(), phase::arming);
  EXPECT_EQ(m_coordinator.current_directive()->version, 5U);
  EXPECT_EQ(m_coordinator.current_directive()->step, 12U);
  EXPECT_EQ(step(), phase::arming);  // A late order of the predecessor could disarm rank 1.
  arm(1, {5, 12});
  EXPECT_EQ(step(), phase::arming_leader);
  arm(0, {5, 12});
  EXPECT_EQ(step(), phase::going);
}

TEST_F(leader_takeover, disarms_every_rank_with_its_own_token_before_it_releases_ranks_that_differ) {
  status(0).held = 12;
  status(0).prepared = 5;
  status(0).armed = armed_switch{5, 12};
  status(1).prepared = 6;
  EXPECT_EQ(step_after_fence(), phase::disarming);
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
  EXPECT_EQ(m_coordinator.outdated_token(), k_token);  // A late `go` could release the next switch.
}

TEST_F(leader_takeover, releases_a_group_that_was_held_before_any_rank_had_a_new_map) {
  status(1).held = 12;
  EXPECT_EQ(step_after_fence(), phase::releasing);
  EXPECT_EQ(m_coordinator.current_directive()->holder, 1U);
}

TEST_F(leader_takeover, waits_for_the_pass_of_a_group_that_has_been_released) {
  status(0).prepared = status(1).prepared = 5;
  status(0).armed = status(1).armed = armed_switch{5, 12};
  EXPECT_EQ(step_after_fence(), phase::fencing);
  status(0).armed.reset();
  status(1).armed.reset();
  EXPECT_EQ(step(), phase::idle);
}

// Guards against a `disarm` that reaches some ranks before the pass of the switch and others after it.
TEST_F(leader_takeover, waits_for_the_pass_of_a_switch_that_comes_before_the_one_that_is_held) {
  status(0).prepared = status(1).prepared = 5;
  status(0).armed = status(1).armed = armed_switch{5, 12};
  status(1).held = 13;
  EXPECT_EQ(step_after_fence(), phase::fencing);
  for (std::size_t rank = 0; rank < 2; ++rank) {
    status(rank).armed.reset();
    status(rank).prepared.reset();
    status(rank).map_version = 5;
  }
  EXPECT_EQ(step(), phase::releasing);
}

TEST_F(leader_takeover, issues_no_directive_while_a_rank_is_unknown_or_with_a_token_that_is_not_the_highest) {
  status(0).held = 12;
  m_views[1]->updated_at = k_now - seconds{2};
  EXPECT_EQ(step(), phase::fencing);  // Releases nothing.
  m_views[0]->fenced = {.token = k_token, .epoch = 1};
  EXPECT_EQ(step(), phase::fencing);
  m_views[1]->updated_at = k_now;
  m_views[1]->followed_token = k_token + 1;
  EXPECT_EQ(step(), phase::idle);
  EXPECT_EQ(m_coordinator.outdated_token(), k_token);
  EXPECT_EQ(step_after_fence(k_token + 2), phase::releasing);
}

// Rank 0, beside which the predecessor leads, cannot be read. Rank 1 is the local one.
class takeover_without_rank : public ::testing::Test {
protected:
  static constexpr std::uint64_t k_previous_token = 7;
  static constexpr std::uint64_t k_switch_version = first_version_of_token(k_previous_token) + 1;

  takeover_without_rank() {
    for (std::uint32_t rank = 0; rank < 4; ++rank) {
      rank_view view;
      view.status = {.group = "g", .epoch = 1, .rank = rank, .ranks = 4, .open = true, .step = 10};
      view.status.prepared = k_switch_version;
      view.updated_at = rank == 0 ? k_now - seconds{1} : k_now;
      view.fenced = {.token = k_token, .epoch = 1};
      if (rank > 0) {
        view.status.armed = armed_switch{k_switch_version, 12};
        view.latched = {.epoch = 1, .version = k_switch_version, .leader = 0};
      }
      m_views.emplace_back(view);
    }
    m_views[1]->status.held = 12;
    m_coordinator.set_previous_token(k_token, k_previous_token);
  }
  phase decide() {
    m_coordinator.step(m_views, 1, k_token, k_now);
    m_coordinator.step(m_views, 1, k_token, k_now);
    return m_coordinator.current_phase();
  }

  std::vector<std::optional<rank_view>> m_views;
  switch_coordinator m_coordinator;
};

TEST_F(takeover_without_rank, releases_the_group_if_another_rank_was_never_armed) {
  m_views[3]->status.armed.reset();
  EXPECT_EQ(decide(), phase::disarming);
  EXPECT_EQ(m_coordinator.current_directive()->absent, 0U);
  EXPECT_FALSE(has_to_act(*m_views[0], *m_coordinator.current_directive()));
  for (std::size_t rank = 1; rank < 4; ++rank) {
    m_views[rank]->status.armed.reset();
    m_views[rank]->disarmed_token = k_token;
    m_views[rank]->disarmed_epoch = 1;
  }
  EXPECT_EQ(decide(), phase::releasing);
  m_views[1]->status.held.reset();
  EXPECT_EQ(decide(), phase::idle);
}

// Each of these guards against a rank that switches alone.
TEST_F(takeover_without_rank, waits_if_the_absent_rank_may_be_armed) {
  EXPECT_EQ(decide(), phase::fencing) << "all others are armed";
  m_views[3]->status.armed.reset();
  m_views[3]->fenced = {};
  EXPECT_EQ(decide(), phase::fencing) << "a late order may still arm rank 3";
  m_views[3]->fenced = m_views[2]->fenced;
  m_views[3]->read_by_own_balancer = false;
  EXPECT_EQ(decide(), phase::fencing) << "the status of rank 3 may be older than its fence";
  m_views[3]->read_by_own_balancer = true;
  m_coordinator.set_previous_token(k_token, k_previous_token + 1);
  EXPECT_EQ(decide(), phase::fencing) << "another leader may have disarmed rank 3";
  m_coordinator.set_previous_token(k_token, k_previous_token);
  const auto latched = m_views[3]->latched;
  for (std::size_t rank = 1; rank < 4; ++rank) {
    m_views[rank]->latched = {.epoch = 1, .version = k_switch_version, .leader = 2};
  }
  EXPECT_EQ(decide(), phase::fencing) << "rank 0 was not ordered last";
  for (std::size_t rank = 1; rank < 4; ++rank) {
    m_views[rank]->latched = {};
  }
  EXPECT_EQ(decide(), phase::fencing) << "rank 0 may have been armed by an earlier leader";
  m_views[3]->latched = latched;
  m_views[2]->updated_at = k_now - seconds{1};
  EXPECT_EQ(decide(), phase::fencing) << "two ranks are absent";
  m_views[2]->updated_at = k_now;
  EXPECT_EQ(decide(), phase::disarming);
}

// Guards against versions of maps that count as those of the next token.
TEST_F(leader_takeover, needs_a_new_token_once_all_versions_of_its_token_are_used) {
  const std::uint64_t last = first_version_of_token(k_token + 1) - 1;
  EXPECT_FALSE(m_coordinator.start(m_views, k_token, last + 1, {}, k_now));
  EXPECT_EQ(m_coordinator.outdated_token(), k_token);
  EXPECT_TRUE(m_coordinator.start(m_views, k_token + 1, last + 2, {}, k_now));
}

class stopping_leader : public leader_takeover {
protected:
  stopping_leader() {
    EXPECT_TRUE(m_coordinator.start(m_views, k_token, k_version, {}, k_now));
    EXPECT_EQ(step(), phase::preparing);
  }
  void prepare_all() { status(0).prepared = status(1).prepared = k_version; }
  void check_all() {
    for (auto& view : m_views) {
      view->checked = {.version = k_version, .round = m_coordinator.current_directive()->round};
    }
  }
  std::uint64_t step_of_switch() { return m_coordinator.current_directive()->step; }
};

TEST_F(stopping_leader, gives_up_a_switch_that_is_being_prepared_and_starts_no_other) {
  prepare_all();
  m_coordinator.stop_switching();
  EXPECT_EQ(step(), phase::idle);
  EXPECT_FALSE(m_coordinator.holds_group(m_views));
  EXPECT_FALSE(m_coordinator.start(m_views, k_token, k_version + 1, {}, k_now));
  EXPECT_EQ(step(), phase::idle);
}

TEST_F(stopping_leader, ends_a_switch_whose_hold_has_been_ordered) {
  prepare_all();
  EXPECT_EQ(step(), phase::checking);
  check_all();
  EXPECT_EQ(step(), phase::holding);
  m_coordinator.stop_switching();
  EXPECT_EQ(step(), phase::holding);
  EXPECT_TRUE(m_coordinator.holds_group(m_views));           // The order may be under way.
  EXPECT_EQ(m_coordinator.current_directive()->holder, 1U);  // The local rank is 0.
  status(1).held = step_of_switch();
  EXPECT_EQ(step(), phase::arming);
  status(0).armed = status(1).armed = armed_switch{k_version, step_of_switch()};
  EXPECT_EQ(step(), phase::going);
  EXPECT_TRUE(m_coordinator.holds_group(m_views));
  status(1).held.reset();
  EXPECT_FALSE(m_coordinator.holds_group(m_views));  // The group goes on by itself.
  EXPECT_EQ(step(), phase::going);
}

TEST_F(stopping_leader, disarms_and_releases_a_switch_that_cannot_be_ended) {
  prepare_all();
  EXPECT_EQ(step(), phase::checking);
  check_all();
  EXPECT_EQ(step(), phase::holding);
  EXPECT_EQ(m_coordinator.current_directive()->holder, 1U);  // The local rank is 0.
  status(1).held = step_of_switch();
  EXPECT_EQ(step(), phase::arming);
  status(0).armed = armed_switch{k_version, step_of_switch()};
  status(1).prepared.reset();
  m_coordinator.stop_switching();
  EXPECT_EQ(step(), phase::idle);
  EXPECT_EQ(m_coordinator.outdated_token(), k_token);
  EXPECT_TRUE(m_coordinator.holds_group(m_views));
  constexpr std::uint64_t k_new_token = k_token + 1;
  EXPECT_EQ(step_after_fence(k_new_token), phase::disarming);
  status(0).armed.reset();
  for (auto& view : m_views) {
    view->disarmed_token = k_new_token;
    view->disarmed_epoch = 1;
  }
  EXPECT_EQ(step(k_new_token), phase::releasing);
  EXPECT_TRUE(m_coordinator.holds_group(m_views));
  status(1).held.reset();
  EXPECT_EQ(step(k_new_token), phase::idle);
  EXPECT_FALSE(m_coordinator.holds_group(m_views));
}

// Guards against a group that is held while one of its ranks answers nothing.
class checking_leader : public stopping_leader {
protected:
  phase step_at(milliseconds after) {
    m_coordinator.step(m_views, 0, k_token, k_now + after);
    return m_coordinator.current_phase();
  }
};

TEST_F(checking_leader, holds_only_if_all_ranks_have_answered_within_a_short_time) {
  prepare_all();
  EXPECT_EQ(step(), phase::checking);
  m_views[0]->checked = {.version = k_version, .round = 1};
  EXPECT_EQ(step_at(milliseconds{140}), phase::checking);
  // The answer of a rank to the first round comes late, or the leader has been paused before it reads it.
  check_all();
  EXPECT_EQ(step_at(milliseconds{160}), phase::checking);
  EXPECT_EQ(m_coordinator.current_directive()->round, 2U);
  EXPECT_EQ(step_at(milliseconds{170}), phase::checking);
  check_all();
  EXPECT_EQ(step_at(milliseconds{200}), phase::holding);
}

TEST_F(checking_leader, gives_up_a_preparation_when_a_rank_is_silent) {
  status(0).prepared = k_version;
  m_views[0]->updated_at = k_now + milliseconds{1100};
  EXPECT_EQ(step_at(milliseconds{450}), phase::preparing);
  EXPECT_EQ(step_at(milliseconds{900}), phase::preparing);
  EXPECT_EQ(step_at(milliseconds{1100}), phase::idle);
}

}  // namespace
}  // namespace cuminpath::balancer
