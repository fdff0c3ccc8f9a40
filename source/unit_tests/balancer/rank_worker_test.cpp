#include "core/balancer/rank_worker.h"

#include <gtest/gtest.h>

namespace cuminpath::balancer {
namespace {

constexpr time_point k_now{seconds{100}};

engine_status status_of(std::uint32_t rank) {
  return {.group = "g", .epoch = 3, .rank = rank, .ranks = 2, .open = true, .step = 10};
}

directive order_of(phase kind, std::uint64_t token = 7) {
  return {.kind = kind, .token = token, .epoch = 3, .version = 5, .step = 12, .holder = 0};
}

std::string next_name(rank_worker& worker) {
  const auto next = worker.next_order(k_now);
  return next ? std::string(order_name(next->body)) : "";
}

TEST(rank_worker, gives_the_order_of_each_phase_until_it_is_in_force) {
  rank_worker worker;
  engine_status status = status_of(0);
  const directive prepare = order_of(phase::preparing);
  worker.set_directive(&prepare);
  worker.on_status(status);
  EXPECT_EQ(next_name(worker), "prepare");
  worker.on_result(order_result::accepted, k_now);
  status.busy = true;
  worker.on_status(status);
  EXPECT_EQ(next_name(worker), "");
  status.busy = false;
  status.prepared = 5;
  const directive hold = order_of(phase::holding);
  worker.set_directive(&hold);
  worker.on_status(status);
  EXPECT_EQ(next_name(worker), "hold");
  worker.on_result(order_result::accepted, k_now);
  status.held = 12;
  const directive arm = order_of(phase::arming);
  worker.set_directive(&arm);
  worker.on_status(status);
  EXPECT_EQ(next_name(worker), "arm");
  worker.on_result(order_result::accepted, k_now);
  status.armed = armed_switch{5, 12};
  const directive go = order_of(phase::going);
  worker.set_directive(&go);
  worker.on_status(status);
  EXPECT_EQ(next_name(worker), "go");
}

TEST(rank_worker, only_the_holder_holds_and_releases) {
  rank_worker worker;
  for (const phase kind : {phase::holding, phase::going, phase::releasing}) {
    const directive order = order_of(kind);
    worker.set_directive(&order);
    worker.on_status(status_of(1));
    EXPECT_EQ(next_name(worker), "");
  }
}

TEST(rank_worker, gives_an_order_again_when_its_answer_was_lost_and_it_is_not_in_force) {
  rank_worker worker;
  const directive hold = order_of(phase::holding);
  worker.set_directive(&hold);
  worker.on_status(status_of(0));
  EXPECT_EQ(next_name(worker), "hold");
  EXPECT_EQ(next_name(worker), "");  // Under way.
  worker.on_result(order_result::no_answer, k_now);
  EXPECT_EQ(next_name(worker), "");  // The status is older than the order.
  worker.on_status(status_of(0));
  EXPECT_EQ(next_name(worker), "hold");
}

TEST(rank_worker, obeys_no_leader_whose_token_is_lower_or_was_refused) {
  rank_worker worker;
  const directive newer = order_of(phase::holding, 9);
  const directive older = order_of(phase::arming, 8);
  worker.set_directive(&newer);
  worker.set_directive(&older);
  worker.on_status(status_of(0));
  EXPECT_EQ(next_name(worker), "hold");
  worker.on_result(order_result::stale, k_now);
  EXPECT_EQ(worker.refused_token(), 9U);
  worker.set_directive(&newer);
  worker.on_status(status_of(0));
  EXPECT_EQ(next_name(worker), "");
}

TEST(rank_worker, gives_no_order_for_another_epoch_or_a_broken_group) {
  rank_worker worker;
  const directive hold = order_of(phase::holding);
  worker.set_directive(&hold);
  engine_status status = status_of(0);
  status.epoch = 4;
  worker.on_status(status);
  EXPECT_EQ(next_name(worker), "");
  status = status_of(0);
  status.open = false;
  worker.on_status(status);
  EXPECT_EQ(next_name(worker), "");
}

}  // namespace
}  // namespace cuminpath::balancer
