// Checks what callers receive if an upstream ends its connection inside a response, for each kind of call,
// each framing and each byte at which the response can end.

#include <gmock/gmock.h>

#include <fmt/format.h>

#include <tuple>

#include "proxy_fixture.h"
#include "response_text.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

using after = upstream_action::after;

enum class framing : std::uint8_t { length, chunked, until_close };
struct framing_name {
  std::string_view name;
  framing value;
};
constexpr framing_name k_framings[] = {
    {"length", framing::length}, {"chunked", framing::chunked}, {"until_close", framing::until_close}};

struct call_form {
  std::string_view name;
  std::string_view path;
  bool repeatable;
  bool streamed;
  bool resumed;  // The response that ends early is the rest of a stream.
};
constexpr call_form k_calls[] = {{"safe", "/safe/x", true, false, false},
                                 {"once", "/once/x", false, false, false},
                                 {"resumable_stream", "/stream/x", true, true, false},
                                 {"stream", "/fragile/x", false, true, false},
                                 {"resumed_stream", "/stream/x", true, true, true}};

struct ending {
  std::string_view name;
  after value;
};
constexpr ending k_endings[] = {{"fin", after::close}, {"reset", after::reset}};

// Sent before some of the responses.
constexpr std::string_view k_interim = "HTTP/1.1 103 Early Hints\r\nX-Id: a\r\n\r\n";

constexpr std::uint32_t k_max_attempts = 3;

std::string event(int number) {
  return fmt::format("id: {0}\ndata: {0}\n\n", number);
}

std::string response_bytes(std::string_view body, bool streamed, framing how) {
  const std::string head = fmt::format("HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Type: {}\r\n",
                                       streamed ? "text/event-stream" : "application/json");
  switch (how) {
    case framing::length:
      return fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body.size(), body);
    case framing::chunked:
      return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", head, chunk(body));
    case framing::until_close:
      return fmt::format("{}\r\n{}", head, body);
  }
  return {};
}

// Returns the body of a whole response; absent if it is not whole.
std::optional<std::string> whole_body(std::string_view bytes) {
  const caller_view view = read_response(bytes);
  return view.whole ? std::optional(view.body) : std::nullopt;
}

using parameters = std::tuple<call_form, framing_name, ending>;

class truncated_response_test : public proxy_fixture, public ::testing::WithParamInterface<parameters> {
protected:
  truncated_response_test() {
    for (const char* id : {"i-1", "i-2", "i-3"}) {
      add_upstream(id, [this](auto, const std::string& received) {
        m_received.push_back(received);
        return m_received.size() <= m_responses.size() ? m_responses[m_received.size() - 1]
                                                       : upstream_action{rest_of_response(received)};
      });
    }
    auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
    for (auto& route : configuration->routes) {
      route.max_attempts = k_max_attempts;
    }
    configuration->build_index();
    m_state.configuration = std::move(configuration);
  }

  static const call_form& form() { return std::get<0>(GetParam()); }
  static framing how() { return std::get<1>(GetParam()).value; }
  static after ends() { return std::get<2>(GetParam()).value; }

  // Sends a request to upstreams that respond in this order, whichever of them are chosen, and then with all
  // that is missing. Returns all bytes of the response.
  std::string receive(std::vector<upstream_action> responses) {
    m_responses = std::move(responses);
    m_received.clear();
    m_state.upstreams = {};
    m_state.upstream_connections = {};
    m_state.retry_budgets.clear();
    m_state.service_states.clear();
    m_state.upstreams.apply(m_records, clock::now(), false);
    return call(request("POST", form().path, "a", "Content-Length: 0\r\n"),
                [](const std::string& bytes) { return whole_body(bytes).has_value(); })
        .bytes;
  }

  // Events 1 and 2 of a stream that then breaks off, if the call is the rest of one.
  [[nodiscard]] static std::vector<upstream_action> earlier_responses() {
    if (!form().resumed) {
      return {};
    }
    const std::string whole = response_bytes(event(1) + event(2) + event(3), true, framing::length);
    return {{whole.substr(0, whole.size() - 4), after::reset}};
  }
  [[nodiscard]] static std::string expected_body() {
    return form().streamed ? event(1) + event(2) + event(3) + event(4) : R"({"whole":true})";
  }
  [[nodiscard]] static std::string rest_of_response(const std::string& request) {
    constexpr std::string_view k_resume_after = "Last-Event-Id: ";
    const std::size_t at = request.find(k_resume_after);
    std::string body = expected_body();
    if (at != std::string::npos) {
      body.erase(0, body.find(event(std::stoi(request.substr(at + k_resume_after.size())) + 1)));
    }
    return response_bytes(body, form().streamed, framing::length);
  }
  // The body of the response that ends early.
  [[nodiscard]] static std::string upstream_body() {
    return form().resumed ? event(3) + event(4) : expected_body();
  }

  // Checks the response to a request that an upstream may have run and that may not be repeated.
  void expect_broken(const std::string& received, bool cut_in_head) const {
    EXPECT_EQ(m_received.size(), 1U);
    if (form().streamed && !cut_in_head && received.starts_with("HTTP/1.1 200")) {
      EXPECT_FALSE(whole_body(received));
      return;
    }
    // A response that does not promise that the request has not run.
    EXPECT_THAT(received, StartsWith("HTTP/1.1 502"));
    EXPECT_THAT(received, HasSubstr(R"("execution":"unknown")"));
    EXPECT_THAT(received, Not(HasSubstr("X-Stamp")));
  }
  // Checks the response with a body that may have ended early, of which the upstream has sent `sent`.
  static void expect_start_of_body(const std::string& received, const std::string& sent) {
    const auto body = whole_body(received);
    if (!form().streamed) {
      EXPECT_THAT(received, StartsWith("HTTP/1.1 200"));
      EXPECT_EQ(body, sent);
    } else if (body && received.starts_with("HTTP/1.1 200")) {
      EXPECT_THAT(expected_body(), StartsWith(*body));
      EXPECT_TRUE(body->empty() || body->ends_with("\n\n"));
    }
  }

  std::vector<upstream_action> m_responses;
  std::vector<std::string> m_received;
};

// Guards against a success with an empty or short body that is framed as whole.
TEST_P(truncated_response_test, is_whole_or_looks_broken_wherever_the_upstream_ends_it) {
  for (const std::string_view interim : {std::string_view(), k_interim}) {
    const std::string whole = std::string(interim) + response_bytes(upstream_body(), form().streamed, how());
    const std::size_t head_size = whole.find("\r\n\r\n", interim.size()) + 4;
    for (std::size_t size = 0; size < whole.size(); ++size) {
      auto responses = earlier_responses();
      const std::size_t attempts_before = responses.size();
      responses.push_back({whole.substr(0, size), ends()});
      SCOPED_TRACE(
          fmt::format("ends after {} of {} bytes, {} of them its head", size, whole.size(), head_size));
      const std::string received = receive(responses);
      const bool in_head = size < head_size;
      // The end of the connection is the end of such a body, so a shorter one cannot be told from a whole
      // one.
      if (how() == framing::until_close && ends() == after::close && !in_head) {
        expect_start_of_body(received, whole.substr(head_size, size - head_size));
      } else if (form().repeatable) {
        EXPECT_EQ(m_received.size(), attempts_before + 2);
        EXPECT_THAT(received, StartsWith("HTTP/1.1 200"));
        EXPECT_EQ(whole_body(received), expected_body());
      } else {
        expect_broken(received, in_head);
      }
    }
  }
}

TEST_P(truncated_response_test, is_served_if_nothing_breaks) {
  for (const std::string_view interim : {std::string_view(), k_interim}) {
    auto responses = earlier_responses();
    const std::size_t attempts_before = responses.size();
    // A reset would discard bytes that have not been read; the connection of a body without a length ends.
    responses.push_back({std::string(interim) + response_bytes(upstream_body(), form().streamed, how()),
                         how() == framing::until_close ? after::close : after::keep});
    const std::string received = receive(responses);
    EXPECT_THAT(received, StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(received, HasSubstr("X-Stamp: s\r\n"));
    EXPECT_THAT(received, Not(HasSubstr("103")));
    EXPECT_EQ(whole_body(received), expected_body());
    EXPECT_EQ(m_received.size(), attempts_before + 1);
  }
}

// The rest of a stream of which no upstream is left that could send it.
TEST_P(truncated_response_test, the_last_attempt_leaves_a_begun_stream_incomplete) {
  if (!form().resumed) {
    return;
  }
  const std::string whole = response_bytes(upstream_body(), true, how());
  const std::size_t head_size = whole.find("\r\n\r\n") + 4;
  for (std::size_t size = 0; size < head_size; ++size) {
    auto responses = earlier_responses();
    while (responses.size() < k_max_attempts) {
      responses.push_back({whole.substr(0, size), ends()});
    }
    const std::string received = receive(responses);
    EXPECT_THAT(received, StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(received, HasSubstr(event(2)));
    EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos);
    EXPECT_EQ(whole_body(received), std::nullopt) << size;
  }
}

INSTANTIATE_TEST_SUITE_P(each_byte, truncated_response_test,
                         ::testing::Combine(::testing::ValuesIn(k_calls), ::testing::ValuesIn(k_framings),
                                            ::testing::ValuesIn(k_endings)),
                         [](const auto& named) {
                           return fmt::format("{}_{}_{}", std::get<0>(named.param).name,
                                              std::get<1>(named.param).name, std::get<2>(named.param).name);
                         });

}  // namespace
}  // namespace cuminpath::proxy
