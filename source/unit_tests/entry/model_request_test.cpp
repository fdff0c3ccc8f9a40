#include <gmock/gmock.h>

#include "unit_tests/entry/entry_fixture.h"

namespace cuminpath::entry {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using wire::execution;
using wire::refusal_reason;

class model_request_test : public entry_fixture {
protected:
  // Returns the concatenated texts of the token events in a stream.
  static std::string texts_of(const std::string& stream) {
    std::string texts;
    for (std::size_t at = stream.find("data: {"); at != std::string::npos; at = stream.find("data: {", at)) {
      const std::size_t end = stream.find("\n\n", at);
      const auto event = parse_token_event(std::string_view(stream).substr(at + 6, end - at - 6));
      texts += event ? event.value().text : "";
      at = end;
    }
    return texts;
  }
};

// Guards against a stream whose content or end differs from what the engine generated.
TEST_F(model_request_test, streamed_completion_is_forwarded_completely) {
  send_completion(true);
  const auto sent = take_submitted();
  send_response_tokens(sent, 0, {"a", "b"});
  send_response_tokens(sent, 2, {"c"});
  send_response_end(sent, 3);
  const std::string stream = take_streamed();
  EXPECT_EQ(texts_of(stream), "abc");
  EXPECT_THAT(stream, HasSubstr("data: [DONE]\n\n"));
  EXPECT_EQ(take<begin_stream>().size(), 1U);
  EXPECT_EQ(take<end_stream>().size(), 1U);
  EXPECT_EQ(core.in_flight(), 0U);
}

// Guards against duplicate or missing tokens when a stream moves to another replica, and against late frames
// of the abandoned attempt.
TEST_F(model_request_test, broken_stream_resumes_at_the_next_token) {
  send_completion(true);
  const auto first = take_submitted();
  send_response_tokens(first, 0, {"a", "b"});
  call(&entry_core::on_link_lost, std::string_view(first.peer));
  const auto second = take_submitted();
  EXPECT_NE(second.peer, first.peer);
  EXPECT_EQ(second.message.resume_index, 2U);
  EXPECT_EQ(second.message.resume_text, "ab");
  EXPECT_EQ(take_messages<wire::cancel_request>().size(), 1U);

  send_response_tokens(first, 2, {"late"});
  send_response_end(first, 3);
  send_response_tokens(second, 1, {"b", "c"});  // Overlaps with the tokens that the caller already has.
  send_response_tokens(second, 1, {"b", "c"});  // A complete duplicate.
  send_response_end(second, 3);
  const std::string stream = take_streamed();
  EXPECT_EQ(texts_of(stream), "abc");
  EXPECT_THAT(stream, HasSubstr("[DONE]"));
  EXPECT_GE(core.counters().late_frames, 4U);
}

// Guards against a response that looks complete although a frame was lost.
TEST_F(model_request_test, missing_frame_is_never_skipped) {
  send_completion(true);
  const auto first = take_submitted();
  send_response_tokens(first, 0, {"a"});
  send_response_tokens(first, 2, {"c"});
  const auto second = take_submitted();
  EXPECT_EQ(second.message.resume_index, 1U);
  send_response_end(second, 3);  // The end arrives without the tokens before it.
  const auto third = take_submitted();
  EXPECT_EQ(third.message.resume_index, 1U);
  send_response_tokens(third, 1, {"b", "c"});
  send_response_end(third, 3);
  EXPECT_EQ(texts_of(take_streamed()), "abc");
}

// Guards against mixing the frames of an abandoned attempt with those of the next attempt at the same agent.
// The engine may generate other tokens the second time, so mixing the two would corrupt the response.
TEST_F(model_request_test, late_frames_from_the_same_agent_are_dropped) {
  for (const char* peer : {"m2", "m3"}) {
    call(&entry_core::on_link_lost, std::string_view(peer));
  }
  send_completion(false);
  const auto first = take_submitted();
  send_response_tokens(first, 1, {"x"});  // A frame is missing, so the attempt is abandoned.
  const auto second = take_submitted();
  ASSERT_EQ(second.peer, first.peer);
  EXPECT_EQ(second.message.attempt, attempt_number{2});
  send_response_tokens(first, 0, {"late", "later"});
  send_refusal(first, execution::not_run, refusal_reason::cancelled);
  send_response_tokens(second, 0, {"a", "b"});
  send_response_end(first, 2);
  send_response_end(second, 2);
  EXPECT_EQ(parse_json(take_response().body).value()["choices"][0]["text"], "ab");
}

// Guards against missing tokens in the assembled response after a resume.
TEST_F(model_request_test, response_without_stream_is_assembled_across_a_resume) {
  send_completion(false, {{"X-Request-Id", "r-7"}});
  const auto first = take_submitted();
  send_response_tokens(first, 0, {"na", "r"});
  send_refusal(first, execution::unknown, refusal_reason::upstream_failed);
  const auto second = take_submitted();
  send_response_tokens(second, 2, {"mada"});
  send_response_end(second, 3);
  const auto response = take_response();
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(http::find_header(response.headers, "X-Request-Id"), "r-7");
  const auto document = parse_json(response.body).value();
  EXPECT_EQ(document["choices"][0]["text"], "narmada");
  EXPECT_EQ(document["usage"]["completion_tokens"], 3);
}

// Guards against a failed stream that ends as if it were complete.
TEST_F(model_request_test, stream_that_cannot_continue_ends_with_an_explicit_error) {
  send_completion(true, {{"X-Request-Timeout-Ms", "12000"}});
  send_response_tokens(take_submitted(), 0, {"a"});
  alive.clear();
  for (const char* peer : {"m1", "m2", "m3"}) {
    call(&entry_core::on_link_lost, std::string_view(peer));
  }
  run_for(milliseconds(11980));
  std::string stream = take_streamed();
  EXPECT_THAT(stream, Not(HasSubstr("error")));
  EXPECT_TRUE(take<end_stream>().empty());
  run_for(milliseconds(30));
  stream = take_streamed();
  EXPECT_THAT(stream, HasSubstr("event: error\ndata: {"));
  EXPECT_THAT(stream, HasSubstr("\"execution\":\"unknown\""));
  EXPECT_THAT(stream, Not(HasSubstr("[DONE]")));
  EXPECT_EQ(take<end_stream>().size(), 1U);
}

// Guards against streams that hang on a host that is frozen without closing its connections.
TEST_F(model_request_test, unresponsive_agent_is_suspected_and_its_stream_moves) {
  send_completion(true);
  const auto first = take_submitted();
  send_response_tokens(first, 0, {"a"});
  std::erase(alive, first.peer);
  run_for(milliseconds(2200));
  const auto second = take_submitted();
  EXPECT_NE(second.peer, first.peer);
  EXPECT_EQ(second.message.resume_index, 1U);
}

// Guards against an incorrect `not_run`: the first attempt may have run, even if the second agent reports
// `not_run`.
TEST_F(model_request_test, refusal_after_a_lost_attempt_is_reported_as_unknown) {
  send_completion(false);
  call(&entry_core::on_link_lost, std::string_view(take_submitted().peer));
  send_refusal(take_submitted(), execution::not_run, refusal_reason::over_share);
  const auto response = take_response();
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(execution_of(response), "unknown");
}

// Guards against refusals that state neither that nothing ran nor when the caller may retry.
TEST_F(model_request_test, refusals_of_agents_reach_the_caller_as_not_run) {
  send_completion(false);
  send_refusal(take_submitted(), execution::not_run, refusal_reason::over_share);
  auto response = take_response();
  EXPECT_EQ(response.status, 429);
  EXPECT_EQ(execution_of(response), "not_run");
  EXPECT_TRUE(http::find_header(response.headers, "Retry-After"));

  send_completion(false);
  send_refusal(take_submitted(), execution::not_run, refusal_reason::infeasible);
  send_refusal(take_submitted(), execution::not_run, refusal_reason::infeasible);
  EXPECT_EQ(take_response().status, 429) << "a third busy upstream is not tried";
}

// Guards against `not_run` at the deadline of an attempt that was sent, and against `unknown` although the
// agent's refusal arrives shortly after the deadline.
TEST_F(model_request_test, deadline_of_a_sent_attempt_is_unknown_unless_the_agent_confirms) {
  send_completion(false, {{"X-Request-Timeout-Ms", "500"}});
  take_submitted();
  run_for(milliseconds(600));
  auto response = take_response();
  EXPECT_EQ(response.status, 504);
  EXPECT_EQ(execution_of(response), "unknown");
  EXPECT_EQ(take_messages<wire::cancel_request>().size(), 1U);

  send_completion(false, {{"X-Request-Timeout-Ms", "500"}});
  const auto sent = take_submitted();
  run_for(milliseconds(520));
  send_refusal(sent, execution::not_run, refusal_reason::deadline_passed);
  response = take_response();
  EXPECT_EQ(response.status, 504);
  EXPECT_EQ(execution_of(response), "not_run");
}

// Guards against retries that multiply the load while the whole fleet fails.
TEST_F(model_request_test, retries_stay_within_the_budget) {
  constexpr int k_requests = 1000;
  std::size_t attempts = 0;
  for (int i = 0; i < k_requests; ++i) {
    send_completion(false);
    for (auto sent = take_messages<wire::submit_request>(); !sent.empty();
         sent = take_messages<wire::submit_request>()) {
      attempts += sent.size();
      send_refusal({sent[0].first, sent[0].second}, execution::not_run, refusal_reason::upstream_failed);
    }
    run_for(milliseconds(10));
  }
  EXPECT_LE(static_cast<double>(attempts), 1.08 * k_requests + 10);
}

// Guards against requests that fail, or use up the retry budget, while agents are being replaced.
TEST_F(model_request_test, draining_agents_cost_no_retry) {
  for (int i = 0; i < 100; ++i) {
    send_completion(false);
    const auto first = take_submitted();
    send_refusal(first, execution::not_run, refusal_reason::draining);
    const auto second = take_submitted();
    EXPECT_NE(second.peer, first.peer);
    send_response_end(second, 0);
  }
  EXPECT_EQ(core.counters().retries, 0U);
  EXPECT_EQ(take<respond>().size(), 100U);
}

// Guards against requests that fail because the entry's configuration is older than an agent's.
TEST_F(model_request_test, request_waits_for_the_newer_configuration) {
  send_completion(false);
  send_refusal(take_submitted(), execution::not_run, refusal_reason::stale_configuration);
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
  call(&entry_core::on_configuration, configuration_version{2}, sample_manifest());
  call(&entry_core::on_configuration, configuration_version{1}, sample_manifest());
  EXPECT_EQ(core.configuration().version(), configuration_version{2});
  run_for(milliseconds(10));
  send_response_end(take_submitted(), 0);
  EXPECT_EQ(take_response().status, 200);
}

// Guards against engines that continue to generate for a caller that has disconnected, and against unbounded
// buffers for slow callers.
TEST_F(model_request_test, disconnected_and_slow_callers_cancel_their_attempts) {
  const auto disconnected = send_completion(true);
  take_submitted();
  call(&entry_core::on_caller_closed, disconnected);
  EXPECT_EQ(take_messages<wire::cancel_request>().size(), 1U);

  const auto slow = send_completion(true);
  send_response_tokens(take_submitted(), 0, {"a"});
  call(&entry_core::on_caller_stalled, slow);
  EXPECT_EQ(take_messages<wire::cancel_request>().size(), 1U);
  EXPECT_EQ(take<abort_stream>().size(), 1U);
  EXPECT_TRUE(take<end_stream>().empty()) << "an abandoned stream must not look complete";
  EXPECT_EQ(core.in_flight(), 0U);
}

// Guards against an entry that runs out of memory, and against sound responses that are given up in place of
// those without end.
TEST_F(model_request_test, the_largest_response_is_given_up_once_all_take_too_much_memory) {
  constexpr std::size_t k_limit = 64U << 20U;
  constexpr std::size_t k_part = 512U << 10U;
  // Strings grow by a factor of 2, so these take 16 and 8 MB.
  constexpr std::size_t k_largest = 31 * k_part;
  constexpr std::size_t k_other = 15 * k_part;
  const auto send_body = [&](const submitted_attempt& to, std::size_t size) {
    receive(to.peer, wire::response_head{to.message.request_id, to.message.attempt, 400, {}});
    for (std::size_t at = 0; at < size; at += k_part) {
      const std::string part(std::min(k_part, size - at), 'x');
      receive(to.peer, wire::response_chunk{to.message.request_id, to.message.attempt, at, 0, part});
    }
  };
  const caller_id largest = send_completion(false);
  send_body(take_submitted(), k_largest);
  std::vector<caller_id> others;
  for (std::size_t held = 16U << 20U; held + (8U << 20U) < k_limit; held += 8U << 20U) {
    others.push_back(send_completion(false));
    send_body(take_submitted(), k_other);
  }
  EXPECT_TRUE(take<respond>().empty());
  send_completion(false);
  const auto sound = take_submitted();
  send_body(sound, 5U << 20U);
  const auto given_up = take<respond>();
  ASSERT_EQ(given_up.size(), 1U);
  EXPECT_EQ(given_up[0].caller, largest);
  EXPECT_EQ(given_up[0].response.status, 502);
  EXPECT_THAT(given_up[0].response.body, HasSubstr("unknown"));
  EXPECT_EQ(core.counters().responses_given_up, 1U);
  send_response_end(sound, 5U << 20U);
  EXPECT_EQ(take_response().body.size(), 5U << 20U);
  for (const caller_id other : others) {
    call(&entry_core::on_caller_closed, other);
  }
  EXPECT_EQ(core.in_flight(), 0U);
}

}  // namespace
}  // namespace cuminpath::entry
