#include "core/scheduling/scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cuminpath::scheduling {
namespace {

struct fixture : testing::Test {
  void SetUp() override { target.configure(now, classes, {}, 2); }

  admission submit(std::uint64_t id, const char* name, std::uint32_t tokens = 10,
                   const char* workspace = "w") {
    return target.submit(now, {job_id{id}, workspace, name, tokens, now + seconds(60), true});
  }
  std::vector<std::uint64_t> started() {
    decisions.clear();
    target.tick(now, decisions);
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
      {.name = "urgent", .rank = 0, .first_token_target = milliseconds(900)},
      {.name = "bulk", .rank = 2, .floor = 0.1}};
  time_point now{seconds(100)};
  std::vector<decision> decisions;
  scheduler target{scheduler_options{}};
};

// Guards against more runs than the upstream has slots, and against bulk work before urgent work.
TEST_F(fixture, starts_the_most_urgent_jobs_within_the_slots) {
  EXPECT_TRUE(std::holds_alternative<admitted>(submit(1, "bulk")));
  submit(2, "bulk");
  submit(3, "urgent");
  submit(4, "urgent");
  EXPECT_EQ(started(), (std::vector<std::uint64_t>{3, 4}));
  EXPECT_EQ(target.running(), 2U);
  EXPECT_EQ(target.queued(), 2U);
  target.on_finished(now, job_id{3});
  EXPECT_EQ(started(), (std::vector<std::uint64_t>{1}));
}

// Guards against urgent work that waits for long runs of a flood, and against a preempted run that is lost.
TEST_F(fixture, urgent_job_preempts_a_bulk_run_that_resumes_later) {
  submit(1, "bulk");
  submit(2, "bulk");
  EXPECT_EQ(started().size(), 2U);
  now += seconds(5);
  submit(3, "urgent");
  now += milliseconds(100);
  EXPECT_EQ(started(), (std::vector<std::uint64_t>{3}));
  EXPECT_EQ(count<preempt_job>(), 1U);
  target.on_finished(now, job_id{3});
  EXPECT_EQ(started().size(), 1U);
  EXPECT_TRUE(std::get<start_job>(decisions[0]).resumed);
}

// Guards against a run whose caller has given up.
TEST_F(fixture, job_whose_deadline_passes_in_the_queue_is_refused) {
  submit(1, "bulk");
  submit(2, "bulk");
  submit(3, "bulk");
  EXPECT_EQ(started().size(), 2U);
  now += seconds(60);
  started();
  ASSERT_EQ(count<refuse_job>(), 1U);
  EXPECT_EQ(std::get<refuse_job>(decisions[0]).reason, wire::refusal_reason::deadline_passed);
  EXPECT_EQ(target.queued(), 0U);
}

// Guards against new work on a host that leaves, and against cut runs.
TEST_F(fixture, drain_refuses_the_queue_and_keeps_the_runs) {
  submit(1, "bulk");
  submit(2, "bulk");
  submit(3, "bulk");
  started();
  decisions.clear();
  target.drain(now, decisions);
  EXPECT_EQ(count<refuse_job>(), 1U);
  EXPECT_EQ(target.running(), 2U);
  EXPECT_EQ(std::get<refused>(submit(4, "urgent")).reason, wire::refusal_reason::draining);
}

// Guards against one large workspace that takes every slot in a row.
TEST_F(fixture, workspaces_take_turns_by_tokens) {
  for (std::uint64_t id = 1; id <= 6; ++id) {
    submit(id, "urgent", 10, "large");
  }
  EXPECT_EQ(started(), (std::vector<std::uint64_t>{1, 2}));
  submit(7, "urgent", 10, "small");
  target.on_finished(now, job_id{1});
  EXPECT_EQ(started(), (std::vector<std::uint64_t>{7}));
}

}  // namespace
}  // namespace cuminpath::scheduling
