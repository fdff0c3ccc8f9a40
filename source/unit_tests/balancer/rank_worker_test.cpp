#include "core/balancer/rank_worker.h"

#include <gtest/gtest.h>

namespace cuminpath::balancer {
namespace {

constexpr time_point k_now{seconds{100}};

engine_status make_status(std::uint32_t rank) {
  return {.group = "g", .epoch = 3, .rank = rank, .ranks = 2, .open = true, .step = 10};
}

directive make_directive(phase kind, std::uint64_t token = 7) {
  return {.kind = kind, .token = token, .epoch = 3, .version = 5, .step = 12, .holder = 0, .leader = 1};
}

std::string next_order_name(rank_worker& worker) {
  const auto next = worker.next_order(k_now);
  return next ? std::string(order_name(next->body)) : "";
}

TEST(rank_worker, requests_the_order_of_each_phase_until_it_is_in_effect) {
  rank_worker worker;
  engine_status status = make_status(0);
  const directive prepare = make_directive(phase::preparing);
  worker.set_directive(&prepare);
  worker.on_status(status);
  EXPECT_EQ(next_order_name(worker), "prepare");
  worker.on_result(order_result::accepted, k_now);
  status.busy = true;
  worker.on_status(status);
  EXPECT_EQ(next_order_name(worker), "");
  status.busy = false;
  status.prepared = 5;
  const directive hold = make_directive(phase::holding);
  worker.set_directive(&hold);
  worker.on_status(status);
  EXPECT_EQ(next_order_name(worker), "hold");
  worker.on_result(order_result::accepted, k_now);
  status.held = 12;
  const directive arm = make_directive(phase::arming_holder);
  worker.set_directive(&arm);
  worker.on_status(status);
  EXPECT_EQ(next_order_name(worker), "arm");
  worker.on_result(order_result::accepted, k_now);
  status.armed = armed_switch{5, 12};
  const directive go = make_directive(phase::going);
  worker.set_directive(&go);
  worker.on_status(status);
  EXPECT_EQ(next_order_name(worker), "go");
}

TEST(rank_worker, only_the_holder_holds_and_releases) {
  rank_worker worker;
  for (const phase kind : {phase::holding, phase::going, phase::releasing}) {
    const directive order = make_directive(kind);
    worker.set_directive(&order);
    worker.on_status(make_status(1));
    EXPECT_EQ(next_order_name(worker), "");
  }
}

// Guards against a leader's rank that is armed while another one is not, which its successor must be able to
// exclude.
TEST(rank_worker, arms_the_held_rank_after_the_others_and_the_leaders_rank_last) {
  rank_worker worker;
  engine_status status = make_status(1);
  status.prepared = 5;
  const directive arming = make_directive(phase::arming);
  EXPECT_TRUE(is_turn_to_arm(2, arming));
  EXPECT_FALSE(is_turn_to_arm(arming.holder, arming));
  const directive arming_holder = make_directive(phase::arming_holder);
  EXPECT_TRUE(is_turn_to_arm(arming_holder.holder, arming_holder));
  worker.set_directive(&arming_holder);
  worker.on_status(status);
  EXPECT_EQ(next_order_name(worker), "");
  const directive arming_leader = make_directive(phase::arming_leader);
  worker.set_directive(&arming_leader);
  EXPECT_EQ(next_order_name(worker), "arm");
}

// Guards against a late `disarm` of an earlier leader after the release of the group.
TEST(rank_worker, arms_a_rank_again_that_an_earlier_leader_has_armed) {
  rank_worker worker;
  engine_status status = make_status(0);
  status.prepared = 5;
  status.armed = armed_switch{5, 12};
  const directive arming = make_directive(phase::arming_holder);
  worker.set_directive(&arming);
  worker.on_status(status);
  EXPECT_EQ(next_order_name(worker), "arm");
  worker.on_result(order_result::accepted, k_now);
  worker.on_status(status);
  EXPECT_EQ(next_order_name(worker), "");
  EXPECT_EQ(worker.armed_token(), 7U);
}

// Guards against a decision on a state that a late order has changed before the fence.
TEST(rank_worker, reports_a_fence_only_with_a_status_that_was_read_after_it) {
  rank_worker worker;
  directive fence = make_directive(phase::fencing);
  fence.version = first_version_of_token(fence.token);
  worker.set_directive(&fence);
  worker.on_status(make_status(0));
  EXPECT_EQ(next_order_name(worker), "disarm");
  worker.on_result(order_result::accepted, k_now);
  EXPECT_EQ(worker.fenced(), token_use{});
  worker.on_status(make_status(0));
  EXPECT_EQ(worker.fenced(), (token_use{.token = 7, .epoch = 3}));
  EXPECT_EQ(worker.disarmed_token(), 0U);  // No rank was disarmed.
}

TEST(rank_worker, repeats_an_order_that_got_no_response_and_is_not_in_effect) {
  rank_worker worker;
  const directive hold = make_directive(phase::holding);
  worker.set_directive(&hold);
  worker.on_status(make_status(0));
  EXPECT_EQ(next_order_name(worker), "hold");
  EXPECT_EQ(next_order_name(worker), "");  // The order is pending.
  worker.on_result(order_result::no_response, k_now);
  EXPECT_EQ(next_order_name(worker), "");  // The status is older than the order.
  worker.on_status(make_status(0));
  EXPECT_EQ(next_order_name(worker), "hold");
}

TEST(rank_worker, ignores_directives_with_a_lower_or_refused_token) {
  rank_worker worker;
  const directive newer = make_directive(phase::holding, 9);
  const directive older = make_directive(phase::arming, 8);
  worker.set_directive(&newer);
  worker.set_directive(&older);
  worker.on_status(make_status(0));
  EXPECT_EQ(next_order_name(worker), "hold");
  worker.on_result(order_result::stale, k_now);
  EXPECT_EQ(worker.refused_token(), 9U);
  worker.set_directive(&newer);
  worker.on_status(make_status(0));
  EXPECT_EQ(next_order_name(worker), "");
}

TEST(rank_worker, requests_no_order_for_another_epoch_or_a_group_that_is_not_open) {
  rank_worker worker;
  const directive hold = make_directive(phase::holding);
  worker.set_directive(&hold);
  engine_status status = make_status(0);
  status.epoch = 4;
  worker.on_status(status);
  EXPECT_EQ(next_order_name(worker), "");
  status = make_status(0);
  status.open = false;
  worker.on_status(status);
  EXPECT_EQ(next_order_name(worker), "");
}

}  // namespace
}  // namespace cuminpath::balancer
