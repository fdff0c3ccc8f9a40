// Checks what callers and upstreams receive, with upstreams that fail in each of the ways that the platform
// documents.

#include <gmock/gmock.h>

#include <fmt/format.h>

#include <algorithm>
#include <asio/write.hpp>

#include "core/net/socket_options.h"
#include "proxy_fixture.h"
#include "response_text.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

constexpr std::string_view k_stream_head =
    "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
    "chunked\r\n\r\n";

// Limit on what a gateway reads of an endless response: the largest response and the socket buffers.
constexpr std::size_t k_max_endless_response_bytes = 32U << 20U;

TEST_F(proxy_fixture, forwards_a_request_without_forged_and_hop_by_hop_headers) {
  const auto& upstream =
      add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "body")}; });
  const auto response =
      call(request("POST", "/once/x?q=1", "a",
                   "X-Workspace: forged\r\nX-Instance: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
                   "X-Kept: 2\r\nContent-Length: 3\r\n") +
               "abc",
           is_complete);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(response.bytes, HasSubstr("X-Stamp: s"));
  ASSERT_EQ(upstream.requests().size(), 1U);
  const std::string& received = upstream.requests()[0];
  EXPECT_THAT(received, StartsWith("POST /once/x?q=1 HTTP/1.1\r\n"));
  EXPECT_THAT(received, HasSubstr("X-Workspace: alpha\r\n"));
  EXPECT_THAT(received, HasSubstr("X-Instance: i-1\r\n"));
  EXPECT_THAT(received, HasSubstr("X-Kept: 2\r\n"));
  EXPECT_THAT(received, Not(HasSubstr("forged")));
  EXPECT_THAT(received, Not(HasSubstr("secret")));
  EXPECT_THAT(received, Not(HasSubstr("X-Hop")));
  EXPECT_TRUE(received.ends_with("\r\n\r\nabc"));
}

TEST_F(proxy_fixture, rejects_requests_without_route_key_or_configuration) {
  const auto& upstream =
      add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "")}; });
  EXPECT_THAT(call(request("GET", "/none/", "a"), is_complete).bytes, StartsWith("HTTP/1.1 404"));
  EXPECT_THAT(call("GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Key: wrong\r\n\r\n", is_complete).bytes,
              StartsWith("HTTP/1.1 401"));
  m_state.configuration.reset();
  EXPECT_THAT(call(request("GET", "/safe/", "a"), is_complete).bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_TRUE(upstream.requests().empty());
}

TEST_F(proxy_fixture, does_not_retry_an_at_most_once_request_that_may_have_run) {
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) {
    return upstream_action{"", upstream_action::after::reset};
  });
  add_upstream("i-2", [](auto, const auto&) { return upstream_action{"", upstream_action::after::reset}; });
  const auto response = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 502"));
  EXPECT_EQ(upstream.requests().size() + m_upstreams[1]->requests().size(), 1U);
}

TEST_F(proxy_fixture, retries_at_another_upstream_if_the_first_has_not_executed_the_request) {
  const auto refuse = [](auto, const auto&) {
    return upstream_action{response_text("a", "", "X-Not-Executed: 1\r\n", 503)};
  };
  add_upstream("i-1", refuse);
  add_upstream("i-2", refuse);
  const auto response = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(response.bytes, HasSubstr("Retry-After: "));
  EXPECT_THAT(response.bytes, Not(HasSubstr("X-Stamp")));
  EXPECT_EQ(m_upstreams[0]->requests().size(), 1U);
  EXPECT_EQ(m_upstreams[1]->requests().size(), 1U);
}

TEST_F(proxy_fixture, sends_nothing_more_to_a_wrong_instance) {
  add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "", "", 421)}; });
  EXPECT_THAT(call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete).bytes,
              StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete).bytes,
              StartsWith("HTTP/1.1 503"));
  EXPECT_EQ(m_upstreams[0]->requests().size(), 1U);
}

TEST_F(proxy_fixture, retries_a_repeatable_request_after_a_truncated_response) {
  add_upstream("i-1", [](std::size_t, const auto&) {
    return upstream_action{"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Length: 10\r\n\r\nhalf",
                           upstream_action::after::close};
  });
  add_upstream("i-2", [](auto, const auto&) { return upstream_action{response_text("a", "whole body")}; });
  for (int i = 0; i < 4; ++i) {
    const auto response = call(request("GET", "/safe/x", "a"), is_complete);
    EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 200"));
    EXPECT_TRUE(response.bytes.ends_with("whole body"));
  }
}

TEST_F(proxy_fixture, sends_a_request_to_another_upstream_after_a_refused_connection) {
  const auto serve = [](auto, const auto&) { return upstream_action{response_text("a", "body")}; };
  add_upstream("i-1", serve).stop_accepting();
  add_upstream("i-2", serve);
  const time_point start = clock::now();
  for (int i = 0; i < 4; ++i) {
    const auto response = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete);
    EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 200"));
  }
  EXPECT_LT(clock::now() - start, milliseconds{1500});  // The timeout of a single request.
}

TEST_F(proxy_fixture, skips_a_response_to_an_earlier_request) {
  // A second response to the first request arrives where the response to the second request is expected.
  const auto& upstream = add_upstream("i-1", [](std::size_t number, const auto&) {
    if (number == 1) {
      return upstream_action{response_text("a", "first"), upstream_action::after::keep,
                             response_text("a", "late second")};
    }
    return upstream_action{response_text("b", "own")};
  });
  EXPECT_TRUE(call(request("GET", "/safe/x", "a"), is_complete).bytes.ends_with("first"));
  const auto response = call(request("GET", "/safe/x", "b"), is_complete);
  EXPECT_TRUE(response.bytes.ends_with("own")) << response.bytes;
  EXPECT_EQ(upstream.accepted(), 1U);  // The connection was reused, so the late response came first on it.
}

TEST_F(proxy_fixture, does_not_reuse_a_connection_with_bytes_after_the_response) {
  const auto& upstream = add_upstream("i-1", [](std::size_t number, const auto&) {
    return upstream_action{number == 1 ? response_text("a", "first") + response_text("a", "again")
                                       : response_text("b", "own")};
  });
  EXPECT_TRUE(call(request("GET", "/safe/x", "a"), is_complete).bytes.ends_with("first"));
  EXPECT_TRUE(call(request("GET", "/safe/x", "b"), is_complete).bytes.ends_with("own"));
  EXPECT_EQ(upstream.accepted(), 2U);
}

TEST_F(proxy_fixture, a_response_not_written_by_an_upstream_is_a_failure) {
  for (const std::string& bytes : {std::string("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n"),
                                   response_text("a", "x", "Content-Encoding: gzip\r\n"),
                                   std::string("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n"),
                                   std::string("nonsense\r\n\r\n")}) {
    m_records.clear();
    m_state.upstreams = {};
    add_upstream("i-1", [bytes](auto, const auto&) {
      return upstream_action{bytes, upstream_action::after::close};
    });
    EXPECT_THAT(call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete).bytes,
                StartsWith("HTTP/1.1 502"))
        << bytes;
  }
}

TEST_F(proxy_fixture, forwards_a_failure_response_of_an_upstream) {
  add_upstream("i-1",
               [](auto, const auto&) { return upstream_action{response_text("a", "broken", "", 500)}; });
  const auto response = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 500"));
  EXPECT_THAT(response.bytes, HasSubstr("X-Stamp: s"));
  EXPECT_TRUE(response.bytes.ends_with("broken"));
}

TEST_F(proxy_fixture, resumes_a_stream_after_its_last_complete_event) {
  const auto truncated = [](auto, const auto&) {
    return upstream_action{std::string(k_stream_head) + chunk("id: 1\ndata: x\n\nid: 2\nda"),
                           upstream_action::after::close};
  };
  const auto rest = [](auto, const std::string& received) {
    EXPECT_THAT(received, HasSubstr("Last-Event-Id: 1\r\n"));
    return upstream_action{std::string(k_stream_head) + chunk("id: 2\ndata: y\n\n") + "0\r\n\r\n"};
  };
  // The upstreams are chosen at random, so both of them can serve either part.
  const auto respond = [&](std::size_t number, const std::string& received) {
    return received.find("Last-Event-Id") == std::string::npos ? truncated(number, received)
                                                               : rest(number, received);
  };
  add_upstream("i-1", respond);
  add_upstream("i-2", respond);
  const auto response = call(request("POST", "/stream/x", "a", "Content-Length: 0\r\n"), is_complete);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(response.bytes, HasSubstr("id: 1\ndata: x\n\n"));
  EXPECT_THAT(response.bytes, HasSubstr("id: 2\ndata: y\n\n"));
  EXPECT_THAT(response.bytes, Not(HasSubstr("id: 2\nda\r\n")));
}

TEST_F(proxy_fixture, an_encoded_stream_is_a_failure) {
  add_upstream("i-1", [](auto, const auto&) {
    return upstream_action{
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Encoding: gzip\r\nTransfer-Encoding: "
        "chunked\r\n\r\n" +
        chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n"};
  });
  EXPECT_THAT(call(request("POST", "/fragile/x", "a", "Content-Length: 0\r\n"), is_complete).bytes,
              StartsWith("HTTP/1.1 502"));
}

// The caller has already received part of the response. A failure to resume must not be written into it.
TEST_F(proxy_fixture, aborts_a_stream_whose_resumption_is_refused) {
  for (const int status : {200, 400, 404, 500}) {
    m_records.clear();
    m_state.upstreams = {};
    const auto respond = [status](auto, const std::string& received) {
      return received.find("Last-Event-Id") == std::string::npos
                 ? upstream_action{std::string(k_stream_head) + chunk("id: 1\ndata: x\n\n"),
                                   upstream_action::after::close}
                 : upstream_action{
                       response_text("a", "rest", status == 200 ? "Content-Encoding: gzip\r\n" : "", status)};
    };
    add_upstream("i-1", respond);
    add_upstream("i-2", respond);
    const auto response = call(request("POST", "/stream/x", "a", "Content-Length: 0\r\n"), is_complete);
    EXPECT_TRUE(response.bytes.ends_with("id: 1\ndata: x\n\n\r\n")) << status << ": " << response.bytes;
    EXPECT_TRUE(response.ended) << status;
  }
}

TEST_F(proxy_fixture, aborts_a_broken_stream_that_is_not_resumable) {
  const auto truncated = [](auto, const auto&) {
    return upstream_action{std::string(k_stream_head) + chunk("id: 1\ndata: x\n\n"),
                           upstream_action::after::reset};
  };
  add_upstream("i-1", truncated);
  add_upstream("i-2", truncated);
  const auto response = call(request("POST", "/fragile/x", "a", "Content-Length: 0\r\n"), is_complete);
  EXPECT_TRUE(response.ended);
  EXPECT_FALSE(is_complete(response.bytes));
  EXPECT_EQ(m_upstreams[0]->requests().size() + m_upstreams[1]->requests().size(), 1U);
}

TEST_F(proxy_fixture, responds_at_the_timeout_of_the_route) {
  add_upstream("i-1", [](auto, const auto&) { return upstream_action{}; });
  const time_point start = clock::now();
  const auto response = call(request("POST", "/short/x", "a", "Content-Length: 0\r\n"), is_complete);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 504"));
  EXPECT_GE(clock::now() - start, milliseconds{140});
  EXPECT_THAT(response.bytes, HasSubstr("\"execution\":\"unknown\""));
}

TEST_F(proxy_fixture, cancels_the_request_of_a_disconnected_caller) {
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) { return upstream_action{}; });
  call(request("GET", "/safe/x", "a"), [&](const std::string&) { return !upstream.requests().empty(); });
  EXPECT_TRUE(run_until([&] { return upstream.closed() == 1; }));
}

// A lossy network may delay a request for seconds. If its connection ended in an orderly way, the request
// would be delivered after its caller has disconnected.
TEST_F(proxy_fixture, resets_the_upstream_connection_of_a_cancelled_request) {
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) { return upstream_action{}; });
  call(request("GET", "/safe/x", "a"), [&](const std::string&) { return !upstream.requests().empty(); });
  EXPECT_TRUE(run_until([&] { return upstream.closed() == 1; }));
  EXPECT_EQ(upstream.resets(), 1U) << "the caller has disconnected";
  call(request("POST", "/short/x", "b", "Content-Length: 0\r\n"), is_complete);
  EXPECT_TRUE(run_until([&] { return upstream.closed() == 2; }));
  EXPECT_EQ(upstream.resets(), 2U) << "the timeout of the route has passed";
}

TEST_F(proxy_fixture, refuses_at_once_if_no_upstream_has_a_free_slot) {
  const time_point start = clock::now();
  const auto response = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(response.bytes, HasSubstr("\"execution\":\"not_run\""));
  EXPECT_LT(clock::now() - start, seconds{1});
}

TEST_F(proxy_fixture, sends_nothing_more_to_an_upstream_that_announces_leaving) {
  for (const auto& [status, extra_headers] :
       {std::pair(200, ""), std::pair(500, ""), std::pair(503, "X-Not-Executed: 1\r\n")}) {
    m_records.clear();
    m_state.upstreams = {};
    const auto& leaving_upstream =
        add_upstream(fmt::format("leaver-{}", status),
                     [status = status, extra_headers = extra_headers](auto, const auto&) {
                       return upstream_action{response_text(
                           "a", "last", fmt::format("X-Leaving: 1\r\n{}", extra_headers), status)};
                     });
    call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete);
    const auto& other = add_upstream(fmt::format("other-{}", status), [](auto, const auto&) {
      return upstream_action{response_text("b", "own")};
    });
    for (int i = 0; i < 8; ++i) {
      EXPECT_TRUE(call(request("GET", "/safe/x", "b"), is_complete).bytes.ends_with("own")) << status;
    }
    EXPECT_EQ(leaving_upstream.requests().size(), 1U) << status;
    EXPECT_EQ(other.requests().size(), 8U) << status;
  }
}

TEST_F(proxy_fixture, respects_the_retry_after_of_an_unavailable_upstream) {
  const auto& unavailable = add_upstream("i-1", [](auto, const auto&) {
    return upstream_action{response_text("a", "", "X-Not-Executed: 1\r\nRetry-After: 30.5\r\n", 503)};
  });
  for (int i = 0; i < 5; ++i) {
    const auto response = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete);
    EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 503"));
    // No upstream is available earlier, so Retry-After states the whole time.
    const auto at = response.bytes.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos);
    EXPECT_GE(std::stod(response.bytes.substr(at + 13)), 29);
  }
  EXPECT_EQ(unavailable.requests().size(), 1U);
  const auto& available =
      add_upstream("i-2", [](auto, const auto&) { return upstream_action{response_text("b", "own")}; });
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(call(request("GET", "/safe/x", "b"), is_complete).bytes.ends_with("own"));
  }
  EXPECT_EQ(available.requests().size(), 4U);
  EXPECT_EQ(unavailable.requests().size(), 1U);
}

TEST_F(proxy_fixture, aborts_endless_responses) {
  const std::string upstream_headers = "X-Id: a\r\nX-Stamp: s\r\n";
  const std::string late = response_text("z", std::string(8192, 'z'));
  const std::string stream_head = "HTTP/1.1 200 OK\r\n" + upstream_headers + "\r\n";
  const std::string chunked_head =
      "HTTP/1.1 200 OK\r\n" + upstream_headers + "Transfer-Encoding: chunked\r\n\r\n";
  // Written in blocks: the caller's 1.5 s are too short for thousands of small writes on a busy machine.
  const auto block_of = [](const std::string& unit) {
    std::string block;
    while (block.size() < 8192) {
      block += unit;
    }
    return block;
  };
  struct endless_response {
    std::string path;
    std::string prefix;
    std::string repeated;
  };
  for (const auto& [path, prefix, repeated] : {
           endless_response{"/once/x", "HTTP/1.1 200 OK\r\n" + upstream_headers,
                            "X-More: " + std::string(8000, 'm') + "\r\n"},
           endless_response{"/once/x",
                            "HTTP/1.1 200 OK\r\n" + upstream_headers + "X-Long: ", std::string(8192, 'm')},
           endless_response{"/once/x", "", std::string(8192, 'g')},
           endless_response{"/once/x", "", block_of("HTTP/1.1 100 Continue\r\n\r\n")},
           endless_response{"/once/x", "", late},
           endless_response{"/once/x", "HTTP/1.1 200 OK\r\n" + upstream_headers + "\r\n",
                            std::string(8192, 'b')},
           endless_response{"/fragile/x",
                            "HTTP/1.1 200 OK\r\n" + upstream_headers + "\r\ndata: ", std::string(8192, 'e')},
           endless_response{"/fragile/x", stream_head, std::string(8192, '\n')},
           endless_response{"/fragile/x", stream_head, block_of(":\n\n")},
           endless_response{"/fragile/x", chunked_head, block_of(chunk("\n"))},
           endless_response{"/fragile/x", chunked_head, block_of(chunk(": wait\r\n\r\n"))},
       }) {
    m_records.clear();
    m_state.upstreams = {};
    endless_upstream upstream(m_context, prefix, repeated);
    m_records.push_back(
        {.id = "i-1", .service = "s", .address = upstream.address(), .availability_zone = "z"});
    m_state.upstreams.apply(m_records, clock::now(), false);
    const auto response = call(request("POST", path, "a", "Content-Length: 0\r\n"), is_complete);
    EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 502")) << repeated.substr(0, 20);
    EXPECT_TRUE(run_until([&] { return upstream.ended(); })) << repeated.substr(0, 20);
    EXPECT_LE(upstream.sent(), k_max_endless_response_bytes) << repeated.substr(0, 20);
    EXPECT_EQ(m_state.buffered_responses.bytes(), 0U);
  }
}

// Guards against sound responses that are given up because one without end takes up what all may hold.
TEST_F(proxy_fixture, the_largest_response_is_given_up_when_all_together_are_too_large) {
  constexpr std::size_t k_limit = 400'000;
  const std::string large(300'000, 'l');
  const std::string body(200'000, 'b');
  m_state.buffered_responses.set_limit(k_limit);
  add_upstream("i-1", [&](auto, const std::string& text) {
    return upstream_action{text.find("/large") == std::string::npos
                               ? response_text("a", body)
                               : "HTTP/1.1 200 X\r\nX-Id: b\r\nX-Stamp: s\r\nContent-Length: 900000\r\n\r\n" +
                                     large};
  });
  asio::ip::tcp::socket caller(m_context);
  caller.connect(net::parse_endpoint(m_listener.address()).value());
  asio::write(caller, asio::buffer(request("POST", "/once/large", "b", "Content-Length: 0\r\n")));
  ASSERT_TRUE(run_until([&] { return m_state.buffered_responses.bytes() == large.size(); }));
  const auto sound = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete);
  EXPECT_THAT(sound.bytes, StartsWith("HTTP/1.1 200"));
  EXPECT_TRUE(sound.bytes.ends_with(body));
  std::string given_up(512, '\0');
  ASSERT_TRUE(run_until([&] { return caller.available() > 0; }));
  given_up.resize(caller.read_some(asio::buffer(given_up)));
  EXPECT_THAT(given_up, StartsWith("HTTP/1.1 502"));
  EXPECT_THAT(given_up, HasSubstr(R"("execution":"unknown")"));
  EXPECT_EQ(m_state.buffered_responses.bytes(), 0U);
}

// Bytes that are no events with data do not keep a stream alive, neither before nor after its first event.
TEST_F(proxy_fixture, gives_up_a_begun_stream_that_goes_on_without_data) {
  constexpr std::size_t k_socket_buffers = 16U << 20U;
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\n\r\n";
  for (const auto& [first, repeated] : {std::pair("id: 1\ndata: x\n\n", std::string(8192, '\n')),
                                        {"id: 1\ndata: x\n\n", std::string(":\n\n")},
                                        {"id: 1\ndata: x\n\n", std::string("id: 1\n\n")},
                                        {"id: 1\n\n", std::string("id: 1\n\n")}}) {
    m_records.clear();
    m_state.upstreams = {};
    endless_upstream upstream(m_context, head + first, repeated);
    m_records.push_back(
        {.id = "i-1", .service = "s", .address = upstream.address(), .availability_zone = "z"});
    m_state.upstreams.apply(m_records, clock::now(), false);
    const auto response =
        call(request("POST", "/fragile/x", "a", "Content-Length: 0\r\n"), [](const auto&) { return false; });
    EXPECT_THAT(response.bytes, HasSubstr(first)) << repeated.substr(0, 20);
    EXPECT_FALSE(is_complete(response.bytes)) << repeated.substr(0, 20);
    EXPECT_TRUE(run_until([&] { return upstream.ended(); })) << repeated.substr(0, 20);
    EXPECT_LE(upstream.sent(), k_socket_buffers) << repeated.substr(0, 20);
  }
}

// An upstream that sends comments only has not begun to answer, so that another one may.
TEST_F(proxy_fixture, a_stream_that_has_sent_comments_only_is_left_to_another_upstream) {
  for (const bool silent : {false, true}) {
    m_records.clear();
    m_state.upstreams = {};
    for (const char* id : {"i-1", "i-2"}) {
      add_upstream(id, [this, silent](auto, const auto&) {
        const bool first = m_upstreams[0]->requests().size() + m_upstreams[1]->requests().size() == 1;
        return first ? upstream_action{std::string(k_stream_head) + chunk(": wait\n\n\n"),
                                       silent ? upstream_action::after::keep : upstream_action::after::close}
                     : upstream_action{std::string(k_stream_head) +
                                       chunk("\n: sound\n\nid: 1\ndata: x\n\n: more\n\n\n") + "0\r\n\r\n"};
      });
    }
    const auto response = call(request("POST", "/stream/x", "a", "Content-Length: 0\r\n"), is_complete);
    EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 200")) << silent;
    EXPECT_THAT(response.bytes, Not(HasSubstr("wait"))) << silent;
    // Comments and empty lines of the response itself are part of it.
    EXPECT_TRUE(response.bytes.ends_with(chunk("\n: sound\n\n") + chunk("id: 1\ndata: x\n\n") +
                                         chunk(": more\n\n") + chunk("\n") + "0\r\n\r\n"))
        << response.bytes;
    m_upstreams.clear();
    m_state.upstream_connections = {};
  }
}

// Each record of a pass reads the whole list of upstreams, and one read can hold thousands of events.
TEST_F(proxy_fixture, events_of_one_read_are_not_taken_for_forward_passes) {
  use_engine();
  auto& upstream = add_upstream("i-1", [](auto, const auto&) {
    return upstream_action{std::string(k_stream_head) + chunk("id: 1\ndata: x\n\nid: 2\ndata: y\n\n")};
  });
  time_point third_event_at;
  call(request("POST", "/stream/x", "a", "Content-Length: 0\r\n"), [&](const std::string& bytes) {
    if (bytes.find("id: 2") == std::string::npos) {
      return false;
    }
    if (third_event_at == time_point{}) {
      EXPECT_FALSE(m_state.concurrency_limiters.contains("s"));
      third_event_at = clock::now() + milliseconds{5};
    } else if (clock::now() >= third_event_at) {
      upstream.send_to_last(chunk("id: 3\ndata: z\n\n"));
      third_event_at = time_point::max();
    }
    return bytes.find("id: 3") != std::string::npos;
  });
  EXPECT_TRUE(m_state.concurrency_limiters.contains("s"));
}

TEST_F(proxy_fixture, refuses_requests_that_prolong_forward_passes_except_resumed_streams) {
  constexpr milliseconds k_event_gap{150};
  auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
  configuration->services.front().engine =
      gateway::engine_cost{.step_ms = 5, .per_sequence_ms = 1, .steps_per_pass = 9};
  for (gateway::route& each : configuration->routes) {
    each.max_event_gap = each.kind == gateway::call_kind::stream ? k_event_gap : milliseconds{0};
  }
  configuration->build_index();
  m_state.configuration = configuration;
  const auto& upstream = add_upstream("i-1", [](auto, const auto&) {
    return upstream_action{std::string(k_stream_head) + chunk("id: 9\ndata: x\n\n") + "0\r\n\r\n"};
  });
  const time_point now = clock::now();
  for (int i = 0; i < 3; ++i) {
    m_state.upstreams.on_started("i-1", now);
  }
  // Three of four slots are in use, and forward passes take twice the event gap.
  for (int i = 0; i < 50; ++i) {
    m_state.concurrency_limiters["s"].observe(2 * k_event_gap, 3, *configuration->services.front().engine,
                                              now);
  }
  const auto refused = call(request("POST", "/stream/x", "a", "Content-Length: 0\r\n"), is_complete);
  EXPECT_THAT(refused.bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(refused.bytes, HasSubstr("Retry-After: "));
  EXPECT_TRUE(upstream.requests().empty());
  const auto rest =
      call(request("POST", "/stream/x", "a", "Last-Event-Id: 8\r\nContent-Length: 0\r\n"), is_complete);
  EXPECT_THAT(rest.bytes, HasSubstr("id: 9"));
  // Requests without events do not depend on the duration of forward passes.
  call(request("GET", "/safe/x", "a"), is_complete);
  EXPECT_EQ(upstream.requests().size(), 2U);
}

TEST_F(proxy_fixture, serves_pipelined_requests_in_order) {
  add_upstream("i-1", [](std::size_t number, const auto&) {
    return upstream_action{response_text(number == 1 ? "a" : "b", number == 1 ? "one" : "two")};
  });
  const auto response = call(request("GET", "/safe/x", "a") + request("GET", "/safe/x", "b"),
                             [](const std::string& bytes) { return bytes.ends_with("two"); });
  EXPECT_LT(response.bytes.find("one"), response.bytes.find("two"));
}

TEST_F(proxy_fixture, rejects_requests_that_allow_smuggling) {
  const auto& upstream =
      add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "")}; });
  for (const std::string_view extra_headers :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: -1\r\n", "Bad Name: x\r\n"}) {
    const auto response =
        call(request("POST", "/once/x", "a", extra_headers) + "0\r\n\r\n", [](const auto&) { return false; });
    EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 400")) << extra_headers;
    EXPECT_TRUE(response.ended);
  }
  EXPECT_TRUE(upstream.requests().empty());
}

// Crashes on requests whose prompt contains the part "bad", and serves others.
upstream_action crash_on_bad_part(std::size_t /*number*/, const std::string& received) {
  if (received.find("bad:") != std::string::npos) {
    return {"", upstream_action::after::crash};
  }
  return {std::string(k_stream_head) + chunk("id: 1\ndata: x\n\n") + chunk("id: 2\ndata: y\n\n") +
          "0\r\n\r\n"};
}

std::string prompt_headers(std::string_view parts) {
  return fmt::format("X-Model: m\r\nX-Prompt-Parts: {}\r\nContent-Length: 0\r\n", parts);
}

TEST_F(proxy_fixture, a_request_that_may_have_crashed_its_upstream_is_not_sent_to_another) {
  use_engine();
  add_upstream("i-1", crash_on_bad_part);
  add_upstream("i-2", crash_on_bad_part);
  const auto response =
      call(request("POST", "/stream/x", "a", prompt_headers("shared:40,bad:10,own:5")), is_complete);
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 502"));
  EXPECT_EQ(m_upstreams[0]->requests().size() + m_upstreams[1]->requests().size(), 1U);
}

TEST_F(proxy_fixture, a_part_that_has_crashed_two_upstreams_is_refused_at_once_and_others_are_served) {
  use_engine();
  for (const auto* id : {"i-1", "i-2", "i-3"}) {
    add_upstream(id, crash_on_bad_part);
  }
  const auto run = [&](const std::string& parts) {
    return call(request("POST", "/stream/x", "a", prompt_headers(parts)), is_complete).bytes;
  };
  const auto arrivals = [&] {
    std::size_t count = 0;
    for (const auto& each : m_upstreams) {
      count += static_cast<std::size_t>(std::count_if(
          each->requests().begin(), each->requests().end(),
          [](const std::string& received) { return received.find("bad:") != std::string::npos; }));
    }
    return count;
  };
  EXPECT_THAT(run("shared:40,own1:5"), StartsWith("HTTP/1.1 200"));
  // Refused connections to crashed upstreams can end some of these requests before an upstream gets them.
  for (int i = 0; i < 20 && arrivals() < 2; ++i) {
    run("shared:40,bad:10,own2:5");
    const time_point until = clock::now() + milliseconds{100};
    run_until([until] { return clock::now() >= until; });
  }
  const time_point until = clock::now() + milliseconds{400};
  run_until([until] { return clock::now() >= until; });
  for (int i = 0; i < 5; ++i) {
    const auto refusal = run("shared:40,bad:10,own3:5");
    EXPECT_THAT(refusal, StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(refusal, HasSubstr("Retry-After: "));
    EXPECT_THAT(refusal, HasSubstr("a part of the prompt crashes upstreams"));
  }
  EXPECT_EQ(arrivals(), 2U);
  EXPECT_THAT(run("shared:40,own4:5"), StartsWith("HTTP/1.1 200"));
}

TEST_F(proxy_fixture, a_request_with_sound_parts_is_sent_to_another_upstream_after_a_crash) {
  use_engine();
  bool crash = false;
  const auto script = [&crash](std::size_t number, const std::string& received) {
    return std::exchange(crash, false) ? upstream_action{"", upstream_action::after::crash}
                                       : crash_on_bad_part(number, received);
  };
  add_upstream("i-1", script);
  add_upstream("i-2", script);
  const auto run = [&] {
    return call(request("POST", "/stream/x", "a", prompt_headers("shared:40,own:5")), is_complete).bytes;
  };
  EXPECT_THAT(run(), StartsWith("HTTP/1.1 200"));
  crash = true;
  EXPECT_THAT(run(), StartsWith("HTTP/1.1 200"));
}

TEST_F(proxy_fixture, a_broken_connection_to_a_running_upstream_is_no_crash) {
  use_engine();
  const auto script = [](std::size_t, const std::string& received) {
    return received.find(k_status_path) != std::string::npos
               ? upstream_action{response_text("a", "status")}
               : upstream_action{"", upstream_action::after::reset};
  };
  add_upstream("i-1", script);
  add_upstream("i-2", script);
  for (int i = 0; i < 3; ++i) {
    const auto response =
        call(request("POST", "/stream/x", "a", prompt_headers("shared:40,own:5")), is_complete);
    EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 502"));
  }
  EXPECT_EQ(m_state.prompt_quarantine.size(), 0U);
  EXPECT_GE(m_upstreams[0]->requests().size() + m_upstreams[1]->requests().size(), 4U);
}

}  // namespace
}  // namespace cuminpath::proxy
