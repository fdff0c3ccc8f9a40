// Tests calls that may not be repeated.
#include <gtest/gtest.h>

#include <map>

#include "core/common/random.h"
#include "unit_tests/agent/agent_harness.h"

namespace cuminpath::agent {
namespace {

using support::agent_harness;
using support::booking;
using support::k_entry;
using support::k_other_entry;

constexpr auto k_service = config::upstream_kind::service;

wire::settle_attempt settle(std::string id, std::uint32_t number = 1) {
  return {.request_id = std::move(id), .attempt = attempt_number{number}};
}

// Guards against a second run of a booking, even long after the first and after any settlement requests.
TEST(single_run, runs_once_and_settles_with_the_stored_response) {
  agent_harness agent(k_service);
  agent.receive(booking("a"));
  ASSERT_EQ(agent.runs.size(), 1U);
  EXPECT_TRUE(agent.runs[0].options.never_reuse_connection);
  EXPECT_EQ(agent.runs[0].request.target, "/bookings?day=1");
  EXPECT_FALSE(agent.runs[0].request.header("Connection"));
  EXPECT_TRUE(agent.runs[0].request.header("Idempotency-Key"));
  agent.receive(settle("a"), k_other_entry);
  EXPECT_EQ(agent.last<wire::attempt_status>().state, wire::attempt_state::running);
  agent.send_head(agent.runs[0].id, 201);
  agent.send_data(agent.runs[0].id, "boo");
  agent.send_data(agent.runs[0].id, "ked");
  EXPECT_EQ(agent.last<wire::response_chunk>().index, 3U);
  agent.end_run(agent.runs[0].id);
  EXPECT_EQ(agent.last<wire::response_end>().length, 6U);
  agent.advance(std::chrono::minutes(9));
  agent.receive(settle("a"), k_other_entry);
  const auto status = agent.last<wire::attempt_status>();
  EXPECT_EQ(status.state, wire::attempt_state::finished);
  EXPECT_EQ(status.status, 201);
  EXPECT_EQ(status.body, "booked");
  agent.receive(booking("a"));
  EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::duplicate_attempt);
  EXPECT_EQ(agent.last<wire::refusal>().execution_state, wire::execution::unknown);

  agent.advance(std::chrono::minutes(5));
  EXPECT_EQ(agent.core.attempts().ended_size(), 0U);
  agent.receive(settle("a"));
  EXPECT_EQ(agent.last<wire::attempt_status>().state, wire::attempt_state::failed);
  agent.receive(booking("a"));
  EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::duplicate_attempt);
  EXPECT_EQ(agent.runs.size(), 1U);
}

// Guards against an attempt that runs after the agent reported it as not seen to another entry, which then
// took over the request.
TEST(single_run, an_attempt_settled_as_not_seen_never_runs) {
  agent_harness agent(k_service);
  agent.receive(settle("a"), k_other_entry);
  EXPECT_EQ(agent.last<wire::attempt_status>().state, wire::attempt_state::not_seen);
  agent.receive(booking("a"));
  EXPECT_EQ(agent.last<wire::refusal>().execution_state, wire::execution::not_run);
  agent.receive(settle("b"), k_other_entry);
  agent.advance(std::chrono::minutes(11));
  agent.receive(booking("b"));  // Sent by an entry that was suspended.
  EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::duplicate_attempt);
  EXPECT_TRUE(agent.runs.empty());
  // Another attempt of the same request is a new one.
  auto next = booking("a");
  next.attempt = attempt_number{2};
  agent.receive(next);
  EXPECT_EQ(agent.runs.size(), 1U);
}

// Guards against a booking that is aborted midway because of a lost entry, a cancellation or its deadline.
TEST(single_run, a_run_in_progress_is_never_cancelled) {
  agent_harness agent(k_service);
  agent.receive(booking("a"));
  agent.receive(wire::cancel_request{.request_id = "a", .attempt = attempt_number{1}});
  agent.lose_link(k_entry);
  agent.advance(seconds(65));
  EXPECT_TRUE(agent.cancelled.empty());
  EXPECT_GT(agent.runs[0].options.timeout, seconds(60));
  agent.send_head(agent.runs[0].id);
  agent.end_run(agent.runs[0].id);
  agent.receive(settle("a"), k_other_entry);
  EXPECT_EQ(agent.last<wire::attempt_status>().state, wire::attempt_state::finished);
}

// Guards against a failed run that is reported as not seen, and against a call that was never sent and is
// reported as one that may have run.
TEST(single_run, reports_whether_a_failed_call_was_sent) {
  agent_harness agent(k_service);
  agent.receive(booking("broken"));
  agent.fail_run(agent.runs[0].id, true);
  agent.receive(settle("broken"));
  EXPECT_EQ(agent.last<wire::attempt_status>().state, wire::attempt_state::failed);
  agent.receive(booking("unsent"));
  agent.fail_run(agent.runs[1].id, false);
  EXPECT_EQ(agent.last<wire::refusal>().execution_state, wire::execution::not_run);
  agent.receive(settle("unsent"));
  EXPECT_EQ(agent.last<wire::attempt_status>().state, wire::attempt_state::not_seen);
  agent.receive(booking("unsent"));
  EXPECT_EQ(agent.runs.size(), 2U);
}

// Guards against second runs and false reports in random sequences of events: duplicates, settlements,
// failures, lost entries, cancellations and the passing of time, with a drain at the end.
TEST(single_run, random_events_cause_no_second_run) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    random_source random(seed);
    agent_harness agent(k_service, 3);
    for (int step = 0; step < 600; ++step) {
      const auto id = "r" + std::to_string(random_index(random, 60));
      const auto run = agent.runs.empty() ? run_id{} : agent.runs[random_index(random, agent.runs.size())].id;
      switch (random_index(random, 10)) {
        case 0:
        case 1:
        case 2:
          agent.receive(booking(id));
          break;
        case 3:
          agent.receive(settle(id), k_other_entry);
          break;
        case 4:
          agent.send_head(run);
          agent.end_run(run);
          break;
        case 5:
          agent.fail_run(run, random_index(random, 2) == 0);
          break;
        case 6:
          agent.receive(wire::cancel_request{.request_id = id, .attempt = attempt_number{1}});
          break;
        case 7:
          agent.lose_link(k_entry);
          break;
        case 8:
          agent.send_head(run);
          agent.send_data(run, "x");
          break;
        default:
          agent.advance(milliseconds(100 * random_index(random, 50)));
      }
    }
    agent.drain();
    for (const auto& run : agent.runs) {
      agent.end_run(run.id);
    }
    EXPECT_TRUE(agent.core.drained());
    // An attempt starts at most once. An attempt that was reported as not run does not start afterwards; if
    // it had started before, the service received none of it.
    std::map<std::string, int> starts;
    for (const auto& run : agent.runs) {
      EXPECT_EQ(++starts[std::string(*run.request.header("X-Request-Id"))], 1);
    }
    std::map<std::string, bool> ended;
    for (const auto& end : agent.sent<wire::response_end>()) {
      ended[end.request_id] = true;
    }
    for (const auto& refusal : agent.sent<wire::refusal>()) {
      EXPECT_FALSE(refusal.execution_state == wire::execution::not_run && ended[refusal.request_id]);
    }
    for (const auto& status : agent.sent<wire::attempt_status>()) {
      EXPECT_FALSE(status.state == wire::attempt_state::not_seen && ended[status.request_id]);
    }
    EXPECT_TRUE(agent.cancelled.empty());
  }
}

// Guards against a second run: an entry that was suspended after its claim sends the attempt to an agent that
// has restarted meanwhile and has lost the record that it must refuse the attempt.
TEST(single_run, an_attempt_for_an_earlier_process_is_refused_as_not_run) {
  agent_harness agent(config::upstream_kind::service);
  auto request = booking("r1");
  request.receiver = incarnation{6};
  agent.receive(request);
  agent.advance(milliseconds(100));
  EXPECT_TRUE(agent.runs.empty());
  EXPECT_EQ(agent.last<wire::refusal>().execution_state, wire::execution::not_run);
  EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::agent_restarted);
  auto current = booking("r2");
  current.receiver = support::k_agent_incarnation;
  agent.receive(current);
  agent.advance(milliseconds(100));
  EXPECT_EQ(agent.runs.size(), 1U);
}

// Guards against an agent that goes on reading what its entry has given up, and that cannot be cancelled.
TEST(single_run, a_response_without_end_is_given_up) {
  constexpr std::size_t k_max_bytes = 16U << 20U;
  agent_harness agent(k_service);
  agent.receive(booking("a"));
  const auto run = agent.runs[0].id;
  agent.send_head(run, 200);
  const std::string data(1U << 20U, 'x');
  for (std::size_t sent = 0; sent < 4 * k_max_bytes && !agent.is_cancelled(run); sent += data.size()) {
    agent.send_data(run, data);
  }
  EXPECT_TRUE(agent.is_cancelled(run));
  EXPECT_EQ(agent.sent<wire::response_chunk>().size(), k_max_bytes / data.size());
  EXPECT_EQ(agent.last<wire::refusal>().reason, wire::refusal_reason::upstream_failed);
  EXPECT_EQ(agent.last<wire::refusal>().execution_state, wire::execution::unknown);
}

}  // namespace
}  // namespace cuminpath::agent
