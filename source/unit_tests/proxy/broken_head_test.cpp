// Checks what callers receive if an upstream sends a head that is not valid HTTP, for each kind of call.

#include <gmock/gmock.h>

#include <fmt/format.h>

#include <tuple>

#include "proxy_fixture.h"
#include "response_text.h"
#include "unit_tests/support/broken_heads.h"

namespace cuminpath::proxy {
namespace {

using support::broken_head;
using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

struct call_form {
  std::string_view name;
  std::string_view path;
  bool repeatable;
  bool streamed;
  bool resumed;  // The broken response is the one that should continue a stream.
};
constexpr call_form k_calls[] = {{"safe", "/safe/x", true, false, false},
                                 {"once", "/once/x", false, false, false},
                                 {"resumable_stream", "/stream/x", true, true, false},
                                 {"stream", "/fragile/x", false, true, false},
                                 {"resumed_stream", "/stream/x", true, true, true}};

constexpr broken_head k_sound_head{.name = "sound"};

std::string event(int number) {
  return fmt::format("id: {0}\ndata: {0}\n\n", number);
}

std::string response_bytes(const broken_head& head, std::string_view body, bool streamed) {
  const std::string text =
      fmt::format("{}\r\nX-Id: a\r\nX-Stamp: s\r\n{}Content-Type: {}\r\n{}\r\n", head.status_line, head.lines,
                  streamed ? "text/event-stream" : "application/json",
                  head.states_framing ? "" : fmt::format("Content-Length: {}\r\n", body.size()));
  return text + (head.chunked_body ? chunk(body) + "0\r\n\r\n" : std::string(body));
}

using parameters = std::tuple<call_form, broken_head>;

class broken_head_test : public proxy_fixture, public ::testing::WithParamInterface<parameters> {
protected:
  broken_head_test() {
    for (const char* id : {"i-1", "i-2", "i-3"}) {
      add_upstream(id, [this](auto, const std::string&) {
        ++m_received;
        if (form().resumed && m_received == 1) {
          const std::string whole = response_bytes(k_sound_head, event(1) + event(2) + event(3), true);
          return upstream_action{whole.substr(0, whole.size() - event(3).size()),
                                 upstream_action::after::reset};
        }
        if (m_received > m_broken_responses + (form().resumed ? 1 : 0)) {
          return upstream_action{response_bytes(k_sound_head, upstream_body(), form().streamed)};
        }
        return upstream_action{
            response_bytes(head(), upstream_body(), form().streamed),
            head().states_framing ? upstream_action::after::close : upstream_action::after::keep};
      });
    }
    auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
    for (auto& route : configuration->routes) {
      route.max_attempts = 3;
    }
    configuration->build_index();
    m_state.configuration = std::move(configuration);
  }

  static const call_form& form() { return std::get<0>(GetParam()); }
  static const broken_head& head() { return std::get<1>(GetParam()); }
  static std::string upstream_body() {
    if (!form().streamed) {
      return R"({"whole":true})";
    }
    return form().resumed ? event(3) : event(1) + event(2) + event(3);
  }
  static std::string expected_body() {
    return form().streamed ? event(1) + event(2) + event(3) : R"({"whole":true})";
  }

  // Returns what the caller receives if that many upstreams in a row send the broken head.
  std::string receive(std::size_t broken_responses) {
    m_broken_responses = broken_responses;
    m_received = 0;
    return call(request("POST", form().path, "a", "Content-Length: 0\r\n"),
                [](const std::string& bytes) { return read_response(bytes).whole; })
        .bytes;
  }

  std::size_t m_broken_responses = 0;
  std::size_t m_received = 0;
};

// Guards against a response that the caller cannot take for what its upstream meant.
TEST_P(broken_head_test, is_no_response_to_the_caller) {
  const std::string received = receive(1);
  if (form().repeatable) {
    EXPECT_THAT(received, StartsWith("HTTP/1.1 200"));
    EXPECT_EQ(read_response(received).body, expected_body());
    EXPECT_TRUE(read_response(received).whole);
    EXPECT_EQ(m_received, form().resumed ? 3U : 2U);
  } else {
    EXPECT_THAT(received, StartsWith("HTTP/1.1 502"));
    EXPECT_THAT(received, HasSubstr(R"("execution":"unknown")"));
    EXPECT_THAT(received, Not(HasSubstr("X-Stamp")));
    EXPECT_EQ(m_received, 1U);
  }
  EXPECT_THAT(m_state.metrics.prometheus_text(),
              HasSubstr(fmt::format(R"(cuminpath_attempts_failed_total{{end="broken"}} {})",
                                    form().resumed ? 2 : 1)));
}

TEST_P(broken_head_test, of_all_upstreams_is_a_failure) {
  const std::string received = receive(3);
  if (form().resumed) {
    EXPECT_THAT(received, StartsWith("HTTP/1.1 200"));
    EXPECT_FALSE(read_response(received).whole);
  } else {
    EXPECT_THAT(received, StartsWith("HTTP/1.1 502"));
    EXPECT_THAT(received, Not(HasSubstr("X-Stamp")));
  }
}

std::string test_name(const ::testing::TestParamInfo<parameters>& named) {
  return fmt::format("{}_{}", std::get<0>(named.param).name, std::get<1>(named.param).name);
}

INSTANTIATE_TEST_SUITE_P(status_line, broken_head_test,
                         ::testing::Combine(::testing::ValuesIn(k_calls),
                                            ::testing::ValuesIn(support::k_broken_status_lines)),
                         test_name);
INSTANTIATE_TEST_SUITE_P(header_line, broken_head_test,
                         ::testing::Combine(::testing::ValuesIn(k_calls),
                                            ::testing::ValuesIn(support::k_broken_header_lines)),
                         test_name);
INSTANTIATE_TEST_SUITE_P(framing, broken_head_test,
                         ::testing::Combine(::testing::ValuesIn(k_calls),
                                            ::testing::ValuesIn(support::k_broken_framings)),
                         test_name);

}  // namespace
}  // namespace cuminpath::proxy
