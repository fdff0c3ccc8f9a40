// Tests that requests whose prompts crash upstreams are kept from further upstreams.
#include <gmock/gmock.h>

#include <set>

#include "unit_tests/entry/entry_fixture.h"

namespace cuminpath::entry {
namespace {

using ::testing::HasSubstr;
using wire::execution;
using wire::refusal_reason;

class prompt_crash_test : public entry_fixture {
protected:
  void send_prompt(const std::string& prompt) {
    http::request value{"POST", "/v1/completions", {}, ""};
    value.headers.emplace_back("Authorization", "Bearer " + std::string(k_api_key));
    value.body = json{{"model", "scribe"}, {"prompt", prompt}, {"stream", false}}.dump();
    send(std::move(value));
  }
  // The upstream of the attempt ends before its first token.
  void crash(const submitted_attempt& to, std::uint32_t id) {
    receive(to.peer, wire::upstream_crash{to.message.request_id, to.message.attempt, id});
    send_refusal(to, execution::unknown, refusal_reason::upstream_failed);
  }
  void serve(const submitted_attempt& to) {
    send_response_tokens(to, 0, {"a", "b"});
    send_response_end(to, 2);
    EXPECT_EQ(take_response().status, 200);
  }
  static std::string prompt(char shared, const std::string& own) { return std::string(256, shared) + own; }
};

TEST_F(prompt_crash_test, a_request_that_may_have_crashed_its_upstream_is_not_sent_to_another) {
  send_prompt(prompt('x', "1"));
  crash(take_submitted(), 1);
  const auto response = take_response();
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(execution_of(response), "unknown");
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
}

TEST_F(prompt_crash_test, a_prompt_that_has_crashed_two_upstreams_is_refused_at_once_and_others_are_served) {
  for (const std::uint32_t id : {1U, 2U}) {
    send_prompt(prompt('x', std::to_string(id)));
    crash(take_submitted(), id);
    EXPECT_EQ(take_response().status, 502);
    run_for(milliseconds(400));
  }
  actions.clear();
  send_prompt(prompt('x', "3"));
  EXPECT_TRUE(take_messages<wire::submit_request>().empty());
  const auto refusal = take_response();
  EXPECT_EQ(refusal.status, 503);
  EXPECT_EQ(execution_of(refusal), "not_run");
  EXPECT_TRUE(http::find_header(refusal.headers, "Retry-After"));
  const auto events = take<record_event>();
  ASSERT_FALSE(events.empty());
  EXPECT_EQ(events.back().kind, "request_quarantined");
  EXPECT_THAT(events.back().detail, HasSubstr("crashes 00000001,00000002"));
  send_prompt(prompt('y', "4"));
  serve(take_submitted());
}

TEST_F(prompt_crash_test, a_request_with_a_sound_prompt_is_sent_to_another_upstream_after_a_crash) {
  send_prompt(prompt('x', "1"));
  serve(take_submitted());
  send_prompt(prompt('x', "2"));
  const auto first = take_submitted();
  crash(first, 1);
  const auto second = take_submitted();
  EXPECT_NE(second.peer, first.peer);
  serve(second);
}

TEST_F(prompt_crash_test, entries_that_exchange_evidence_refuse_what_crashed_upstreams_of_others) {
  send_prompt(prompt('x', "1"));
  crash(take_submitted(), 1);
  const auto evidence = core.crash_evidence_to_send(now);
  ASSERT_TRUE(evidence);
  EXPECT_TRUE(core.take_crash_news());
  EXPECT_FALSE(core.take_crash_news());
  // Another entry has seen a second crash.
  wire::crash_evidence received = *evidence;
  received.parts[0].crashes = {{.crash = 2, .age_ms = 100}};
  receive("e2", received);
  EXPECT_TRUE(core.take_crash_news());
  receive("e2", received);
  EXPECT_FALSE(core.take_crash_news());
  run_for(milliseconds(400));
  actions.clear();
  send_prompt(prompt('x', "2"));
  EXPECT_EQ(take_response().status, 503);
}

}  // namespace
}  // namespace cuminpath::entry
