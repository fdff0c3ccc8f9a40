// Requests to cold upstreams. The fixture's gateway knows no other one, so it is a sender for every upstream.

#include <gmock/gmock.h>

#include "unit_tests/proxy/proxy_fixture.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::StartsWith;

class cold_upstream : public proxy_fixture {
protected:
  cold_upstream() {
    m_state.upstreams.set_cold_policies({{"s", {.cold_start = milliseconds{60'000}, .max_per_s = 26}}});
  }
  void settle() {
    m_state.cold_limiter.set_members({}, true, clock::now() - seconds{3});
    m_state.cold_limiter.set_members({}, true, clock::now());
  }
  scripted_upstream& add_cold_upstream() {
    auto& added =
        add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "body")}; });
    m_state.upstreams.on_zone_restored("z", clock::now());
    return added;
  }
};

TEST_F(cold_upstream, gets_no_request_from_a_gateway_that_has_just_started) {
  const auto& upstream = add_cold_upstream();
  const auto response = call(request("GET", "/safe/x", "a"), is_complete);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(response.bytes, HasSubstr("Retry-After: "));
  EXPECT_THAT(response.bytes, HasSubstr("not_run"));
  EXPECT_EQ(upstream.requests().size(), 0U);
}

TEST_F(cold_upstream, gets_requests_at_the_rate_of_a_sender) {
  settle();
  const auto& upstream = add_cold_upstream();
  EXPECT_THAT(call(request("GET", "/safe/x", "a"), is_complete).bytes, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(call(request("GET", "/safe/x", "a"), is_complete).bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_EQ(upstream.requests().size(), 1U);
}

// Guards against requests that are placed together and sent one after the other, and against an upstream that
// counts as failed because it got none.
TEST_F(cold_upstream, gets_no_request_if_another_one_was_sent_during_the_connect) {
  settle();
  const auto& upstream = add_cold_upstream();
  bool sent = false;
  const auto response = call(request("GET", "/once/x", "a"), [&](const std::string& bytes) {
    if (!sent && m_state.upstreams.local_requests_in("z") == 1) {
      sent = true;
      m_state.cold_limiter.on_sent("i-1", 26, clock::now());
    }
    return is_complete(bytes);
  });
  EXPECT_TRUE(sent);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(response.bytes, HasSubstr("not_run"));
  EXPECT_EQ(upstream.requests().size(), 0U);
  EXPECT_EQ(m_state.upstreams.find("i-1")->health.recent_failures(clock::now()), 0);
}

// Guards against requests that are placed at a cold upstream which may get none now, while others have free
// slots: each costs a connection and an attempt.
TEST_F(cold_upstream, is_not_chosen_while_it_may_get_no_request) {
  m_state.upstreams.set_cold_policies({{"s", {.cold_start = milliseconds{0}, .max_per_s = 26}}});
  const auto& cold =
      add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "body")}; });
  const auto& warm =
      add_upstream("i-2", [](auto, const auto&) { return upstream_action{response_text("a", "body")}; });
  m_state.upstreams.on_cold_statement("i-1", milliseconds{60'000}, clock::now());
  for (int i = 0; i < 8; ++i) {
    EXPECT_THAT(call(request("GET", "/once/x", "a"), is_complete).bytes, StartsWith("HTTP/1.1 200"));
  }
  EXPECT_EQ(cold.accepted(), 0U);
  EXPECT_EQ(warm.requests().size(), 8U);
}

// Requests before the upstream turned cold are in the same second as those after it.
TEST_F(cold_upstream, is_known_from_a_response_and_its_earlier_requests_count) {
  settle();
  m_state.header_names.cold_for_ms = "X-Cold";
  add_upstream("i-1", [](auto, const auto&) {
    std::string text = response_text("a", "body");
    return upstream_action{text.insert(text.find("\r\n") + 2, "X-Cold: 5000\r\n")};
  });
  m_state.upstreams.set_cold_policies({{"s", {.cold_start = milliseconds{0}, .max_per_s = 26}}});
  EXPECT_THAT(call(request("GET", "/safe/x", "a"), is_complete).bytes, StartsWith("HTTP/1.1 200"));
  EXPECT_TRUE(m_state.upstreams.find("i-1")->cold(clock::now()));
  EXPECT_THAT(call(request("GET", "/safe/x", "a"), is_complete).bytes, StartsWith("HTTP/1.1 503"));
}

// Guards against an instance that has restarted under its id and gets requests at the full rate until its row
// arrives, although it said in the status check after its crash that it is cold.
TEST_F(cold_upstream, is_known_from_the_status_check_after_a_broken_connection) {
  use_engine();
  m_state.header_names.cold_for_ms = "X-Cold";
  m_state.upstreams.set_cold_policies({{"s", {.cold_start = milliseconds{0}, .max_per_s = 26}}});
  add_upstream("i-1", [](auto, const std::string& received) {
    return received.starts_with("GET /status ")
               ? upstream_action{"HTTP/1.1 200 X\r\nX-Cold: 60000\r\nContent-Length: 0\r\n\r\n"}
               : upstream_action{"", upstream_action::after::reset};
  });
  EXPECT_FALSE(m_state.upstreams.find("i-1")->cold(clock::now()));
  call(request("POST", "/once/x", "a", "X-Model: m\r\nX-Prompt-Parts: p:10,own:5\r\nContent-Length: 0\r\n"),
       is_complete);
  EXPECT_EQ(m_upstreams.back()->requests().size(), 2U);
  EXPECT_TRUE(m_state.upstreams.find("i-1")->cold(clock::now()));
}

}  // namespace
}  // namespace cuminpath::proxy
