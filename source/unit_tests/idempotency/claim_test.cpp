#include "core/idempotency/claim.h"

#include <gtest/gtest.h>

namespace cuminpath::idempotency {
namespace {

const claim_target k_first_target{"booking-1", "127.0.0.1:7001", incarnation{11}};
const claim_target k_second_target{"booking-2", "127.0.0.1:7002", incarnation{12}};
const time_point k_start{};

// One row of the table service. A test can report any result of a write.
struct fake_row {
  std::uint64_t version = 0;
  json value;

  bool write(const write_row& request) {
    if (request.if_version != version) {
      return false;
    }
    ++version;
    value = request.value;
    return true;
  }
  [[nodiscard]] claim_row row() const { return claim_row_from_json(value).value(); }
};

// Removes and returns the only action of the list. Fails unless it has the given type.
template <class action_type>
action_type take_only(std::vector<action>& actions) {
  EXPECT_EQ(actions.size(), 1U);
  action_type found{};
  if (actions.size() == 1 && std::holds_alternative<action_type>(actions.front())) {
    found = std::get<action_type>(actions.front());
  } else {
    ADD_FAILURE() << "unexpected action";
  }
  actions.clear();
  return found;
}

// Executes the write and reports its result.
void execute_write(claim& machine, fake_row& table, std::vector<action>& actions) {
  const auto request = take_only<write_row>(actions);
  if (table.write(request)) {
    machine.on_write_succeeded(table.version, actions);
  } else {
    machine.on_write_conflict(k_start, table.version, table.value, actions);
  }
}

class claim_test : public ::testing::Test {
protected:
  // Returns a claim that holds the row and has sent its attempt.
  claim claim_with_sent_attempt(const std::string& token, const claim_target& target = k_first_target) {
    claim machine(token, "print");
    machine.start(target, m_actions);
    execute_write(machine, m_table, m_actions);
    take_only<send_attempt>(m_actions);
    return machine;
  }

  fake_row m_table;
  std::vector<action> m_actions;
};

// Guards against a call that is sent before its claim is known to be held.
TEST_F(claim_test, nothing_is_sent_before_the_claim_is_held) {
  claim machine("a", "print");
  machine.start(k_first_target, m_actions);
  const auto write = take_only<write_row>(m_actions);
  EXPECT_EQ(write.if_version, 0U);
  ASSERT_TRUE(m_table.write(write));
  machine.on_write_succeeded(m_table.version, m_actions);
  EXPECT_EQ(take_only<send_attempt>(m_actions).attempt, attempt_number{1});
}

// Guards against a second claim, or a call that is never sent, after the table's response was lost.
TEST_F(claim_test, lost_table_response_is_resolved_by_reading_back) {
  claim machine("a", "print");
  machine.start(k_first_target, m_actions);
  ASSERT_TRUE(m_table.write(take_only<write_row>(m_actions)));
  machine.on_write_unknown(m_actions);
  take_only<read_row>(m_actions);
  machine.on_row(k_start, m_table.version, m_table.value, m_actions);
  EXPECT_EQ(take_only<send_attempt>(m_actions).target.upstream, "booking-1");
}

// Guards against a write that takes effect after the row was read as absent and is mistaken for another
// claim.
TEST_F(claim_test, late_write_does_not_run_the_call_twice) {
  claim machine("a", "print");
  machine.start(k_first_target, m_actions);
  const auto late = take_only<write_row>(m_actions);
  machine.on_write_unknown(m_actions);
  take_only<read_row>(m_actions);
  machine.on_row(k_start, 0, nullptr, m_actions);
  const auto repeated = take_only<write_row>(m_actions);
  ASSERT_TRUE(m_table.write(late));
  ASSERT_FALSE(m_table.write(repeated));
  machine.on_write_conflict(k_start, m_table.version, m_table.value, m_actions);
  take_only<send_attempt>(m_actions);
}

// Guards against a call that is sent, or refused with an unknown outcome, while the table is unavailable.
TEST_F(claim_test, call_is_refused_as_not_run_while_the_table_is_unavailable) {
  claim machine("a", "print");
  machine.start(k_first_target, m_actions);
  m_actions.clear();
  machine.on_write_unknown(m_actions);
  take_only<read_row>(m_actions);
  machine.on_row_failed(m_actions);
  const auto refusal = take_only<refuse>(m_actions);
  EXPECT_EQ(refusal.status, 503);
  EXPECT_TRUE(refusal.not_run);
  EXPECT_GT(refusal.retry_after.count(), 0);
}

// Guards against a second run when the caller retries after the response was lost in transit.
TEST_F(claim_test, retry_with_the_same_key_gets_the_stored_response) {
  claim machine = claim_with_sent_attempt("a");
  machine.on_response(k_start, {201, {}, "booked"}, m_actions);
  execute_write(machine, m_table, m_actions);
  EXPECT_EQ(take_only<respond>(m_actions).response.body, "booked");

  claim retry("b", "print");
  retry.start(k_second_target, m_actions);
  execute_write(retry, m_table, m_actions);
  const auto response = take_only<respond>(m_actions).response;
  EXPECT_EQ(response.status, 201);
  EXPECT_EQ(response.body, "booked");
}

// Guards against a lost response when the table fails between the claim and the response.
TEST_F(claim_test, response_is_returned_although_it_cannot_be_stored) {
  claim machine = claim_with_sent_attempt("a");
  machine.on_response(k_start, {201, {}, "booked"}, m_actions);
  take_only<write_row>(m_actions);
  machine.tick(k_start + milliseconds(999), m_actions);
  EXPECT_TRUE(m_actions.empty());
  machine.tick(k_start + milliseconds(1000), m_actions);
  EXPECT_EQ(take_only<respond>(m_actions).response.body, "booked");
}

// Guards against returning the response of one request to another.
TEST_F(claim_test, another_fingerprint_under_the_same_key_is_refused) {
  claim_with_sent_attempt("a");
  claim other("b", "another print");
  other.start(k_first_target, m_actions);
  execute_write(other, m_table, m_actions);
  const auto refusal = take_only<refuse>(m_actions);
  EXPECT_EQ(refusal.status, 422);
  EXPECT_TRUE(refusal.not_run);
}

// Guards against a second run while the first is in progress, and against reporting that one as `not_run`.
TEST_F(claim_test, running_attempt_of_another_claimer_is_a_conflict) {
  claim_with_sent_attempt("a");
  claim retry("b", "print");
  retry.start(k_second_target, m_actions);
  execute_write(retry, m_table, m_actions);
  const auto settlement = take_only<settle_attempt>(m_actions);
  EXPECT_EQ(settlement.token, "a");
  EXPECT_EQ(settlement.peer_address, k_first_target.peer_address);
  retry.on_attempt_status(k_start, k_first_target.agent, settled_state::running, {}, m_actions);
  const auto refusal = take_only<refuse>(m_actions);
  EXPECT_EQ(refusal.status, 409);
  EXPECT_FALSE(refusal.not_run);
}

// Guards against a takeover based on the report of a restarted process, which has no record of the attempt.
TEST_F(claim_test, restarted_or_unresponsive_agent_leaves_the_outcome_unknown) {
  claim_with_sent_attempt("a");
  claim retry("b", "print");
  retry.start(k_second_target, m_actions);
  execute_write(retry, m_table, m_actions);
  take_only<settle_attempt>(m_actions);
  retry.on_attempt_status(k_start, incarnation{99}, settled_state::not_seen, {}, m_actions);
  EXPECT_FALSE(take_only<refuse>(m_actions).not_run);

  claim second_retry("c", "print");
  second_retry.start(k_second_target, m_actions);
  execute_write(second_retry, m_table, m_actions);
  take_only<settle_attempt>(m_actions);
  second_retry.tick(k_start + seconds(1), m_actions);
  const auto refusal = take_only<refuse>(m_actions);
  EXPECT_EQ(refusal.status, 409);
  EXPECT_FALSE(refusal.not_run);
}

// Guards against two runs when a claimer is paused between its claim and its attempt and another takes over.
TEST_F(claim_test, paused_claimer_loses_the_claim_and_does_not_move_it) {
  claim paused("a", "print");
  paused.start(k_first_target, m_actions);
  ASSERT_TRUE(m_table.write(take_only<write_row>(m_actions)));
  const std::uint64_t claimed_version = m_table.version;

  claim successor("b", "print");
  successor.start(k_second_target, m_actions);
  execute_write(successor, m_table, m_actions);
  take_only<settle_attempt>(m_actions);
  successor.on_attempt_status(k_start, k_first_target.agent, settled_state::not_seen, {}, m_actions);
  execute_write(successor, m_table, m_actions);
  EXPECT_EQ(take_only<send_attempt>(m_actions).attempt, attempt_number{2});
  EXPECT_EQ(m_table.row().token, "b");

  // The paused claimer sends its attempt, the agent refuses it because it was settled, and the write of
  // another target fails because the successor has changed the row.
  paused.on_write_succeeded(claimed_version, m_actions);
  EXPECT_EQ(take_only<send_attempt>(m_actions).attempt, attempt_number{1});
  paused.on_refusal(true, "settled", m_actions);
  take_only<choose_target>(m_actions);
  paused.on_target(k_second_target, m_actions);
  execute_write(paused, m_table, m_actions);
  EXPECT_EQ(take_only<settle_attempt>(m_actions).token, "b");
}

// Guards against a call that is sent to a second upstream before the row contains that upstream.
TEST_F(claim_test, claim_is_moved_before_another_upstream_is_tried) {
  claim machine = claim_with_sent_attempt("a");
  machine.on_refusal(true, "draining", m_actions);
  take_only<choose_target>(m_actions);
  machine.on_target(k_second_target, m_actions);
  execute_write(machine, m_table, m_actions);
  const auto second = take_only<send_attempt>(m_actions);
  EXPECT_EQ(second.target.upstream, "booking-2");
  EXPECT_EQ(second.attempt, attempt_number{2});
  EXPECT_EQ(m_table.row().upstream, "booking-2");
  EXPECT_EQ(m_table.row().attempt, attempt_number{2});
}

// Guards against a key that stays blocked after its request was refused before it ran.
TEST_F(claim_test, released_claim_is_free_for_the_next_request) {
  claim machine = claim_with_sent_attempt("a");
  machine.on_refusal(true, "queue full", m_actions);
  take_only<choose_target>(m_actions);
  machine.on_no_target({503, true, seconds(1), "no other upstream"}, m_actions);
  ASSERT_EQ(m_actions.size(), 2U);
  ASSERT_TRUE(m_table.write(std::get<write_row>(m_actions[0])));
  EXPECT_TRUE(std::get<refuse>(m_actions[1]).not_run);
  m_actions.clear();

  claim retry("b", "print");
  retry.start(k_second_target, m_actions);
  execute_write(retry, m_table, m_actions);
  execute_write(retry, m_table, m_actions);
  EXPECT_EQ(take_only<send_attempt>(m_actions).attempt, attempt_number{2});
}

// Guards against a wrong `not_run`, and against an unnecessary unknown outcome, after the link to the agent
// was lost.
TEST_F(claim_test, lost_attempt_is_settled_with_its_own_agent) {
  claim machine = claim_with_sent_attempt("a");
  machine.on_attempt_lost(k_start, m_actions);
  EXPECT_EQ(take_only<settle_attempt>(m_actions).token, "a");
  machine.on_attempt_status(k_start, k_first_target.agent, settled_state::running, {}, m_actions);
  EXPECT_TRUE(m_actions.empty());
  machine.tick(k_start + milliseconds(500), m_actions);
  take_only<settle_attempt>(m_actions);
  machine.on_attempt_status(k_start, k_first_target.agent, settled_state::finished, {200, {}, "done"},
                            m_actions);
  execute_write(machine, m_table, m_actions);
  EXPECT_EQ(take_only<respond>(m_actions).response.body, "done");
}

TEST_F(claim_test, attempt_without_status_from_its_agent_is_unknown) {
  claim machine = claim_with_sent_attempt("a");
  machine.on_attempt_lost(k_start, m_actions);
  m_actions.clear();
  machine.tick(k_start + seconds(1), m_actions);
  const auto refusal = take_only<refuse>(m_actions);
  EXPECT_EQ(refusal.status, 502);
  EXPECT_FALSE(refusal.not_run);
}

// Guards against `not_run` at the deadline for a call that was sent, and against an unknown outcome for a
// call that was not sent.
TEST_F(claim_test, deadline_refusal_reports_whether_the_call_was_sent) {
  claim machine = claim_with_sent_attempt("a");
  machine.expire(m_actions);
  EXPECT_FALSE(take_only<refuse>(m_actions).not_run);

  claim waiting("b", "print");
  waiting.start(k_first_target, m_actions);
  m_actions.clear();
  waiting.expire(m_actions);
  EXPECT_TRUE(take_only<refuse>(m_actions).not_run);
  waiting.on_write_succeeded(1, m_actions);
  EXPECT_TRUE(m_actions.empty()) << "a claim that is confirmed after the deadline must not be sent";
}

// Guards against a stored response that differs from that of the upstream.
TEST(claim_row_test, binary_bodies_survive_storage) {
  claim_row row;
  row.state = claim_state::finished;
  row.agent = incarnation{~std::uint64_t{0}};
  row.response = {200, {{"content-type", "application/pdf"}}, std::string("\xff\x00\x1a\xa9", 4)};
  const auto read = claim_row_from_json(json::parse(to_json(row).dump()));
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value().response.body, row.response.body);
  EXPECT_EQ(read.value().agent, row.agent);
}

}  // namespace
}  // namespace cuminpath::idempotency
