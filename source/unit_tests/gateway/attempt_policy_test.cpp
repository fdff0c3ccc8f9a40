#include "core/gateway/attempt_policy.h"

#include <gtest/gtest.h>

namespace cuminpath::gateway {
namespace {

attempt_facts first_attempt() {
  return {.repeatable = false,
          .upstreams_sent_to = 1,
          .max_attempts = 2,
          .retry_budget_available = true,
          .other_upstream_available = true,
          .time_left = milliseconds{1000}};
}

TEST(attempt_policy, never_repeats_a_call_that_may_have_run) {
  attempt_facts facts = first_attempt();
  facts.may_have_run = true;
  EXPECT_EQ(after_attempt(attempt_result::broken, facts), next_step::fail);
  // A later refusal does not change that an earlier attempt may have run.
  EXPECT_EQ(after_attempt(attempt_result::not_executed, facts), next_step::fail);
}

TEST(attempt_policy, refuses_only_requests_that_have_not_run) {
  attempt_facts facts = first_attempt();
  facts.other_upstream_available = false;
  EXPECT_EQ(after_attempt(attempt_result::not_executed, facts), next_step::refuse);
  EXPECT_EQ(after_attempt(attempt_result::not_sent, facts), next_step::refuse);
  facts.may_have_run = true;
  facts.repeatable = true;
  EXPECT_EQ(after_attempt(attempt_result::broken, facts), next_step::fail);
}

TEST(attempt_policy, tries_another_upstream_after_a_refusal) {
  EXPECT_EQ(after_attempt(attempt_result::not_executed, first_attempt()), next_step::try_another);
}

TEST(attempt_policy, repeats_repeatable_calls_within_attempts_budget_and_time) {
  attempt_facts facts = first_attempt();
  facts.repeatable = true;
  facts.may_have_run = true;
  EXPECT_EQ(after_attempt(attempt_result::broken, facts), next_step::try_another);
  EXPECT_EQ(after_attempt(attempt_result::failed, facts), next_step::try_another);
  auto limited = facts;
  limited.upstreams_sent_to = 2;
  EXPECT_EQ(after_attempt(attempt_result::broken, limited), next_step::fail);
  limited = facts;
  limited.retry_budget_available = false;
  EXPECT_EQ(after_attempt(attempt_result::broken, limited), next_step::fail);
  limited = facts;
  limited.time_left = milliseconds{10};
  EXPECT_EQ(after_attempt(attempt_result::broken, limited), next_step::fail);
}

TEST(attempt_policy, does_not_repeat_a_request_that_may_have_crashed_its_upstream) {
  attempt_facts facts = first_attempt();
  facts.repeatable = true;
  facts.may_have_run = true;
  EXPECT_EQ(after_attempt(attempt_result::crashed, facts), next_step::fail);
  facts.caller_has_bytes = true;
  EXPECT_EQ(after_attempt(attempt_result::crashed, facts), next_step::abort_response);
}

TEST(attempt_policy, a_failed_connection_uses_neither_budget_nor_attempts) {
  attempt_facts facts = first_attempt();
  facts.upstreams_sent_to = 0;
  facts.max_attempts = 0;
  facts.retry_budget_available = false;
  EXPECT_EQ(after_attempt(attempt_result::not_sent, facts), next_step::try_another);
}

TEST(attempt_policy, a_wrong_instance_uses_budget_but_no_attempt) {
  attempt_facts facts = first_attempt();
  facts.upstreams_sent_to = 0;
  facts.max_attempts = 0;
  EXPECT_EQ(after_attempt(attempt_result::wrong_instance, facts), next_step::try_another);
  facts.retry_budget_available = false;
  EXPECT_EQ(after_attempt(attempt_result::wrong_instance, facts), next_step::refuse);
  facts.retry_budget_available = true;
  facts.may_have_run = true;
  EXPECT_EQ(after_attempt(attempt_result::wrong_instance, facts), next_step::fail);
}

TEST(attempt_policy, delivers_the_error_response_of_the_upstream) {
  attempt_facts facts = first_attempt();
  facts.may_have_run = true;
  EXPECT_EQ(after_attempt(attempt_result::failed, facts), next_step::forward_failure);
}

TEST(attempt_policy, breaks_off_a_response_that_cannot_continue) {
  attempt_facts facts = first_attempt();
  facts.may_have_run = true;
  facts.caller_has_bytes = true;
  EXPECT_EQ(after_attempt(attempt_result::broken, facts), next_step::abort_response);
}

attempt_facts begun_stream() {
  attempt_facts facts = first_attempt();
  facts.repeatable = true;
  facts.may_have_run = true;
  facts.caller_has_bytes = true;
  return facts;
}

TEST(attempt_policy, keeps_what_is_running_whatever_happens_to_another_attempt) {
  for (const auto end :
       {attempt_result::not_sent, attempt_result::wrong_instance, attempt_result::not_executed,
        attempt_result::broken, attempt_result::crashed, attempt_result::failed}) {
    for (attempt_facts facts : {first_attempt(), begun_stream()}) {
      facts.other_attempt_running = true;
      EXPECT_EQ(after_attempt(end, facts), next_step::await_other_attempt);
      facts.retry_budget_available = false;
      facts.upstreams_sent_to = 2;
      EXPECT_EQ(after_attempt(end, facts), next_step::await_other_attempt);
    }
  }
}

TEST(attempt_policy, a_begun_stream_waits_for_an_upstream_while_another_may_continue_it) {
  auto facts = begun_stream();
  EXPECT_EQ(after_attempt(attempt_result::broken, facts), next_step::try_another);
  EXPECT_EQ(after_attempt(attempt_result::not_executed, facts), next_step::await_upstream);
  facts.other_upstream_available = false;
  EXPECT_EQ(after_attempt(attempt_result::broken, facts), next_step::await_upstream);
  EXPECT_EQ(after_attempt(attempt_result::not_sent, facts), next_step::await_upstream);
  facts = begun_stream();
  facts.retry_budget_available = false;
  EXPECT_EQ(after_attempt(attempt_result::broken, facts), next_step::await_upstream);
}

TEST(attempt_policy, a_begun_stream_that_nobody_may_continue_is_broken_off_at_once) {
  auto facts = begun_stream();
  facts.upstreams_sent_to = 2;
  EXPECT_EQ(after_attempt(attempt_result::broken, facts), next_step::abort_response);
  facts = begun_stream();
  facts.time_left = milliseconds{29};
  EXPECT_EQ(after_attempt(attempt_result::not_executed, facts), next_step::abort_response);
  facts = begun_stream();
  facts.repeatable = false;
  EXPECT_EQ(after_attempt(attempt_result::broken, facts), next_step::abort_response);
}

}  // namespace
}  // namespace cuminpath::gateway
