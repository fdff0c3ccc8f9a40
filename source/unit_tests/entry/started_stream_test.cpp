// Checks that a started stream keeps its attempt until another replaces it, and waits for one until its
// deadline.
#include <gmock/gmock.h>

#include "unit_tests/entry/entry_fixture.h"

namespace cuminpath::entry {
namespace {

using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::Not;
using wire::execution;
using wire::refusal_reason;

class started_stream : public entry_fixture {
protected:
  // Begins a stream with the tokens "a" and "b".
  submitted_attempt begin_stream_of(const char* timeout_ms = "20000") {
    send_completion(true, {{"X-Request-Timeout-Ms", timeout_ms}});
    auto attempt = take_submitted();
    receive(attempt.peer, wire::response_head{attempt.message.request_id, attempt.message.attempt, 200, {}});
    send_response_tokens(attempt, 0, {"a", "b"});
    EXPECT_EQ(take_texts(), "ab");
    return attempt;
  }
  submitted_attempt begin_broken_stream() {
    const auto first = begin_stream_of();
    call(&entry_core::on_link_lost, std::string_view(first.peer));
    take_messages<wire::cancel_request>();
    return take_submitted();
  }
  // Lets the agent send nothing until the entry has sent the request to another one.
  submitted_attempt silence(const submitted_attempt& attempt) {
    std::erase(alive, attempt.peer);
    run_for(milliseconds(2200));
    return take_submitted();
  }
  std::vector<std::pair<std::string, wire::submit_request>> run_and_take_attempts(milliseconds length) {
    run_for(length);
    return take_messages<wire::submit_request>();
  }
  // Returns the texts of the tokens since the last call. Other events are shown in brackets.
  std::string take_texts() {
    std::string texts;
    for (const auto& part : take<write_stream>()) {
      std::string_view rest = part.data;
      while (!rest.empty()) {
        const std::string_view event = rest.substr(0, rest.find("\n\n"));
        rest.remove_prefix(std::min(rest.size(), event.size() + 2));
        const auto token = parse_token_event(event.substr(std::min<std::size_t>(event.size(), 6)));
        texts += token ? token.value().text : "<" + std::string(event) + ">";
      }
    }
    return texts;
  }
  void expect_completed(const std::string& rest) {
    EXPECT_EQ(take_texts(), rest + "<data: [DONE]>");
    EXPECT_EQ(take<end_stream>().size(), 1U);
    EXPECT_EQ(core.in_flight(), 0U);
  }
};

struct refusal_case {
  const char* name;
  refusal_reason reason;
};
class refused_stream : public started_stream, public ::testing::WithParamInterface<refusal_case> {};

TEST_P(refused_stream, is_not_cut_while_it_has_time) {
  auto attempt = begin_broken_stream();
  std::size_t attempts = 1;
  while (now < time_point(seconds(1015))) {
    send_refusal(attempt, execution::not_run, GetParam().reason);
    auto next = take_messages<wire::submit_request>();
    for (int i = 0; next.empty() && i < 200; ++i) {
      next = run_and_take_attempts(milliseconds(10));
    }
    ASSERT_EQ(next.size(), 1U) << take_texts();
    attempt = {next[0].first, next[0].second};
    ASSERT_LE(++attempts, 22U) << "the pauses grow to a second";
    ASSERT_EQ(attempt.message.resume_index, 2U);
  }
  EXPECT_EQ(core.counters().retries, 1U) << "only the lost attempt has run";
  send_response_tokens(attempt, 2, {"c"});
  send_response_end(attempt, 3);
  expect_completed("c");
}

INSTANTIATE_TEST_SUITE_P(reasons, refused_stream,
                         ::testing::Values(refusal_case{"queue_full", refusal_reason::queue_full},
                                           refusal_case{"infeasible", refusal_reason::infeasible},
                                           refusal_case{"over_share", refusal_reason::over_share},
                                           refusal_case{"draining", refusal_reason::draining},
                                           refusal_case{"unreachable", refusal_reason::upstream_failed}),
                         [](const auto& named) { return named.param.name; });

TEST_F(started_stream, ends_with_an_error_at_its_deadline_if_every_agent_refuses) {
  auto attempt = begin_broken_stream();
  while (now < time_point(seconds(1021))) {
    send_refusal(attempt, execution::not_run, refusal_reason::queue_full);
    auto next = take_messages<wire::submit_request>();
    if (next.empty()) {
      next = run_and_take_attempts(milliseconds(10));
    }
    attempt = next.empty() ? attempt : submitted_attempt{next[0].first, next[0].second};
    if (now < time_point(seconds(1020))) {
      ASSERT_EQ(core.in_flight(), 1U);
    }
  }
  EXPECT_THAT(take_texts(), HasSubstr("<event: error\ndata: {"));
  EXPECT_EQ(take<end_stream>().size(), 1U);
  EXPECT_EQ(core.in_flight(), 0U);
}

TEST_F(started_stream, is_not_cut_while_the_retry_budget_is_empty) {
  auto attempt = begin_stream_of();
  for (int attempts = 0; attempts != 1;) {
    send_completion(false);
    attempts = 0;
    for (auto sent = take_messages<wire::submit_request>(); !sent.empty(); ++attempts) {
      send_refusal({sent[0].first, sent[0].second}, execution::not_run, refusal_reason::upstream_failed);
      sent = take_messages<wire::submit_request>();
    }
  }
  take<respond>();
  call(&entry_core::on_link_lost, std::string_view(attempt.peer));
  EXPECT_THAT(take_messages<wire::submit_request>(), IsEmpty());
  EXPECT_THAT(run_and_take_attempts(seconds(5)), IsEmpty()) << "the budget limits started streams, too";
  EXPECT_EQ(take_texts(), "");
  for (int i = 0; i < 13; ++i) {
    send_completion(false);
    send_response_end(take_submitted(), 0);
  }
  const auto next = run_and_take_attempts(milliseconds(1100));
  ASSERT_EQ(next.size(), 1U);
  attempt = {next[0].first, next[0].second};
  EXPECT_EQ(attempt.message.resume_index, 2U);
  send_response_tokens(attempt, 2, {"c"});
  send_response_end(attempt, 3);
  expect_completed("c");
}

TEST_F(started_stream, is_not_cut_while_no_agent_is_left) {
  const auto first = begin_stream_of();
  const auto agents = std::exchange(alive, {});
  for (const char* peer : {"m1", "m2", "m3"}) {
    call(&entry_core::on_link_lost, std::string_view(peer));
  }
  EXPECT_THAT(run_and_take_attempts(seconds(15)), IsEmpty());
  EXPECT_EQ(take_texts(), "");
  alive = agents;
  const auto next = run_and_take_attempts(milliseconds(1200));
  ASSERT_EQ(next.size(), 1U);
  send_response_tokens({next[0].first, next[0].second}, 2, {"c"});
  send_response_end({next[0].first, next[0].second}, 3);
  expect_completed("c");
}

TEST_F(started_stream, is_tried_at_no_more_agents_that_break_it_off) {
  auto attempt = begin_broken_stream();
  for (int i = 0; i < 2; ++i) {
    send_refusal(attempt, execution::unknown, refusal_reason::upstream_failed);
    attempt = take_submitted();
  }
  send_refusal(attempt, execution::unknown, refusal_reason::upstream_failed);
  EXPECT_THAT(run_and_take_attempts(seconds(3)), IsEmpty());
  EXPECT_THAT(take_texts(), HasSubstr("<event: error\ndata: {"));
}

TEST_F(started_stream, keeps_its_silent_attempt_until_another_has_the_next_token) {
  const auto first = begin_stream_of();
  const auto second = silence(first);
  EXPECT_NE(second.peer, first.peer);
  EXPECT_EQ(second.message.resume_index, 2U);
  EXPECT_THAT(take_messages<wire::cancel_request>(), IsEmpty());
  EXPECT_THAT(take<close_link>(), IsEmpty());

  send_response_tokens(second, 2, {"c"});
  const auto cancelled = take_messages<wire::cancel_request>();
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_EQ(cancelled[0].first, first.peer);
  EXPECT_EQ(cancelled[0].second.attempt, first.message.attempt);
  send_response_tokens(first, 2, {"late", "later"});
  send_response_end(first, 4);
  send_response_tokens(second, 3, {"d"});
  send_response_end(second, 4);
  expect_completed("cd");
  EXPECT_THAT(take_messages<wire::cancel_request>(), IsEmpty());
}

TEST_F(started_stream, goes_on_at_its_silent_agent_if_that_is_sooner) {
  const auto first = begin_stream_of();
  const auto second = silence(first);
  send_response_tokens(first, 1, {"b"});  // Only a token that the caller has.
  EXPECT_THAT(take_messages<wire::cancel_request>(), IsEmpty());
  send_response_tokens(first, 2, {"c"});
  const auto cancelled = take_messages<wire::cancel_request>();
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_EQ(cancelled[0].first, second.peer);
  EXPECT_EQ(cancelled[0].second.attempt, second.message.attempt);
  send_response_tokens(second, 2, {"late", "later"});
  send_response_end(second, 4);
  send_response_tokens(first, 3, {"d"});
  send_response_end(first, 4);
  expect_completed("cd");
}

TEST_F(started_stream, ends_at_its_silent_agent_if_only_the_end_was_missing) {
  const auto first = begin_stream_of();
  const auto second = silence(first);
  send_response_end(first, 2);
  expect_completed("");
  const auto cancelled = take_messages<wire::cancel_request>();
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_EQ(cancelled[0].first, second.peer);
}

TEST_F(started_stream, goes_on_at_its_silent_agent_if_all_others_refuse) {
  const auto first = begin_stream_of();
  send_refusal(silence(first), execution::not_run, refusal_reason::queue_full);
  send_refusal(take_submitted(), execution::not_run, refusal_reason::queue_full);
  EXPECT_THAT(take_messages<wire::cancel_request>(), IsEmpty());
  alive.push_back(first.peer);
  send_response_tokens(first, 2, {"c"});
  EXPECT_THAT(run_and_take_attempts(seconds(3)), IsEmpty()) << "nothing else is needed any more";
  send_response_end(first, 3);
  expect_completed("c");
}

TEST_F(started_stream, keeps_its_silent_attempt_if_others_break_off) {
  const auto first = begin_stream_of();
  auto attempt = silence(first);
  for (int i = 0; i < 2; ++i) {
    send_refusal(attempt, execution::unknown, refusal_reason::upstream_failed);
    attempt = take_submitted();
  }
  send_refusal(attempt, execution::unknown, refusal_reason::upstream_failed);
  EXPECT_THAT(run_and_take_attempts(seconds(3)), IsEmpty());
  EXPECT_EQ(take_texts(), "");
  send_response_tokens(first, 2, {"c"});
  send_response_end(first, 3);
  expect_completed("c");
}

TEST_F(started_stream, keeps_its_silent_attempt_if_another_engine_rejects_the_rest) {
  const auto first = begin_stream_of();
  const auto second = silence(first);
  receive(second.peer, wire::response_head{second.message.request_id, second.message.attempt, 400, {}});
  send_response_end(second, 0);
  EXPECT_EQ(take_texts(), "");
  send_response_tokens(first, 2, {"c"});
  send_response_end(first, 3);
  expect_completed("c");
}

TEST_F(started_stream, ends_with_an_error_if_its_silent_attempt_is_lost_last) {
  const auto first = begin_stream_of();
  const auto second = silence(first);
  receive(second.peer, wire::response_head{second.message.request_id, second.message.attempt, 400, {}});
  send_response_end(second, 0);
  call(&entry_core::on_link_lost, std::string_view(first.peer));
  EXPECT_THAT(take_texts(), HasSubstr("<event: error\ndata: {"));
  EXPECT_EQ(take<end_stream>().size(), 1U);
  EXPECT_EQ(core.in_flight(), 0U);
}

TEST_F(started_stream, survives_the_loss_of_its_silent_attempt) {
  for (const bool link_lost : {true, false}) {
    const auto first = begin_stream_of();
    const auto second = silence(first);
    if (link_lost) {
      call(&entry_core::on_link_lost, std::string_view(first.peer));
    } else {
      send_refusal(first, execution::unknown, refusal_reason::upstream_failed);
    }
    EXPECT_EQ(take_texts(), "");
    EXPECT_EQ(take_messages<wire::cancel_request>().size(), 1U);
    send_response_tokens(second, 2, {"c"});
    send_response_end(second, 3);
    expect_completed("c");
    alive.push_back(first.peer);
    run_for(milliseconds(200));
  }
}

TEST_F(started_stream, is_never_joined_from_a_silent_attempt_with_a_gap) {
  const auto first = begin_stream_of();
  const auto second = silence(first);
  send_response_tokens(first, 3, {"d"});
  EXPECT_EQ(take_messages<wire::cancel_request>().size(), 1U);
  send_response_tokens(first, 2, {"x"});
  EXPECT_EQ(take_texts(), "");
  send_response_tokens(second, 2, {"c"});
  send_response_end(second, 3);
  expect_completed("c");
}

TEST_F(started_stream, is_not_sent_to_an_agent_that_still_runs_it) {
  const auto first = begin_stream_of();
  auto attempt = silence(first);
  alive.push_back(first.peer);
  for (int i = 0; i < 6; ++i) {
    EXPECT_NE(attempt.peer, first.peer);
    send_refusal(attempt, execution::not_run, refusal_reason::queue_full);
    auto next = take_messages<wire::submit_request>();
    if (next.empty()) {
      next = run_and_take_attempts(milliseconds(1100));
    }
    ASSERT_EQ(next.size(), 1U);
    attempt = {next[0].first, next[0].second};
  }
}

TEST_F(started_stream, is_retried_at_once_after_new_tokens) {
  auto attempt = begin_broken_stream();
  for (int i = 0; i < 3; ++i) {
    send_refusal(attempt, execution::not_run, refusal_reason::queue_full);
    auto next = take_messages<wire::submit_request>();
    if (next.empty()) {
      next = run_and_take_attempts(milliseconds(1100));
    }
    ASSERT_EQ(next.size(), 1U);
    attempt = {next[0].first, next[0].second};
  }
  send_response_tokens(attempt, 2, {"c"});
  send_refusal(attempt, execution::not_run, refusal_reason::draining);
  attempt = take_submitted();
  EXPECT_EQ(attempt.message.resume_index, 3U);
}

TEST_F(started_stream, blames_the_upstream_of_its_silent_attempt_for_a_crash_there) {
  http::request value{"POST", "/v1/completions", {{"Authorization", "Bearer " + std::string(k_api_key)}}, ""};
  value.body = json{{"model", "scribe"}, {"prompt", std::string(300, 'x')}, {"stream", true}}.dump();
  send(std::move(value));
  const auto first = take_submitted();
  send_response_tokens(first, 0, {"a", "b"});
  take_texts();
  const auto second = silence(first);
  take<record_event>();
  receive(first.peer, wire::upstream_crash{first.message.request_id, first.message.attempt, 7});
  send_refusal(first, execution::unknown, refusal_reason::upstream_failed);
  const auto events = take<record_event>();
  ASSERT_EQ(events.size(), 1U);
  EXPECT_THAT(events[0].detail, HasSubstr("upstream " + first.peer + ", crash 00000007"));
  send_response_tokens(second, 2, {"c"});
  send_response_end(second, 3);
  expect_completed("c");
}

TEST_F(started_stream, leaves_no_attempt_behind_when_it_ends) {
  const auto first = begin_stream_of();
  const auto second = silence(first);
  call(&entry_core::on_caller_closed, caller_id{last_caller});
  EXPECT_EQ(take_messages<wire::cancel_request>().size(), 2U);

  alive.push_back(first.peer);
  run_for(milliseconds(200));
  const auto late = begin_stream_of("4000");
  silence(late);
  run_for(milliseconds(2000));
  EXPECT_EQ(take_messages<wire::cancel_request>().size(), 2U);
  EXPECT_THAT(take_texts(), HasSubstr("<event: error\ndata: {"));
  EXPECT_EQ(core.in_flight(), 0U);
}

}  // namespace
}  // namespace cuminpath::entry
