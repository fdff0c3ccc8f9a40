// Checks the targets of section 1.3 of docs/design.md in virtual time with fixed seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "bench/experiments.h"

namespace cuminpath::bench {
namespace {

constexpr std::uint64_t k_gate_seeds[] = {11, 12};

// Expects that the class gets its floor, or all slots that it asks for if that is less. The start of an
// overload may cost one hundredth.
void expect_floor(const overload_by_class_summary& value, const char* name, double floor) {
  EXPECT_GE(value.slot_share.at(name), 0.99 * std::min(floor, value.demand.at(name))) << name;
}

struct overload : testing::Test {
  void SetUp() override { std::printf("seeds 11, 12\n"); }
  agent_policy policy = scheduling::scheduler_options{};
};

// Guards against bulk requests that delay live questions and reminders.
TEST_F(overload, live_work_is_within_target_during_a_tenfold_overload_of_the_lowest_class) {
  const overload_by_class_summary value = low_class_overload(policy, k_gate_seeds);
  EXPECT_GE(value.within.at("live"), 0.99);
  EXPECT_GE(value.within.at("booking"), 0.95);
  expect_floor(value, "booking", 0.15);
  expect_floor(value, "digest", 0.10);
}

// Guards against long runs that occupy every slot when urgent requests arrive.
TEST_F(overload, live_load_spike_is_within_target_after_an_overload_that_filled_every_slot) {
  const overload_by_class_summary value = low_class_overload_then_load_spike(policy, 0.55, k_gate_seeds);
  EXPECT_GE(value.within.at("live"), 0.95);
  expect_floor(value, "booking", 0.15);
  expect_floor(value, "digest", 0.10);
}

// Guards against digests that are never delivered because urgent requests take all slots.
TEST_F(overload, other_classes_keep_their_floors_when_urgent_work_asks_for_twice_the_slots) {
  const overload_by_class_summary value = low_class_overload_then_load_spike(policy, 2.0, k_gate_seeds);
  expect_floor(value, "digest", 0.10);
  // The arrivals of this class vary around its floor, and those above the floor may be refused.
  EXPECT_GE(value.slot_share.at("booking"), 0.90 * std::min(0.15, value.demand.at("booking")));
  // Admission refuses requests that would be late, so most of the slots still serve responses on time.
  EXPECT_GE(value.within.at("live"), 0.25);
}

// Guards against large workspaces that slow down a small one.
TEST_F(overload, small_workspace_keeps_its_p99_with_large_ones) {
  const fairness_summary alone = small_workspace(policy, false, k_gate_seeds);
  const fairness_summary with_others = small_workspace(policy, true, k_gate_seeds);
  EXPECT_LE(with_others.first_token_p99_s, 1.5 * alone.first_token_p99_s);
  EXPECT_LE(with_others.total_p99_s, 1.5 * alone.total_p99_s);
  EXPECT_GE(with_others.served, 0.99);
}

}  // namespace
}  // namespace cuminpath::bench
