#include "unit_tests/entry/entry_fixture.h"

namespace cuminpath::entry {
namespace {

using wire::execution;
using wire::refusal_reason;

class service_call_test : public entry_fixture {
protected:
  // Answers the pending write of the claim as the table would.
  void win_write() {
    const auto writes = take<write_claim>();
    ASSERT_EQ(writes.size(), 1U);
    m_row = writes.front().value;
    call(&entry_core::on_claim_written, writes.front().caller, true, ++m_version, json());
  }
  void lose_write() {
    const auto writes = take<write_claim>();
    ASSERT_EQ(writes.size(), 1U);
    call(&entry_core::on_claim_written, writes.front().caller, false, m_version, m_row);
  }
  void send_answer(const submitted_attempt& to, const std::string& body) {
    receive(to.peer, wire::response_head{to.message.request_id, to.message.attempt, 201, {{"X-Made", "1"}}});
    receive(to.peer, wire::response_chunk{to.message.request_id, to.message.attempt, 0, 0, body});
    send_response_end(to, body.size());
  }

  json m_row;
  std::uint64_t m_version = 0;
};

// Guards against a call that is sent before its claim is held, or answered before its response is stored.
TEST_F(service_call_test, booking_is_claimed_sent_stored_and_answered_in_this_order) {
  send_booking("k-1");
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
  win_write();
  const auto sent = take_submitted();
  EXPECT_FALSE(sent.message.repeatable);
  EXPECT_EQ(sent.message.path, "/bookings");
  EXPECT_EQ(m_row["peer_address"], sent.peer);
  EXPECT_EQ(m_row["agent_incarnation"], std::to_string(to_integer(sent.message.receiver)));
  EXPECT_EQ(m_row["token"], sent.message.request_id);
  send_answer(sent, "booked");
  EXPECT_TRUE(take<respond>().empty());
  win_write();
  EXPECT_EQ(m_row["state"], "finished");
  const auto response = take_response();
  EXPECT_EQ(response.status, 201);
  EXPECT_EQ(response.body, "booked");
  EXPECT_EQ(http::find_header(response.headers, "X-Made"), "1");

  // A retry by the caller receives the stored response.
  send_booking("k-1");
  lose_write();
  EXPECT_EQ(take_response().body, "booked");
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
}

// The body of a response to GET has its own length, of which that of the upstream may be another.
TEST_F(service_call_test, the_length_that_a_service_states_is_passed_on_in_responses_to_head_only) {
  for (const char* method : {"HEAD", "GET"}) {
    send({method, "/services/orders/list", {{"Authorization", "Bearer " + std::string(k_api_key)}}, ""});
    const auto sent = take_submitted();
    receive(sent.peer, wire::response_head{
                           sent.message.request_id, sent.message.attempt, 200, {{"Content-Length", "4"}}});
    send_response_end(sent, 0);
    const auto response = take_response();
    EXPECT_EQ(http::find_header(response.headers, "Content-Length").has_value(),
              std::string(method) == "HEAD");
  }
}

// Guards against a booking that is lost or runs twice when the table's response is lost.
TEST_F(service_call_test, lost_table_response_is_read_back) {
  const auto caller = send_booking("k-1");
  const auto write = take<write_claim>().at(0);
  call(&entry_core::on_claim_write_unknown, caller);
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
  EXPECT_EQ(take<read_claim>().at(0).key, write.key);
  call(&entry_core::on_claim_row, caller, std::uint64_t{1}, write.value);
  EXPECT_EQ(take_submitted().message.request_id, write.value["token"]);
}

// Guards against bookings that run, or are reported as unknown, while the table is unavailable.
TEST_F(service_call_test, unavailable_table_refuses_as_not_run) {
  const auto caller = send_booking("k-1");
  call(&entry_core::on_claim_write_unknown, caller);
  call(&entry_core::on_claim_row_failed, caller);
  const auto response = take_response();
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(execution_of(response), "not_run");
  EXPECT_TRUE(http::find_header(response.headers, "Retry-After"));
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
}

// Guards against running a different call under an idempotency key that is already in use.
TEST_F(service_call_test, another_body_under_the_same_key_is_refused) {
  send_booking("k-1", "a");
  win_write();
  take_submitted();
  send_booking("k-1", "b");
  lose_write();
  const auto response = take_response();
  EXPECT_EQ(response.status, 422);
  EXPECT_EQ(execution_of(response), "not_run");
}

// Guards against a second run while the first is in progress at this or another entry.
TEST_F(service_call_test, key_in_progress_is_settled_with_the_named_agent) {
  send_booking("k-1");
  win_write();
  const auto sent = take_submitted();
  send_booking("k-1");
  lose_write();
  const auto settlements = take_messages<wire::settle_attempt>();
  ASSERT_EQ(settlements.size(), 1U);
  EXPECT_EQ(settlements[0].first, sent.peer);
  EXPECT_EQ(settlements[0].second.request_id, sent.message.request_id);
  receive(sent.peer,
          wire::attempt_status{
              sent.message.request_id, sent.message.attempt, wire::attempt_state::running, 0, {}, ""});
  const auto response = take_response();
  EXPECT_EQ(response.status, 409);
  EXPECT_EQ(execution_of(response), "unknown");
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
}

// Guards against trying a second upstream before the claim row names it.
TEST_F(service_call_test, refused_call_moves_to_another_upstream_by_a_write) {
  send_booking("k-1");
  win_write();
  const auto first = take_submitted();
  send_refusal(first, execution::not_run, refusal_reason::draining);
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
  win_write();
  const auto second = take_submitted();
  EXPECT_NE(second.peer, first.peer);
  EXPECT_EQ(second.message.attempt, attempt_number{2});
  EXPECT_EQ(m_row["peer_address"], second.peer);
}

// Guards against a booking that hangs or is refused because the entry's configuration is out of date.
TEST_F(service_call_test, stale_configuration_moves_the_claim_after_the_update) {
  send_booking("k-1");
  win_write();
  send_refusal(take_submitted(), execution::not_run, refusal_reason::stale_configuration);
  run_for(milliseconds(100));
  EXPECT_TRUE(take<write_claim>().empty());
  call(&entry_core::on_configuration, configuration_version{2}, sample_manifest());
  run_for(milliseconds(10));
  win_write();
  EXPECT_EQ(take_submitted().message.attempt, attempt_number{2});
}

// Guards against a second run after a lost link: a retry requires the agent's confirmation that the call did
// not run.
TEST_F(service_call_test, lost_link_is_settled_before_any_retry) {
  send_booking("k-1");
  win_write();
  const auto sent = take_submitted();
  call(&entry_core::on_link_lost, std::string_view(sent.peer));
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
  EXPECT_EQ(take_messages<wire::settle_attempt>().size(), 1U);
  run_for(milliseconds(1100));
  const auto response = take_response();
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(execution_of(response), "unknown");
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
}

// Guards against sending the attempt to a process that the claim does not name and that cannot settle the
// attempt.
TEST_F(service_call_test, agent_restarted_during_the_claim_receives_no_attempt) {
  send_booking("k-1");
  ++agent_incarnation;
  for (const auto& peer : alive) {
    call(&entry_core::on_link_lost, std::string_view(peer));
    receive_load_report(peer);
  }
  win_write();
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
  win_write();  // The claim moves to another process.
  EXPECT_EQ(m_row["agent_incarnation"], "2");
  EXPECT_EQ(take_submitted().message.attempt, attempt_number{2});
}

// Guards against sending a call whose claim is confirmed only after the entry was suspended beyond the
// deadline.
TEST_F(service_call_test, suspended_entry_does_not_send_after_the_deadline) {
  const auto caller = send_booking("k-1");
  actions.clear();
  now += seconds(200);
  call(&entry_core::on_claim_written, caller, true, std::uint64_t{1}, json());
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
  EXPECT_EQ(execution_of(take_response()), "not_run");
}

// Guards against losing a booking whose caller disconnects: the outcome must be stored for the caller's
// retry.
TEST_F(service_call_test, call_continues_when_its_caller_disconnects) {
  const auto caller = send_booking("k-1");
  win_write();
  const auto sent = take_submitted();
  call(&entry_core::on_caller_closed, caller);
  EXPECT_TRUE(take_messages<wire::cancel_request>().empty());
  send_answer(sent, "booked");
  win_write();
  EXPECT_EQ(m_row["response"]["body"], "booked");
  EXPECT_TRUE(take<respond>().empty());
  EXPECT_EQ(core.in_flight(), 0U);
}

// Guards against a truncated response, and against one that begins with data of the failed attempt, when the
// link is lost in the middle of a service's response.
TEST_F(service_call_test, repeatable_call_restarts_on_another_upstream) {
  send({"GET", "/services/orders/routes", {{"Authorization", "Bearer " + std::string(k_api_key)}}, ""});
  const auto first = take_submitted();
  receive(first.peer, wire::response_head{first.message.request_id, first.message.attempt, 200, {}});
  receive(first.peer, wire::response_chunk{first.message.request_id, first.message.attempt, 0, 0, "half"});
  call(&entry_core::on_link_lost, std::string_view(first.peer));
  const auto second = take_submitted();
  EXPECT_NE(second.peer, first.peer);
  send_answer(second, "whole");
  EXPECT_EQ(take_response().body, "whole");
}

// Guards against a safe call whose caller is not told that it has not run.
TEST_F(service_call_test, safe_call_that_two_agents_refuse_fails_at_once_as_not_run) {
  send({"GET", "/services/orders/routes", {{"Authorization", "Bearer " + std::string(k_api_key)}}, ""});
  send_refusal(take_submitted(), execution::not_run, wire::refusal_reason::queue_full);
  send_refusal(take_submitted(), execution::not_run, wire::refusal_reason::queue_full);
  const auto response = take_response();
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(execution_of(response), "not_run");
}

// Guards against `not_run` for a safe call that may have run at an agent that is silent.
TEST_F(service_call_test, safe_call_at_a_silent_agent_moves_and_fails_as_unknown_if_the_next_refuses) {
  send({"GET", "/services/orders/routes", {{"Authorization", "Bearer " + std::string(k_api_key)}}, ""});
  const auto first = take_submitted();
  std::erase(alive, first.peer);
  run_for(milliseconds(2200));
  EXPECT_EQ(take_messages<wire::cancel_request>().size(), 1U);
  const auto second = take_submitted();
  EXPECT_NE(second.peer, first.peer);
  send_refusal(second, execution::not_run, wire::refusal_reason::queue_full);
  const auto response = take_response();
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(execution_of(response), "unknown");
}

}  // namespace
}  // namespace cuminpath::entry
