// Tests the runs of model requests: streams, failures, deadlines, preemption, drain, configuration and load
// reports.
#include <gtest/gtest.h>

#include "core/common/json.h"
#include "unit_tests/agent/agent_harness.h"

namespace cuminpath::agent {
namespace {

using support::agent_harness;
using support::completion;
using support::k_entry;
using support::k_other_entry;

// Guards against tokens that are lost, renumbered or delayed.
TEST(agent_run, forwards_each_event_with_its_token_index) {
  agent_harness agent;
  agent.receive(completion("a"));
  ASSERT_EQ(agent.runs.size(), 1U);
  const auto body = json::parse(agent.runs[0].request.body);
  EXPECT_EQ(agent.runs[0].request.target, "/v1/completions");
  EXPECT_TRUE(body.at("stream"));
  EXPECT_EQ(body.at("priority"), 0);
  EXPECT_FALSE(body.contains("resume"));
  const auto run = agent.runs[0].id;
  agent.send_head(run);
  EXPECT_EQ(agent.last<wire::response_head>().status, 200);
  agent.send_tokens(run, 0, 2);
  agent.send_tokens(run, 2, 3);
  agent.finish_stream(run);
  const auto chunks = agent.sent<wire::response_chunk>();
  ASSERT_EQ(chunks.size(), 2U);
  EXPECT_EQ(chunks[1].index, 2U);
  EXPECT_EQ(chunks[1].tokens, 3U);
  EXPECT_EQ(agent.last<wire::response_end>().length, 5U);
  EXPECT_EQ(agent.core.load(agent.now).running, 0U);
}

// Guards against a truncated stream that looks complete, and against a resumed stream that continues at the
// wrong token.
TEST(agent_run, a_stream_without_its_last_event_or_with_a_wrong_index_fails) {
  agent_harness agent;
  agent.receive(completion("cut"));
  agent.send_head(agent.runs[0].id);
  agent.send_tokens(agent.runs[0].id, 0, 1);
  agent.end_run(agent.runs[0].id);
  EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::upstream_failed);
  EXPECT_EQ(agent.last<wire::refusal>().execution_state, wire::execution::unknown);

  auto resumed = completion("wrong");
  resumed.resume_index = 4;
  resumed.resume_text = "abcd";
  agent.receive(resumed);
  EXPECT_EQ(json::parse(agent.runs[1].request.body).at("resume").at("token_index"), 4);
  agent.send_head(agent.runs[1].id);
  agent.send_tokens(agent.runs[1].id, 0, 1);  // The engine starts from the beginning instead of resuming.
  EXPECT_EQ(agent.last<wire::refusal>().request_id, "wrong");
  EXPECT_TRUE(agent.is_cancelled(agent.runs[1].id));
  EXPECT_TRUE(agent.sent<wire::response_end>().empty());
  EXPECT_EQ(agent.sent<wire::response_chunk>().size(), 1U);
}

// Guards against a false not_run: it may be reported only if the engine has not received a byte of the
// request.
TEST(agent_run, reports_whether_a_failed_run_reached_the_engine) {
  agent_harness agent;
  agent.receive(completion("refused"));
  agent.fail_run(agent.runs[0].id, false);
  EXPECT_EQ(agent.last<wire::refusal>().execution_state, wire::execution::not_run);
  EXPECT_FALSE(agent.core.load(agent.now).upstream_healthy);
  agent.receive(completion("broken"));
  agent.fail_run(agent.runs[1].id, true);
  EXPECT_EQ(agent.last<wire::refusal>().execution_state, wire::execution::unknown);
  agent.receive(completion("error"));
  agent.send_head(agent.runs[2].id, 500);
  EXPECT_EQ(agent.last<wire::refusal>().execution_state, wire::execution::unknown);
  // A response that says that the request is invalid is forwarded as the complete response.
  agent.receive(completion("bad"));
  agent.send_head(agent.runs[3].id, 422);
  agent.send_data(agent.runs[3].id, "no");
  agent.end_run(agent.runs[3].id);
  EXPECT_EQ(agent.last<wire::response_head>().status, 422);
  EXPECT_EQ(agent.last<wire::response_end>().length, 2U);
}

// Guards against a request that runs after its caller's deadline.
TEST(agent_run, does_not_start_after_the_deadline) {
  agent_harness agent(config::upstream_kind::engine, 1);
  agent.receive(completion("long", "urgent"));
  auto late = completion("late", "urgent");
  late.remaining_ms = 500;
  agent.receive(late);
  auto over = completion("over", "urgent");
  over.remaining_ms = 0;
  agent.receive(over);
  agent.advance(milliseconds(600));
  agent.send_head(agent.runs[0].id);
  agent.finish_stream(agent.runs[0].id);
  agent.advance(milliseconds(50));
  EXPECT_EQ(agent.runs.size(), 1U);
  ASSERT_EQ(agent.sent<wire::refusal>().size(), 2U);
  for (const auto& refusal : agent.sent<wire::refusal>()) {
    EXPECT_EQ(refusal.execution_state, wire::execution::not_run);
  }
}

// Guards against a stream that loses or repeats tokens when an urgent request preempts it.
TEST(agent_run, a_preempted_stream_resumes_at_the_next_token) {
  agent_harness agent(config::upstream_kind::engine, 1);
  agent.receive(completion("low", "digest"));
  const auto low = agent.runs[0].id;
  agent.send_head(low);
  agent.send_tokens(low, 0, 3);
  agent.advance(seconds(1));
  agent.receive(completion("high", "urgent"));
  agent.advance(seconds(1));
  ASSERT_EQ(agent.runs.size(), 2U);
  EXPECT_TRUE(agent.is_cancelled(low));
  agent.send_tokens(low, 3, 1);  // Ignored, because the run has been cancelled.
  agent.send_head(agent.runs[1].id);
  agent.finish_stream(agent.runs[1].id);
  agent.advance(milliseconds(20));
  ASSERT_EQ(agent.runs.size(), 3U);
  const auto resume = json::parse(agent.runs[2].request.body).at("resume");
  EXPECT_EQ(resume.at("token_index"), 3);
  EXPECT_EQ(resume.at("text"), "t0t1t2");
  agent.send_head(agent.runs[2].id);
  agent.send_tokens(agent.runs[2].id, 3, 2);
  agent.finish_stream(agent.runs[2].id);
  EXPECT_EQ(agent.last<wire::response_end>().length, 5U);
  EXPECT_EQ(agent.sent<wire::response_head>().size(), 2U);  // One per request.
}

// Guards against a stream that is cut because its engine pauses.
TEST(agent_run, a_silent_engine_keeps_its_run_until_the_deadline) {
  agent_harness agent;
  agent.receive(completion("a"));
  const auto run = agent.runs[0].id;
  EXPECT_EQ(agent.runs[0].options.timeout, milliseconds(60000));
  agent.send_head(run);
  agent.send_tokens(run, 0, 2);
  agent.advance(seconds(50));
  EXPECT_FALSE(agent.is_cancelled(run));
  EXPECT_TRUE(agent.sent<wire::refusal>().empty());
  agent.send_tokens(run, 2, 1);
  agent.finish_stream(run);
  EXPECT_EQ(agent.last<wire::response_end>().length, 3U);
}

// Guards against slots that are used for a lost entry, and against an entry that waits for a cancelled run.
TEST(agent_run, cancels_the_attempts_of_a_lost_entry) {
  agent_harness agent;
  agent.receive(completion("a"));
  agent.receive(completion("b"), k_other_entry);
  agent.receive(completion("c"));
  agent.lose_link(k_entry);
  EXPECT_TRUE(agent.is_cancelled(agent.runs[0].id));
  EXPECT_EQ(agent.cancelled.size(), 1U);
  const auto refusals = agent.sent<wire::refusal>();
  ASSERT_EQ(refusals.size(), 2U);
  EXPECT_EQ(refusals[0].execution_state, wire::execution::unknown);
  EXPECT_EQ(refusals[1].execution_state, wire::execution::not_run);
  EXPECT_EQ(agent.core.load(agent.now).running, 1U);
}

// Guards against a planned stop that cancels a running request, runs a new one or leaves callers without a
// response.
TEST(agent_run, a_drain_refuses_waiting_attempts_and_finishes_running_ones) {
  agent_harness agent(config::upstream_kind::engine, 1);
  agent.receive(wire::subscribe_load{.lease_ms = 5000});
  agent.receive(completion("running"));
  agent.receive(completion("queued"));
  agent.receive(completion("held"), k_entry, 2);
  agent.drain();
  EXPECT_TRUE(agent.last<wire::load_report>().draining);
  agent.receive(completion("new"));
  const auto refusals = agent.sent<wire::refusal>();
  ASSERT_EQ(refusals.size(), 3U);
  for (const auto& refusal : refusals) {
    EXPECT_EQ(refusal.reason, wire::refusal_reason::draining);
    EXPECT_EQ(refusal.execution_state, wire::execution::not_run);
  }
  EXPECT_FALSE(agent.core.drained());
  agent.send_head(agent.runs[0].id);
  agent.send_tokens(agent.runs[0].id, 0, 1);
  agent.finish_stream(agent.runs[0].id);
  EXPECT_EQ(agent.last<wire::response_end>().request_id, "running");
  EXPECT_TRUE(agent.core.drained());
  EXPECT_EQ(agent.runs.size(), 1U);
}

// Guards against decisions that use an outdated configuration of the entry or the agent, and against an
// unlimited wait for a newer one.
TEST(agent_run, refuses_older_configurations_and_waits_for_newer_ones) {
  agent_harness agent;
  agent.configure(5);
  agent.receive(completion("old"), k_entry, 4);
  EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::stale_configuration);
  agent.receive(completion("new"), k_entry, 6);
  EXPECT_TRUE(agent.runs.empty());
  agent.configure(6);
  EXPECT_EQ(agent.runs.size(), 1U);
  agent.receive(completion("newer"), k_entry, 7);
  agent.advance(seconds(3));
  EXPECT_EQ(agent.last<wire::refusal>().request_id, "newer");
  EXPECT_EQ(agent.last<wire::refusal>().execution_state, wire::execution::not_run);
  EXPECT_GT(agent.last<wire::refusal>().retry_after_ms, 0U);
  agent.receive(completion("skipped"), k_entry, 7);
  agent.configure(8);
  EXPECT_EQ(agent.last<wire::refusal>().request_id, "skipped");
  EXPECT_EQ(agent.runs.size(), 1U);
}

// Guards against entries that route by an outdated load, and against reports to entries that have ended.
TEST(agent_run, reports_its_load_while_the_lease_lasts) {
  agent_harness agent;
  agent.receive(wire::subscribe_load{.lease_ms = 2000});
  EXPECT_EQ(agent.sent<wire::load_report>().size(), 1U);
  agent.advance(milliseconds(1900));
  EXPECT_EQ(agent.sent<wire::load_report>().size(), 4U);
  agent.receive(completion("a"));
  agent.advance(seconds(30));
  EXPECT_EQ(agent.sent<wire::load_report>().size(), 4U);
  EXPECT_TRUE(agent.is_cancelled(agent.runs[0].id));  // The lease has expired and the entry is suspected.
  EXPECT_EQ(agent.core.subscribers(), 0U);
}

// Guards against a core that drops messages of the group switch protocol.
TEST(agent_run, forwards_group_messages) {
  agent_harness agent;
  std::vector<action> actions;
  agent.core.on_message(agent.now, {.address = k_entry, .version = {}}, wire::switch_commit{}, actions);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<forward_group_message>(actions[0]));
}

// Guards against an engine's end by one request that looks like a broken connection.
TEST(agent_run, reports_an_engine_that_ends_before_the_first_token) {
  agent_harness agent;
  agent.receive(completion("a"));
  agent.receive(completion("b"));
  ASSERT_EQ(agent.runs.size(), 2U);
  agent.send_head(agent.runs[1].id);
  agent.send_tokens(agent.runs[1].id, 0, 2);
  agent.fail_run(agent.runs[0].id, true, true);
  agent.fail_run(agent.runs[1].id, true, true);
  const auto crashes = agent.sent<wire::upstream_crash>();
  ASSERT_EQ(crashes.size(), 1U);
  EXPECT_EQ(crashes[0].request_id, "a");
  EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::upstream_failed);
  EXPECT_FALSE(agent.core.load(agent.now).upstream_healthy);
}

// Guards against two ends of an engine that look like one.
TEST(agent_run, each_end_of_an_engine_has_its_own_number) {
  agent_harness agent;
  for (const auto* id : {"a", "b"}) {
    agent.receive(completion(id));
    agent.fail_run(agent.runs.back().id, true, true);
    agent.receive(completion(std::string(id) + "2"));
    agent.send_head(agent.runs.back().id);
    agent.send_tokens(agent.runs.back().id, 0, 1);
    agent.finish_stream(agent.runs.back().id);
  }
  const auto crashes = agent.sent<wire::upstream_crash>();
  ASSERT_EQ(crashes.size(), 2U);
  EXPECT_NE(crashes[0].crash, crashes[1].crash);
}

TEST(agent_run, a_broken_run_of_a_running_engine_is_no_crash) {
  agent_harness agent;
  agent.receive(completion("a"));
  agent.fail_run(agent.runs[0].id, true, false);
  EXPECT_TRUE(agent.sent<wire::upstream_crash>().empty());
}

}  // namespace
}  // namespace cuminpath::agent
