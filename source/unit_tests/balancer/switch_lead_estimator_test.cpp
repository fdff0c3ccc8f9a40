#include "core/balancer/switch_lead_estimator.h"

#include <gtest/gtest.h>

#include "core/balancer/switch_coordinator.h"

namespace cuminpath::balancer {
namespace {

constexpr time_point k_now{seconds{100}};
constexpr std::uint64_t k_token = 9;

TEST(switch_lead, covers_all_but_the_slowest_recent_switches) {
  switch_lead_estimator lead;
  EXPECT_EQ(lead.lead(), milliseconds{100});
  lead.observe(milliseconds{2500});
  EXPECT_EQ(lead.lead(), milliseconds{100});  // One slow switch does not decide alone.
  for (int i = 0; i < 6; ++i) {
    lead.observe(milliseconds{110});
  }
  lead.observe(milliseconds{150});
  EXPECT_EQ(lead.lead(), milliseconds{150});
  for (int i = 0; i < 8; ++i) {
    lead.observe(milliseconds{90});
  }
  EXPECT_EQ(lead.lead(), milliseconds{90});  // Earlier times are forgotten.
}

// Guards against a map that comes only after the next shift, and against one set between two reports.
TEST(switch_lead, stays_within_bounds) {
  switch_lead_estimator slow;
  switch_lead_estimator fast;
  for (int i = 0; i < 8; ++i) {
    slow.observe(milliseconds{5000});
    fast.observe(milliseconds{1});
  }
  EXPECT_EQ(slow.lead(), milliseconds{200});
  EXPECT_EQ(fast.lead(), milliseconds{50});
}

// Guards against a group that pauses in each switch because its pass is too near.
TEST(switch_lead, sets_the_pass_of_the_next_switch_by_the_time_that_the_last_ones_took) {
  std::vector<std::optional<rank_view>> views(2);
  for (std::uint32_t rank = 0; rank < 2; ++rank) {
    views[rank] =
        rank_view{.status = {.group = "g", .epoch = 1, .rank = rank, .ranks = 2, .open = true, .step = 10},
                  .updated_at = k_now};
  }
  const auto each = [&views](auto change) {
    for (auto& view : views) {
      change(*view);
    }
  };
  switch_coordinator coordinator;
  coordinator.set_pass_time(milliseconds{20});
  time_point now = k_now;
  const auto step = [&] {
    each([now](rank_view& view) { view.updated_at = now; });
    coordinator.step(views, 0, k_token, now);
    return coordinator.current_directive();
  };
  constexpr std::uint64_t k_initial_steps = 1 + 100 / 20;
  constexpr std::uint64_t k_switches = 6;
  for (std::uint64_t count = 1; count <= k_switches; ++count) {
    const std::uint64_t version = first_version_of_token(k_token) + count;
    ASSERT_TRUE(coordinator.start(views, k_token, version, {}, now));
    each([version](rank_view& view) { view.status.prepared = version; });
    const directive* active = step();
    ASSERT_EQ(active->kind, phase::checking);
    each([active](rank_view& view) { view.checked = {active->version, active->round}; });
    ASSERT_EQ(step()->kind, phase::holding);
    if (count == 1 || count == k_switches) {
      EXPECT_EQ(active->step - views[0]->status.step, count == 1 ? k_initial_steps : 1 + 160 / 20);
    }
    const armed_switch target{version, active->step};
    views[active->holder]->status.held = target.step;
    ASSERT_EQ(step()->kind, phase::arming);
    each([target](rank_view& view) { view.status.armed = target; });
    now += milliseconds{160};
    ASSERT_EQ(step()->kind, phase::going);
    views[active->holder]->status.held.reset();
    ASSERT_EQ(step()->kind, phase::going);
    each([target](rank_view& view) {
      view.status.armed.reset();
      view.status.prepared.reset();
      view.status.map_version = target.version;
      view.status.step = target.step;
    });
    now += milliseconds{100};
    ASSERT_EQ(step(), nullptr);
  }
}

}  // namespace
}  // namespace cuminpath::balancer
