// Checks what a caller receives of a stream that breaks off, for each way in which the next upstream may
// respond: pieces in order, none twice, none missing, and no bytes of a response that does not continue it.

#include <gmock/gmock.h>

#include <fmt/format.h>

#include <ostream>

#include "proxy_fixture.h"
#include "response_text.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;
using after = upstream_action::after;

constexpr std::string_view k_event_stream = "text/event-stream";
constexpr std::string_view k_own_headers = "X-Id: a\r\nX-Stamp: s\r\n";

enum class framing : std::uint8_t {
  length,
  chunked,
  until_close,
  http_1_0,
  length_and_chunks,
  broken_chunk,
  cut_chunk,
  reset,
};
constexpr framing k_framings[] = {framing::length,
                                  framing::chunked,
                                  framing::until_close,
                                  framing::http_1_0,
                                  framing::length_and_chunks,
                                  framing::broken_chunk,
                                  framing::cut_chunk,
                                  framing::reset};

upstream_action respond_with(int status, std::string_view headers, std::string_view body, framing how) {
  const auto head = [&](std::string_view version, std::string_view framing_headers) {
    return fmt::format("HTTP/{} {} X\r\n{}{}\r\n", version, status, headers, framing_headers);
  };
  constexpr std::string_view k_chunked = "Transfer-Encoding: chunked\r\n";
  const std::string length = fmt::format("Content-Length: {}\r\n", body.size());
  switch (how) {
    case framing::length:
      return {head("1.1", length) + std::string(body)};
    case framing::chunked:
      return {head("1.1", k_chunked) + chunk(body) + "0\r\n\r\n"};
    case framing::until_close:
      return {head("1.1", "") + std::string(body), after::close};
    case framing::http_1_0:
      return {head("1.0", "") + std::string(body), after::close};
    case framing::length_and_chunks:
      return {head("1.1", length + std::string(k_chunked)) + chunk(body) + "0\r\n\r\n", after::close};
    case framing::broken_chunk:
      return {head("1.1", k_chunked) + chunk(body) + "zz\r\n\r\n"};
    case framing::cut_chunk:
      return {head("1.1", k_chunked) + chunk(body), after::close};
    case framing::reset:
      return {head("1.1", "") + std::string(body), after::reset};
  }
  return {};
}

std::string own_headers(std::string_view content_type, std::string_view extra = "") {
  return fmt::format("{}{}{}", k_own_headers,
                     content_type.empty() ? "" : fmt::format("Content-Type: {}\r\n", content_type), extra);
}

std::string event(int number, std::string_view line_end = "\n") {
  return fmt::format("id: {0}{1}data: text {0}{1}{1}", number, line_end);
}

std::string events(int first, int last, std::string_view line_end = "\n") {
  std::string text;
  for (int number = first; number <= last; ++number) {
    text += event(number, line_end);
  }
  return text;
}

class broken_stream_base : public proxy_fixture {
protected:
  broken_stream_base() {
    for (const char* id : {"i-1", "i-2", "i-3"}) {
      add_upstream(id, [this](auto, const std::string& received) {
        m_received.push_back(received);
        return m_received.size() <= m_responses.size() ? m_responses[m_received.size() - 1]
                                                       : upstream_action{"", after::close};
      });
    }
    allow_attempts(2);
  }

  void allow_attempts(std::uint32_t count) {
    auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
    for (auto& route : configuration->routes) {
      route.max_attempts = count;
    }
    configuration->build_index();
    m_state.configuration = std::move(configuration);
  }

  // Sends a request to upstreams that respond in this order, whichever of them are chosen.
  caller_view stream(std::vector<upstream_action> responses, std::string_view path = "/stream/x",
                     std::string_view extra_headers = "") {
    m_responses = std::move(responses);
    m_received.clear();
    m_state.upstreams = {};
    m_state.upstream_connections = {};
    m_state.retry_budgets.clear();
    m_state.service_states.clear();
    m_state.upstreams.apply(m_records, clock::now(), false);
    const auto response =
        call(request("POST", path, "a", fmt::format("{}Content-Length: 0\r\n", extra_headers)),
             [](const std::string& bytes) { return read_response(bytes).whole; });
    return read_response(response.bytes);
  }

  std::vector<upstream_action> m_responses;
  std::vector<std::string> m_received;
};

class broken_stream : public broken_stream_base {};

struct break_case {
  std::string name;
  std::string line_end;
  framing how;
};
std::ostream& operator<<(std::ostream& out, const break_case& value) {
  return out << value.name;
}

class broken_stream_at_each_byte : public broken_stream_base,
                                   public ::testing::WithParamInterface<break_case> {};

// The first response breaks off after each byte of its third event.
TEST_P(broken_stream_at_each_byte, continues_at_the_next_event_or_looks_broken) {
  const auto& [name, line_end, how] = GetParam();
  const std::string third = event(3, line_end);
  for (std::size_t size = 0; size < third.size(); ++size) {
    SCOPED_TRACE(fmt::format("{} bytes of the third event", size));
    const upstream_action first =
        respond_with(200, own_headers(k_event_stream), events(1, 2, line_end) + third.substr(0, size), how);
    const auto continued = stream(
        {first, respond_with(200, own_headers(k_event_stream), events(3, 4, line_end), framing::chunked)});
    ASSERT_EQ(m_received.size(), 2U);
    EXPECT_THAT(m_received[1], HasSubstr("Last-Event-Id: 2\r\n"));
    EXPECT_EQ(continued.body, events(1, 4, line_end));
    EXPECT_TRUE(continued.whole);

    const auto failed =
        stream({first, respond_with(500, own_headers("text/plain"), "failed: \n\n", framing::length)});
    EXPECT_THAT(failed.head, StartsWith("HTTP/1.1 200"));
    EXPECT_EQ(failed.body, events(1, 2, line_end));
    EXPECT_FALSE(failed.whole);

    const auto cut_again = stream(
        {first, respond_with(200, own_headers(k_event_stream), third.substr(0, size), framing::cut_chunk)});
    EXPECT_EQ(cut_again.body, events(1, 2, line_end));
    EXPECT_FALSE(cut_again.whole);
  }
}

INSTANTIATE_TEST_SUITE_P(breaks, broken_stream_at_each_byte,
                         ::testing::Values(break_case{"lf_closed", "\n", framing::cut_chunk},
                                           break_case{"lf_reset", "\n", framing::reset},
                                           break_case{"lf_broken_chunk", "\n", framing::broken_chunk},
                                           break_case{"crlf_closed", "\r\n", framing::cut_chunk},
                                           break_case{"crlf_reset", "\r\n", framing::reset},
                                           break_case{"crlf_broken_chunk", "\r\n", framing::broken_chunk}),
                         [](const auto& named) { return named.param.name; });

// A response without a length ends with its connection, but not inside an event.
TEST_F(broken_stream, without_length_is_whole_only_at_the_end_of_an_event) {
  for (const framing how : {framing::until_close, framing::http_1_0}) {
    for (std::size_t size = 0; size < event(3).size(); ++size) {
      const auto response = stream(
          {respond_with(200, own_headers(k_event_stream), events(1, 2) + event(3).substr(0, size), how),
           respond_with(200, own_headers(k_event_stream), event(3), framing::until_close)});
      EXPECT_EQ(m_received.size(), size == 0 ? 1U : 2U);
      EXPECT_EQ(response.body, events(1, size == 0 ? 2 : 3)) << size;
      EXPECT_TRUE(response.whole) << size;
    }
  }
}

class broken_stream_then_status : public broken_stream_base, public ::testing::WithParamInterface<int> {
protected:
  void expect_only_the_first_events(const upstream_action& next) {
    const auto response = stream(
        {respond_with(200, own_headers(k_event_stream, "X-First: 1\r\n"), events(1, 2), framing::cut_chunk),
         next});
    SCOPED_TRACE(next.bytes);
    ASSERT_GE(m_received.size(), 2U);
    EXPECT_THAT(m_received[1], HasSubstr("Last-Event-Id: 2\r\n"));
    EXPECT_THAT(response.head, StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(response.head, HasSubstr("X-First: 1\r\n"));
    EXPECT_EQ(response.body, events(1, 2));
    EXPECT_FALSE(response.whole);
  }
};

TEST_P(broken_stream_then_status, shows_nothing_of_the_error_to_the_caller) {
  const int status = GetParam();
  const std::string bodies[] = {"", R"({"error":"busy"})", "event: error\ndata: busy\n\n", events(3, 4)};
  for (const framing how : k_framings) {
    for (const std::string& body : bodies) {
      for (const std::string_view type :
           {k_event_stream, std::string_view("application/json"), std::string_view("text/html"),
            std::string_view("text/event-stream; charset=utf-8"), std::string_view("TEXT/EVENT-STREAM"),
            std::string_view()}) {
        expect_only_the_first_events(respond_with(status, own_headers(type), body, how));
      }
      for (const std::string_view headers : {"X-Id: a\r\n", "X-Stamp: s\r\n", ""}) {
        expect_only_the_first_events(
            respond_with(status, fmt::format("{}Content-Type: text/event-stream\r\n", headers), body, how));
      }
      expect_only_the_first_events(
          respond_with(status, own_headers(k_event_stream, "X-Not-Executed: 1\r\n"), body, how));
      upstream_action interim = respond_with(status, own_headers(k_event_stream), body, how);
      interim.bytes.insert(0, "HTTP/1.1 100 Continue\r\n\r\n");
      expect_only_the_first_events(interim);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(statuses, broken_stream_then_status,
                         ::testing::Values(201, 204, 206, 301, 304, 400, 401, 404, 408, 409, 413, 421, 429,
                                           500, 502, 503, 504, 599));

struct next_response {
  std::string name;
  std::string headers;
  std::string body;
};
std::ostream& operator<<(std::ostream& out, const next_response& value) {
  return out << value.name;
}

class broken_stream_then_other_response : public broken_stream_base,
                                          public ::testing::WithParamInterface<next_response> {};

// A response with status 200 that does not go on at the next event.
TEST_P(broken_stream_then_other_response, is_not_joined_to_the_stream) {
  const auto& [name, headers, body] = GetParam();
  for (const framing how : k_framings) {
    SCOPED_TRACE(static_cast<int>(how));
    for (const framing first : {framing::cut_chunk, framing::broken_chunk, framing::reset}) {
      const auto response = stream({respond_with(200, own_headers(k_event_stream), events(1, 2), first),
                                    respond_with(200, headers, body, how)});
      EXPECT_EQ(m_received.size(), 2U);
      EXPECT_EQ(response.body, events(1, 2));
      EXPECT_FALSE(response.whole);
    }
  }
}

// Another upstream may still continue the stream.
TEST_P(broken_stream_then_other_response, leaves_the_stream_to_another_upstream) {
  const auto& [name, headers, body] = GetParam();
  allow_attempts(3);
  for (const framing how : k_framings) {
    SCOPED_TRACE(static_cast<int>(how));
    const auto response =
        stream({respond_with(200, own_headers(k_event_stream), events(1, 2), framing::cut_chunk),
                respond_with(200, headers, body + "id: 9\nda", how),
                respond_with(200, own_headers(k_event_stream), events(3, 4), framing::chunked)});
    ASSERT_EQ(m_received.size(), 3U);
    EXPECT_THAT(m_received[2], HasSubstr("Last-Event-Id: 2\r\n"));
    EXPECT_EQ(response.body, events(1, 4));
    EXPECT_TRUE(response.whole);
  }
}

INSTANTIATE_TEST_SUITE_P(
    next, broken_stream_then_other_response,
    ::testing::Values(
        next_response{"begins_again", own_headers(k_event_stream), events(1, 4)},
        next_response{"repeats_the_last_event", own_headers(k_event_stream), events(2, 4)},
        next_response{"skips_an_event", own_headers(k_event_stream), events(4, 5)},
        next_response{"id_is_no_number", own_headers(k_event_stream), "id: x\ndata: x\n\n" + events(3, 4)},
        next_response{"id_begins_like_a_number", own_headers(k_event_stream), "id: 3x\ndata: x\n\n"},
        next_response{"id_is_too_large", own_headers(k_event_stream),
                      "id: 18446744073709551619\ndata: x\n\n"},
        next_response{"id_is_empty", own_headers(k_event_stream), "id:\ndata: x\n\n" + events(3, 4)},
        next_response{"without_ids", own_headers(k_event_stream), "data: text 3\n\ndata: text 4\n\n"},
        next_response{"error_event", own_headers(k_event_stream), "event: error\ndata: busy\n\n"},
        next_response{"error_event_then_events", own_headers(k_event_stream),
                      "event: error\ndata: busy\n\n" + events(3, 4)},
        next_response{"empty_lines_then_events", own_headers(k_event_stream), "\n\n" + events(3, 4)},
        next_response{"error_text", own_headers(k_event_stream), "busy"},
        next_response{"head_of_a_response", own_headers(k_event_stream),
                      "HTTP/1.1 500 X\r\nX-Id: a\r\nX-Stamp: s\r\n\r\nbusy"},
        next_response{"json", own_headers("application/json"), R"({"error":"busy"})"},
        next_response{"empty_json", own_headers("application/json"), ""},
        next_response{"empty_text", own_headers("text/plain"), ""},
        next_response{"empty_without_type", own_headers(""), ""},
        next_response{"html", own_headers("text/html"), "<html>\n\nbusy\n\n"},
        next_response{"events_as_json", own_headers("application/json"), events(3, 4)},
        next_response{"events_without_type", own_headers(""), events(3, 4)},
        next_response{"events_of_another_type", own_headers("text/event-streams"), events(3, 4)},
        next_response{"not_executed", own_headers(k_event_stream, "X-Not-Executed: 1\r\n"), events(3, 4)},
        next_response{"encoded", own_headers(k_event_stream, "Content-Encoding: gzip\r\n"), events(3, 4)},
        next_response{"without_stamp", "X-Id: a\r\nContent-Type: text/event-stream\r\n", events(3, 4)},
        next_response{"without_id", "X-Stamp: s\r\nContent-Type: text/event-stream\r\n", events(3, 4)}),
    [](const auto& named) { return named.param.name; });

TEST_F(broken_stream, continues_with_each_form_of_the_content_type) {
  for (const std::string_view type : {"text/event-stream", "text/event-stream; charset=utf-8",
                                      "text/event-stream ;charset=utf-8", "TEXT/EVENT-STREAM"}) {
    for (const framing how : {framing::length, framing::chunked, framing::until_close, framing::http_1_0}) {
      for (const std::string& interim : {std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n")}) {
        upstream_action next = respond_with(200, own_headers(type), events(3, 4), how);
        next.bytes.insert(0, interim);
        const auto response =
            stream({respond_with(200, own_headers(k_event_stream), events(1, 2), framing::cut_chunk), next});
        EXPECT_EQ(response.body, events(1, 4)) << next.bytes;
        EXPECT_TRUE(response.whole) << next.bytes;
      }
    }
  }
}

// The first response broke off after its last event.
TEST_F(broken_stream, is_complete_if_the_next_upstream_has_no_further_events) {
  for (const framing how : {framing::length, framing::chunked, framing::until_close, framing::http_1_0}) {
    const auto response =
        stream({respond_with(200, own_headers(k_event_stream), events(1, 2), framing::cut_chunk),
                respond_with(200, own_headers(k_event_stream), "", how)});
    EXPECT_EQ(response.body, events(1, 2));
    // Without a length, an upstream that closes its connection early looks the same.
    EXPECT_EQ(response.whole, how == framing::length || how == framing::chunked);
  }
}

TEST_F(broken_stream, looks_broken_if_the_continuation_breaks_too) {
  for (const framing how : {framing::cut_chunk, framing::broken_chunk, framing::reset}) {
    const auto response =
        stream({respond_with(200, own_headers(k_event_stream), events(1, 2), framing::cut_chunk),
                respond_with(200, own_headers(k_event_stream), events(3, 4) + "id: 5\nda", how)});
    EXPECT_EQ(response.body, events(1, 4));
    EXPECT_FALSE(response.whole);
  }
}

// Where to go on is unknown, so that a further run would begin again.
TEST_F(broken_stream, is_not_resumed_after_an_event_without_id) {
  for (const std::string_view body : {"data: x\n\n", "id: 1\ndata: x\n\ndata: y\n\n", "id:\ndata: x\n\n",
                                      "id: 1\ndata: x\n\nid: y\ndata: y\n\n", "id: 1\ndata: x\n\ndata\n\n"}) {
    for (const framing how : {framing::cut_chunk, framing::broken_chunk, framing::reset}) {
      const auto response =
          stream({respond_with(200, own_headers(k_event_stream), body, how),
                  respond_with(200, own_headers(k_event_stream), events(1, 4), framing::chunked)});
      EXPECT_EQ(m_received.size(), 1U) << body;
      EXPECT_EQ(response.body, body);
      EXPECT_FALSE(response.whole) << body;
    }
  }
}

TEST_F(broken_stream, a_silent_stream_without_ids_is_not_begun_again) {
  upstream_action silent = respond_with(200, own_headers(k_event_stream), "data: x\n\n", framing::cut_chunk);
  silent.then = after::keep;
  const auto cut =
      stream({silent, respond_with(200, own_headers(k_event_stream), events(1, 4), framing::chunked)});
  EXPECT_EQ(m_received.size(), 1U);
  EXPECT_EQ(cut.body, "data: x\n\n");
  EXPECT_FALSE(cut.whole);
}

TEST_F(broken_stream, is_resumed_after_a_comment) {
  const auto response =
      stream({respond_with(200, own_headers(k_event_stream), events(1, 2) + ": wait\n\n", framing::cut_chunk),
              respond_with(200, own_headers(k_event_stream), events(3, 4), framing::chunked)});
  ASSERT_EQ(m_received.size(), 2U);
  EXPECT_THAT(m_received[1], HasSubstr("Last-Event-Id: 2\r\n"));
  EXPECT_EQ(response.body, events(1, 2) + ": wait\n\n" + events(3, 4));
  EXPECT_TRUE(response.whole);
}

TEST_F(broken_stream, of_a_caller_that_resumed_continues_at_the_next_event) {
  const auto response =
      stream({respond_with(200, own_headers(k_event_stream), events(13, 14) + "id: 15\n", framing::cut_chunk),
              respond_with(200, own_headers(k_event_stream), events(15, 16), framing::chunked)},
             "/stream/x", "Last-Event-Id: 12\r\n");
  ASSERT_EQ(m_received.size(), 2U);
  EXPECT_THAT(m_received[0], HasSubstr("Last-Event-Id: 12\r\n"));
  EXPECT_THAT(m_received[1], HasSubstr("Last-Event-Id: 14\r\n"));
  EXPECT_THAT(m_received[1], Not(HasSubstr("Last-Event-Id: 12\r\n")));
  EXPECT_EQ(response.body, events(13, 16));
  EXPECT_TRUE(response.whole);
}

// Nothing has reached the caller yet, so that the next upstream gets the same request.
TEST_F(broken_stream, before_its_first_event_begins_anew) {
  for (const std::string_view resume : {"", "Last-Event-Id: 12\r\n"}) {
    const auto response = stream(
        {respond_with(200, own_headers(k_event_stream, "X-First: 1\r\n"), "id: 13\nda", framing::cut_chunk),
         respond_with(200, own_headers(k_event_stream), events(13, 14), framing::chunked)},
        "/stream/x", resume);
    ASSERT_EQ(m_received.size(), 2U);
    EXPECT_EQ(m_received[1].find("Last-Event-Id") != std::string::npos, !resume.empty());
    EXPECT_THAT(m_received[1], HasSubstr(std::string(resume)));
    EXPECT_THAT(response.head, Not(HasSubstr("X-First")));
    EXPECT_EQ(response.body, events(13, 14));
    EXPECT_TRUE(response.whole);
  }
}

class stream_refused_at_first : public broken_stream_base, public ::testing::WithParamInterface<int> {};

TEST_P(stream_refused_at_first, keeps_its_status_and_body) {
  const int status = GetParam();
  const bool bodiless = status == 204 || status == 304;
  // A caller would read these as a promise, which the upstream has not made.
  const bool may_have_run = status == 429 || status == 503;
  for (const std::string_view path : {"/stream/x", "/fragile/x"}) {
    for (const std::string_view type :
         {k_event_stream, std::string_view("application/json"), std::string_view()}) {
      for (const std::string_view body : {"event: error\ndata: busy\n\n", "busy", ""}) {
        for (const framing how :
             {framing::length, framing::chunked, framing::until_close, framing::http_1_0}) {
          const upstream_action action = respond_with(status, own_headers(type), body, how);
          SCOPED_TRACE(action.bytes);
          const auto response = stream({action, action}, path);
          if (may_have_run && path == "/fragile/x") {
            EXPECT_THAT(response.head, StartsWith("HTTP/1.1 502 "));
            EXPECT_THAT(response.head, Not(HasSubstr("X-Stamp")));
            EXPECT_THAT(response.body, HasSubstr(R"("execution":"unknown")"));
            continue;
          }
          EXPECT_THAT(response.head, StartsWith(fmt::format("HTTP/1.1 {} ", status)));
          EXPECT_THAT(response.head, HasSubstr("X-Stamp: s\r\n"));
          EXPECT_EQ(response.body, bodiless ? "" : body);
          EXPECT_TRUE(response.whole);
        }
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(statuses, stream_refused_at_first,
                         ::testing::Values(201, 204, 206, 301, 304, 400, 401, 404, 409, 413, 429, 500, 502,
                                           503, 504, 599));

TEST_F(broken_stream, a_response_of_another_type_is_forwarded_whole_or_not_at_all) {
  for (const std::string_view path : {"/stream/x", "/fragile/x"}) {
    for (const std::string_view type : {"application/json", "text/plain", "text/html"}) {
      for (const std::string_view body : {"{\"error\":\"busy\"}", "a\n\nb\n\n", "a\n\nb", ""}) {
        for (const framing how : k_framings) {
          const upstream_action action = respond_with(200, own_headers(type), body, how);
          SCOPED_TRACE(action.bytes);
          const auto response = stream({action, action}, path);
          EXPECT_TRUE(response.whole);
          if (how == framing::length || how == framing::chunked || how == framing::until_close ||
              how == framing::http_1_0) {
            EXPECT_THAT(response.head, StartsWith("HTTP/1.1 200"));
            EXPECT_EQ(response.body, body);
          } else {
            EXPECT_THAT(response.head, StartsWith("HTTP/1.1 502"));
          }
        }
      }
    }
  }
}

TEST_F(broken_stream, without_a_content_type_is_continued_by_a_response_without_one) {
  const upstream_action first = respond_with(200, own_headers(""), events(1, 2), framing::cut_chunk);
  const auto continued = stream({first, respond_with(200, own_headers(""), events(3, 4), framing::chunked)});
  EXPECT_EQ(continued.body, events(1, 4));
  EXPECT_TRUE(continued.whole);
  const auto failed = stream({first, respond_with(200, own_headers("text/plain"), "", framing::length)});
  EXPECT_EQ(failed.body, events(1, 2));
  EXPECT_FALSE(failed.whole);
}

TEST_F(broken_stream, a_first_response_that_says_it_was_not_executed_is_no_stream) {
  const upstream_action action =
      respond_with(200, own_headers(k_event_stream, "X-Not-Executed: 1\r\n"), events(1, 2), framing::chunked);
  for (const std::string_view path : {"/stream/x", "/fragile/x"}) {
    const auto response = stream({action, action}, path);
    EXPECT_THAT(response.head, StartsWith("HTTP/1.1 502"));
    EXPECT_THAT(response.body, Not(HasSubstr("text 1")));
  }
}

// Bytes of another response that follow a response without a length belong to no request.
TEST_F(broken_stream, does_not_hold_the_head_of_another_response) {
  const std::string other = respond_with(500, own_headers("text/plain"), "busy", framing::length).bytes;
  for (const framing how : {framing::until_close, framing::http_1_0, framing::reset}) {
    for (const std::string& extra : {other, "\r\n" + other, other + events(3, 4), other + "\n\n"}) {
      const upstream_action first = respond_with(200, own_headers(k_event_stream), events(1, 2) + extra, how);
      const auto resumed =
          stream({first, respond_with(200, own_headers(k_event_stream), events(3, 4), framing::chunked)});
      EXPECT_EQ(resumed.body, events(1, 4));
      EXPECT_TRUE(resumed.whole);
      const auto aborted = stream({first}, "/fragile/x");
      EXPECT_EQ(aborted.body, events(1, 2));
      EXPECT_FALSE(aborted.whole);
    }
  }
}

TEST_F(broken_stream, has_no_chunks_in_the_response_to_a_head_request) {
  for (const std::string_view path : {"/stream/x", "/fragile/x"}) {
    m_responses = {respond_with(200, own_headers(k_event_stream), "", framing::length)};
    m_received.clear();
    const auto response = call(request("HEAD", path, "a"), [](const std::string& bytes) {
      return bytes.find("\r\n\r\n") != std::string::npos;
    });
    EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 200"));
    EXPECT_TRUE(response.bytes.ends_with("\r\n\r\n"));
    EXPECT_EQ(response.bytes.find("\r\n\r\n"), response.bytes.size() - 4) << response.bytes;
  }
}

// The next request is written at once, while the bytes of the response before it are still being read.
TEST_F(broken_stream, continues_on_connections_that_were_kept) {
  allow_attempts(3);
  std::size_t reused = 0;
  for (int i = 0; i < 20; ++i) {
    m_responses.assign(30, upstream_action{response_text("a", "kept")});
    m_received.clear();
    while (m_received.size() < 30) {
      call(request("GET", "/safe/x", "a"), is_complete);
    }
    const auto accepted = [&] {
      return m_upstreams[0]->accepted() + m_upstreams[1]->accepted() + m_upstreams[2]->accepted();
    };
    const std::size_t before = accepted();
    m_responses = {
        respond_with(200, own_headers(k_event_stream), events(1, 2) + "id: 3\nda", framing::cut_chunk),
        respond_with(200, own_headers(k_event_stream), events(1, 5) + "id: 6\nda", framing::cut_chunk),
        respond_with(200, own_headers(k_event_stream), events(3, 4), framing::chunked)};
    m_received.clear();
    const auto response = read_response(
        call(request("POST", "/stream/x", "a", "Content-Length: 0\r\n"), [](const std::string& bytes) {
          return read_response(bytes).whole;
        }).bytes);
    EXPECT_EQ(response.body, events(1, 4));
    EXPECT_TRUE(response.whole);
    reused += before + m_received.size() - accepted();
    m_state.upstreams = {};
    m_state.retry_budgets.clear();
    m_state.upstreams.apply(m_records, clock::now(), false);
  }
  EXPECT_GT(reused, 0U);
}

}  // namespace
}  // namespace cuminpath::proxy
