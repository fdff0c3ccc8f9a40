#include "core/scheduling/scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cuminpath::scheduling {
namespace {

struct scheduler_test : testing::Test {
  void SetUp() override { scheduler_under_test.configure(now, classes, {}, 2); }

  admission submit(std::uint64_t id, const char* name, std::uint32_t tokens = 10,
                   const char* workspace = "w") {
    return scheduler_under_test.submit(now, {job_id{id}, workspace, name, tokens, now + seconds(60), true});
  }
  std::vector<std::uint64_t> tick_and_get_started() {
    decisions.clear();
    scheduler_under_test.tick(now, decisions);
    std::vector<std::uint64_t> ids;
    for (const decision& value : decisions) {
      if (const auto* start = std::get_if<start_job>(&value)) {
        ids.push_back(static_cast<std::uint64_t>(start->id));
      }
    }
    return ids;
  }
  template <class value_type>
  [[nodiscard]] std::size_t count() const {
    return static_cast<std::size_t>(
        std::count_if(decisions.begin(), decisions.end(),
                      [](const decision& value) { return std::holds_alternative<value_type>(value); }));
  }

  std::vector<config::priority_class> classes{
      {.name = "urgent", .priority = 0, .first_token_target = milliseconds(900)},
      {.name = "bulk", .priority = 2, .floor = 0.1}};
  time_point now{seconds(100)};
  std::vector<decision> decisions;
  scheduler scheduler_under_test{scheduler_options{}};
};

// Guards against more runs than the upstream has slots, and against bulk jobs that start before urgent ones.
TEST_F(scheduler_test, starts_the_most_urgent_jobs_within_the_slots) {
  EXPECT_TRUE(std::holds_alternative<admitted>(submit(1, "bulk")));
  submit(2, "bulk");
  submit(3, "urgent");
  submit(4, "urgent");
  EXPECT_EQ(tick_and_get_started(), (std::vector<std::uint64_t>{3, 4}));
  EXPECT_EQ(scheduler_under_test.running(), 2U);
  EXPECT_EQ(scheduler_under_test.queued(), 2U);
  scheduler_under_test.on_finished(now, job_id{3});
  EXPECT_EQ(tick_and_get_started(), (std::vector<std::uint64_t>{1}));
}

// Guards against urgent jobs that wait for long bulk runs, and against preempted runs that are lost.
TEST_F(scheduler_test, urgent_job_preempts_a_bulk_run_that_resumes_later) {
  submit(1, "bulk");
  submit(2, "bulk");
  EXPECT_EQ(tick_and_get_started().size(), 2U);
  now += seconds(5);
  submit(3, "urgent");
  now += milliseconds(100);
  EXPECT_EQ(tick_and_get_started(), (std::vector<std::uint64_t>{3}));
  EXPECT_EQ(count<preempt_job>(), 1U);
  scheduler_under_test.on_finished(now, job_id{3});
  EXPECT_EQ(tick_and_get_started().size(), 1U);
  EXPECT_TRUE(std::get<start_job>(decisions[0]).resumed);
}

// Guards against runs whose caller no longer waits for the response.
TEST_F(scheduler_test, job_whose_deadline_passes_in_the_queue_is_refused) {
  submit(1, "bulk");
  submit(2, "bulk");
  submit(3, "bulk");
  EXPECT_EQ(tick_and_get_started().size(), 2U);
  now += seconds(60);
  tick_and_get_started();
  ASSERT_EQ(count<refuse_job>(), 1U);
  EXPECT_EQ(std::get<refuse_job>(decisions[0]).reason, wire::refusal_reason::deadline_passed);
  EXPECT_EQ(scheduler_under_test.queued(), 0U);
}

// Guards against new jobs on a host that leaves, and against running jobs that a drain cancels.
TEST_F(scheduler_test, drain_refuses_the_queue_and_keeps_the_runs) {
  submit(1, "bulk");
  submit(2, "bulk");
  submit(3, "bulk");
  tick_and_get_started();
  decisions.clear();
  scheduler_under_test.drain(now, decisions);
  EXPECT_EQ(count<refuse_job>(), 1U);
  EXPECT_EQ(scheduler_under_test.running(), 2U);
  EXPECT_EQ(std::get<refused>(submit(4, "urgent")).reason, wire::refusal_reason::draining);
}

// Guards against a large workspace that gets every slot that becomes free.
TEST_F(scheduler_test, workspaces_share_slots_by_tokens) {
  for (std::uint64_t id = 1; id <= 6; ++id) {
    submit(id, "urgent", 10, "large");
  }
  EXPECT_EQ(tick_and_get_started(), (std::vector<std::uint64_t>{1, 2}));
  submit(7, "urgent", 10, "small");
  scheduler_under_test.on_finished(now, job_id{1});
  EXPECT_EQ(tick_and_get_started(), (std::vector<std::uint64_t>{7}));
}

}  // namespace
}  // namespace cuminpath::scheduling
