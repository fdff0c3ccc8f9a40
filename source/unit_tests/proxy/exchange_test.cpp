// What callers and upstreams see of a request, with upstreams that fail in each way that the platform
// announces.

#include <gmock/gmock.h>

#include <fmt/format.h>

#include "proxy_fixture.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

constexpr std::string_view k_stream_head =
    "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
    "chunked\r\n\r\n";

// What a gateway may read of an answer without end: the largest answer, and what buffers of sockets hold.
constexpr std::size_t k_most_flood_bytes = 32U << 20U;

std::string chunk(std::string_view text) {
  return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

TEST_F(proxy_fixture, passes_a_request_on_with_its_own_headers_only) {
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) { return reaction{answer("a", "body")}; });
  const auto got =
      call(request("POST", "/once/x?q=1", "a",
                   "X-Workspace: forged\r\nX-Instance: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
                   "X-Kept: 2\r\nContent-Length: 3\r\n") +
               "abc",
           whole);
  EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(got.bytes, HasSubstr("X-Stamp: s"));
  ASSERT_EQ(upstream.requests().size(), 1U);
  const std::string& seen = upstream.requests()[0];
  EXPECT_THAT(seen, StartsWith("POST /once/x?q=1 HTTP/1.1\r\n"));
  EXPECT_THAT(seen, HasSubstr("X-Workspace: alpha\r\n"));
  EXPECT_THAT(seen, HasSubstr("X-Instance: i-1\r\n"));
  EXPECT_THAT(seen, HasSubstr("X-Kept: 2\r\n"));
  EXPECT_THAT(seen, Not(HasSubstr("forged")));
  EXPECT_THAT(seen, Not(HasSubstr("secret")));
  EXPECT_THAT(seen, Not(HasSubstr("X-Hop")));
  EXPECT_TRUE(seen.ends_with("\r\n\r\nabc"));
}

TEST_F(proxy_fixture, refuses_what_no_configuration_allows) {
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) { return reaction{answer("a", "")}; });
  EXPECT_THAT(call(request("GET", "/none/", "a"), whole).bytes, StartsWith("HTTP/1.1 404"));
  EXPECT_THAT(call("GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Key: wrong\r\n\r\n", whole).bytes,
              StartsWith("HTTP/1.1 401"));
  m_state.configuration.reset();
  EXPECT_THAT(call(request("GET", "/safe/", "a"), whole).bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_TRUE(upstream.requests().empty());
}

TEST_F(proxy_fixture, never_sends_a_call_again_that_may_have_run) {
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) {
    return reaction{"", reaction::after::reset};
  });
  add_upstream("i-2", [](auto, const auto&) { return reaction{"", reaction::after::reset}; });
  const auto got = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), whole);
  EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 502"));
  EXPECT_EQ(upstream.requests().size() + m_upstreams[1]->requests().size(), 1U);
}

TEST_F(proxy_fixture, tries_another_upstream_when_the_first_has_not_run_the_call) {
  const auto refuse = [](auto, const auto&) {
    return reaction{answer("a", "", "X-Not-Executed: 1\r\n", 503)};
  };
  add_upstream("i-1", refuse);
  add_upstream("i-2", refuse);
  const auto got = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), whole);
  EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(got.bytes, HasSubstr("Retry-After: "));
  EXPECT_THAT(got.bytes, Not(HasSubstr("X-Stamp")));
  EXPECT_EQ(m_upstreams[0]->requests().size(), 1U);
  EXPECT_EQ(m_upstreams[1]->requests().size(), 1U);
}

TEST_F(proxy_fixture, a_wrong_instance_gets_nothing_more) {
  add_upstream("i-1", [](auto, const auto&) { return reaction{answer("a", "", "", 421)}; });
  EXPECT_THAT(call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), whole).bytes,
              StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), whole).bytes,
              StartsWith("HTTP/1.1 503"));
  EXPECT_EQ(m_upstreams[0]->requests().size(), 1U);
}

TEST_F(proxy_fixture, repeats_a_safe_call_after_a_cut_answer) {
  add_upstream("i-1", [](std::size_t, const auto&) {
    return reaction{"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Length: 10\r\n\r\nhalf",
                    reaction::after::close};
  });
  add_upstream("i-2", [](auto, const auto&) { return reaction{answer("a", "whole body")}; });
  for (int i = 0; i < 4; ++i) {
    const auto got = call(request("GET", "/safe/x", "a"), whole);
    EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 200"));
    EXPECT_TRUE(got.bytes.ends_with("whole body"));
  }
}

TEST_F(proxy_fixture, drops_an_answer_to_an_earlier_request) {
  // The second answer to the first request arrives where the answer to the second one is expected.
  const auto& upstream = add_upstream("i-1", [](std::size_t number, const auto&) {
    if (number == 1) {
      return reaction{answer("a", "first"), reaction::after::keep, answer("a", "late second")};
    }
    return reaction{answer("b", "own")};
  });
  EXPECT_TRUE(call(request("GET", "/safe/x", "a"), whole).bytes.ends_with("first"));
  const auto got = call(request("GET", "/safe/x", "b"), whole);
  EXPECT_TRUE(got.bytes.ends_with("own")) << got.bytes;
  EXPECT_EQ(upstream.accepted(), 1U);  // On the kept connection, so the late answer was in the way.
}

TEST_F(proxy_fixture, does_not_use_a_connection_again_on_which_bytes_followed_an_answer) {
  const auto& upstream = add_upstream("i-1", [](std::size_t number, const auto&) {
    return reaction{number == 1 ? answer("a", "first") + answer("a", "again") : answer("b", "own")};
  });
  EXPECT_TRUE(call(request("GET", "/safe/x", "a"), whole).bytes.ends_with("first"));
  EXPECT_TRUE(call(request("GET", "/safe/x", "b"), whole).bytes.ends_with("own"));
  EXPECT_EQ(upstream.accepted(), 2U);
}

TEST_F(proxy_fixture, an_answer_that_is_not_the_upstreams_own_is_no_success) {
  for (const std::string& bytes : {std::string("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n"),
                                   answer("a", "x", "Content-Encoding: gzip\r\n"),
                                   std::string("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n"),
                                   std::string("nonsense\r\n\r\n")}) {
    m_records.clear();
    m_state.upstreams = {};
    add_upstream("i-1", [bytes](auto, const auto&) { return reaction{bytes, reaction::after::close}; });
    EXPECT_THAT(call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), whole).bytes,
                StartsWith("HTTP/1.1 502"))
        << bytes;
  }
}

TEST_F(proxy_fixture, passes_the_upstreams_own_failure_on) {
  add_upstream("i-1", [](auto, const auto&) { return reaction{answer("a", "broken", "", 500)}; });
  const auto got = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), whole);
  EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 500"));
  EXPECT_THAT(got.bytes, HasSubstr("X-Stamp: s"));
  EXPECT_TRUE(got.bytes.ends_with("broken"));
}

TEST_F(proxy_fixture, resumes_a_stream_after_its_last_whole_event) {
  const auto cut = [](auto, const auto&) {
    return reaction{std::string(k_stream_head) + chunk("id: 1\ndata: x\n\nid: 2\nda"),
                    reaction::after::close};
  };
  const auto rest = [](auto, const std::string& seen) {
    EXPECT_THAT(seen, HasSubstr("Last-Event-Id: 1\r\n"));
    return reaction{std::string(k_stream_head) + chunk("id: 2\ndata: y\n\n") + "0\r\n\r\n"};
  };
  // Which upstream is first is random; each plays the part that its turn needs.
  const auto either = [&](std::size_t number, const std::string& seen) {
    return seen.find("Last-Event-Id") == std::string::npos ? cut(number, seen) : rest(number, seen);
  };
  add_upstream("i-1", either);
  add_upstream("i-2", either);
  const auto got = call(request("POST", "/stream/x", "a", "Content-Length: 0\r\n"), whole);
  EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(got.bytes, HasSubstr("id: 1\ndata: x\n\n"));
  EXPECT_THAT(got.bytes, HasSubstr("id: 2\ndata: y\n\n"));
  EXPECT_THAT(got.bytes, Not(HasSubstr("id: 2\nda\r\n")));
}

TEST_F(proxy_fixture, a_stream_with_an_encoding_is_not_the_upstreams_own) {
  add_upstream("i-1", [](auto, const auto&) {
    return reaction{
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Encoding: gzip\r\nTransfer-Encoding: "
        "chunked\r\n\r\n" +
        chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n"};
  });
  EXPECT_THAT(call(request("POST", "/fragile/x", "a", "Content-Length: 0\r\n"), whole).bytes,
              StartsWith("HTTP/1.1 502"));
}

// A failure to resume may not be written into the answer that the caller is already reading.
TEST_F(proxy_fixture, a_stream_whose_rest_is_refused_ends_visibly_cut) {
  for (const int status : {200, 400, 404, 500}) {
    m_records.clear();
    m_state.upstreams = {};
    const auto either = [status](auto, const std::string& seen) {
      return seen.find("Last-Event-Id") == std::string::npos
                 ? reaction{std::string(k_stream_head) + chunk("id: 1\ndata: x\n\n"), reaction::after::close}
                 : reaction{answer("a", "rest", status == 200 ? "Content-Encoding: gzip\r\n" : "", status)};
    };
    add_upstream("i-1", either);
    add_upstream("i-2", either);
    const auto got = call(request("POST", "/stream/x", "a", "Content-Length: 0\r\n"), whole);
    EXPECT_TRUE(got.bytes.ends_with("id: 1\ndata: x\n\n\r\n")) << status << ": " << got.bytes;
    EXPECT_TRUE(got.ended) << status;
  }
}

TEST_F(proxy_fixture, a_stream_that_may_not_be_resumed_ends_visibly_cut) {
  const auto cut = [](auto, const auto&) {
    return reaction{std::string(k_stream_head) + chunk("id: 1\ndata: x\n\n"), reaction::after::reset};
  };
  add_upstream("i-1", cut);
  add_upstream("i-2", cut);
  const auto got = call(request("POST", "/fragile/x", "a", "Content-Length: 0\r\n"), whole);
  EXPECT_TRUE(got.ended);
  EXPECT_FALSE(whole(got.bytes));
  EXPECT_EQ(m_upstreams[0]->requests().size() + m_upstreams[1]->requests().size(), 1U);
}

TEST_F(proxy_fixture, answers_at_the_timeout_of_the_route) {
  add_upstream("i-1", [](auto, const auto&) { return reaction{}; });
  const time_point start = clock::now();
  const auto got = call(request("POST", "/short/x", "a", "Content-Length: 0\r\n"), whole);
  EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 504"));
  EXPECT_GE(clock::now() - start, milliseconds{140});
  EXPECT_THAT(got.bytes, HasSubstr("\"execution\":\"unknown\""));
}

TEST_F(proxy_fixture, cancels_the_work_of_a_caller_that_has_left) {
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) { return reaction{}; });
  call(request("GET", "/safe/x", "a"), [&](const std::string&) { return !upstream.requests().empty(); });
  EXPECT_TRUE(run_until([&] { return upstream.closed() == 1; }));
}

// A link that loses packets may hold a request back for seconds. An orderly end would deliver it after its
// caller has left.
TEST_F(proxy_fixture, resets_the_connection_of_a_request_that_is_given_up) {
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) { return reaction{}; });
  call(request("GET", "/safe/x", "a"), [&](const std::string&) { return !upstream.requests().empty(); });
  EXPECT_TRUE(run_until([&] { return upstream.closed() == 1; }));
  EXPECT_EQ(upstream.resets(), 1U) << "the caller has left";
  call(request("POST", "/short/x", "b", "Content-Length: 0\r\n"), whole);
  EXPECT_TRUE(run_until([&] { return upstream.closed() == 2; }));
  EXPECT_EQ(upstream.resets(), 2U) << "the time-out of the route has passed";
}

TEST_F(proxy_fixture, refuses_at_once_when_no_upstream_has_a_place) {
  const time_point start = clock::now();
  const auto got = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), whole);
  EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(got.bytes, HasSubstr("\"execution\":\"not_run\""));
  EXPECT_LT(clock::now() - start, seconds{1});
}

TEST_F(proxy_fixture, sends_nothing_more_to_an_upstream_that_says_that_it_leaves) {
  for (const auto& [status, more] :
       {std::pair(200, ""), std::pair(500, ""), std::pair(503, "X-Not-Executed: 1\r\n")}) {
    m_records.clear();
    m_state.upstreams = {};
    const auto& leaver =
        add_upstream(fmt::format("leaver-{}", status), [status = status, more = more](auto, const auto&) {
          return reaction{answer("a", "last", fmt::format("X-Leaving: 1\r\n{}", more), status)};
        });
    call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), whole);
    const auto& other = add_upstream(fmt::format("other-{}", status),
                                     [](auto, const auto&) { return reaction{answer("b", "own")}; });
    for (int i = 0; i < 8; ++i) {
      EXPECT_TRUE(call(request("GET", "/safe/x", "b"), whole).bytes.ends_with("own")) << status;
    }
    EXPECT_EQ(leaver.requests().size(), 1U) << status;
    EXPECT_EQ(other.requests().size(), 8U) << status;
  }
}

TEST_F(proxy_fixture, an_upstream_that_turns_requests_away_is_left_alone_for_as_long_as_it_asks) {
  const auto& full = add_upstream("i-1", [](auto, const auto&) {
    return reaction{answer("a", "", "X-Not-Executed: 1\r\nRetry-After: 30.5\r\n", 503)};
  });
  for (int i = 0; i < 5; ++i) {
    const auto got = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), whole);
    EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 503"));
    // Nobody is served earlier, so callers are told the whole time.
    const auto at = got.bytes.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos);
    EXPECT_GE(std::stod(got.bytes.substr(at + 13)), 29);
  }
  EXPECT_EQ(full.requests().size(), 1U);
  const auto& free = add_upstream("i-2", [](auto, const auto&) { return reaction{answer("b", "own")}; });
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(call(request("GET", "/safe/x", "b"), whole).bytes.ends_with("own"));
  }
  EXPECT_EQ(free.requests().size(), 4U);
  EXPECT_EQ(full.requests().size(), 1U);
}

TEST_F(proxy_fixture, ends_answers_that_have_no_end) {
  const std::string own_head = "X-Id: a\r\nX-Stamp: s\r\n";
  const std::string late = answer("z", std::string(8192, 'z'));
  struct flood {
    std::string path;
    std::string begin;
    std::string again;
  };
  for (const auto& [path, begin, again] : {
           flood{"/once/x", "HTTP/1.1 200 OK\r\n" + own_head, "X-More: " + std::string(8000, 'm') + "\r\n"},
           flood{"/once/x", "HTTP/1.1 200 OK\r\n" + own_head + "X-Long: ", std::string(8192, 'm')},
           flood{"/once/x", "", std::string(8192, 'g')},
           flood{"/once/x", "", "HTTP/1.1 100 Continue\r\n\r\n"},
           flood{"/once/x", "", late},
           flood{"/once/x", "HTTP/1.1 200 OK\r\n" + own_head + "\r\n", std::string(8192, 'b')},
           flood{"/fragile/x", "HTTP/1.1 200 OK\r\n" + own_head + "\r\ndata: ", std::string(8192, 'e')},
       }) {
    m_records.clear();
    m_state.upstreams = {};
    flooding_upstream upstream(m_context, begin, again);
    m_records.push_back(
        {.id = "i-1", .service = "s", .address = upstream.address(), .availability_zone = "z"});
    m_state.upstreams.apply(m_records, clock::now(), false);
    const auto got = call(request("POST", path, "a", "Content-Length: 0\r\n"), whole);
    EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 502")) << again.substr(0, 20);
    EXPECT_TRUE(run_until([&] { return upstream.ended(); })) << again.substr(0, 20);
    EXPECT_LE(upstream.sent(), k_most_flood_bytes) << again.substr(0, 20);
    EXPECT_EQ(m_state.buffered_answer_bytes, 0U);
  }
}

TEST_F(proxy_fixture, refuses_what_would_make_passes_too_long_but_not_the_rest_of_a_stream) {
  constexpr milliseconds k_pause{150};
  auto engines = std::make_shared<gateway::configuration>(*m_state.configuration);
  engines->services.front().engine =
      gateway::engine_cost{.step_ms = 5, .per_sequence_ms = 1, .steps_per_pass = 9};
  for (gateway::route& each : engines->routes) {
    each.event_gap = each.kind == gateway::call_kind::stream ? k_pause : milliseconds{0};
  }
  engines->build_index();
  m_state.configuration = engines;
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) {
    return reaction{std::string(k_stream_head) + chunk("id: 9\ndata: x\n\n") + "0\r\n\r\n"};
  });
  const time_point now = clock::now();
  for (int i = 0; i < 3; ++i) {
    m_state.upstreams.on_started("i-1", now);
  }
  // Three of four places are taken, and passes take twice the pause.
  for (int i = 0; i < 50; ++i) {
    m_state.pass_limits["s"].observe(2 * k_pause, 3, *engines->services.front().engine, now);
  }
  const auto refused = call(request("POST", "/stream/x", "a", "Content-Length: 0\r\n"), whole);
  EXPECT_THAT(refused.bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(refused.bytes, HasSubstr("Retry-After: "));
  EXPECT_TRUE(upstream.requests().empty());
  const auto rest =
      call(request("POST", "/stream/x", "a", "Last-Event-Id: 8\r\nContent-Length: 0\r\n"), whole);
  EXPECT_THAT(rest.bytes, HasSubstr("id: 9"));
  // Calls without events do not depend on the length of passes.
  call(request("GET", "/safe/x", "a"), whole);
  EXPECT_EQ(upstream.requests().size(), 2U);
}

TEST_F(proxy_fixture, serves_pipelined_requests_in_order) {
  add_upstream("i-1", [](std::size_t number, const auto&) {
    return reaction{answer(number == 1 ? "a" : "b", number == 1 ? "one" : "two")};
  });
  const auto got = call(request("GET", "/safe/x", "a") + request("GET", "/safe/x", "b"),
                        [](const std::string& bytes) { return bytes.ends_with("two"); });
  EXPECT_LT(got.bytes.find("one"), got.bytes.find("two"));
}

TEST_F(proxy_fixture, rejects_requests_that_could_hide_another) {
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) { return reaction{answer("a", "")}; });
  for (const std::string_view more :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: -1\r\n", "Bad Name: x\r\n"}) {
    const auto got =
        call(request("POST", "/once/x", "a", more) + "0\r\n\r\n", [](const auto&) { return false; });
    EXPECT_THAT(got.bytes, StartsWith("HTTP/1.1 400")) << more;
    EXPECT_TRUE(got.ended);
  }
  EXPECT_TRUE(upstream.requests().empty());
}

}  // namespace
}  // namespace cuminpath::proxy
