// Checks what callers and upstreams receive if an upstream repeats a refusal where no response or another one
// is expected.

#include <gmock/gmock.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <tuple>

#include "proxy_fixture.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

// The requests of a test have the ids "earlier" and "present".
struct id_form {
  std::string_view name;
  std::string_view headers;
};
constexpr std::string_view k_present_id = "X-Id: present\r\n";
constexpr std::array k_id_forms{id_form{"no_id", ""},
                                id_form{"empty_id", "X-Id: \r\n"},
                                id_form{"earlier_id", "X-Id: earlier\r\n"},
                                id_form{"present_id", k_present_id},
                                id_form{"present_id_in_other_case", "X-Id: Present\r\n"},
                                id_form{"earlier_and_present_id", "X-Id: earlier\r\nx-id: present\r\n"},
                                id_form{"present_and_earlier_id", "X-Id: present\r\nx-id: earlier\r\n"}};

// When the upstream sends the repeated refusal.
enum class moment : std::uint8_t {
  with_earlier_response,  // In the same read as the end of that response.
  idle,                   // While the connection is idle.
  during_request,         // Before the present request has been written as a whole.
  before_response,        // After the present request has arrived, and some time before its response.
  with_response,          // In the same read as the response to the present request.
};
struct moment_name {
  std::string_view name;
  moment value;
};
constexpr std::array k_moments{moment_name{"with_earlier_response", moment::with_earlier_response},
                               moment_name{"idle", moment::idle},
                               moment_name{"during_request", moment::during_request},
                               moment_name{"before_response", moment::before_response},
                               moment_name{"with_response", moment::with_response}};

struct request_kind {
  std::string_view name;
  std::string_view path;
  bool repeatable;
  bool streamed;
};
constexpr std::array k_kinds{request_kind{"safe", "/safe/x", true, false},
                             request_kind{"once", "/once/x", false, false},
                             request_kind{"resumable_stream", "/stream/x", true, true},
                             request_kind{"stream", "/fragile/x", false, true}};

constexpr std::string_view k_until_close = "\r\nrefused";
constexpr std::array<std::string_view, 4> k_bodies{
    "Content-Length: 0\r\n\r\n", "Content-Length: 7\r\n\r\nrefused",
    "Transfer-Encoding: chunked\r\n\r\n7\r\nrefused\r\n0\r\n\r\n", k_until_close};

constexpr int k_misdirected_request = 421;
constexpr std::array k_statuses{400, 408, k_misdirected_request, 429, 503};
// Statuses by which a gateway promises that a request has not run and will not run.
constexpr std::array k_promises{408, k_misdirected_request, 429, 503};

constexpr milliseconds k_time_before_response{2};
// Larger than what the socket buffers between the gateway and an upstream hold at first.
constexpr std::size_t k_large_body_bytes = 256U << 10U;

struct repeated_refusal {
  int status;
  bool not_executed;
  std::string_view body;
};

using parameters = std::tuple<moment_name, request_kind, id_form>;

class late_response_test : public proxy_fixture, public ::testing::WithParamInterface<parameters> {
protected:
  [[nodiscard]] static moment when() { return std::get<0>(GetParam()).value; }
  [[nodiscard]] static const request_kind& kind() { return std::get<1>(GetParam()); }
  [[nodiscard]] static const id_form& id() { return std::get<2>(GetParam()); }
  // Whether the present request has been sent when the refusal is repeated.
  [[nodiscard]] static bool request_sent() {
    return when() != moment::with_earlier_response && when() != moment::idle;
  }
  // Whether the refusal is the response of the upstream to the present request.
  [[nodiscard]] static bool answers_request() { return request_sent() && id().headers == k_present_id; }

  static std::string to_text(const repeated_refusal& refusal) {
    return fmt::format("HTTP/1.1 {} X\r\n{}X-Stamp: s\r\n{}{}", refusal.status, id().headers,
                       refusal.not_executed ? "X-Not-Executed: 1\r\n" : "", refusal.body);
  }

  // Sends the present request, and calls `check` with what the caller receives.
  void for_each_refusal(const std::function<void(const repeated_refusal&, const std::string&)>& check) {
    for (const int status : k_statuses) {
      for (const bool not_executed : {false, true}) {
        for (const std::string_view body : k_bodies) {
          const repeated_refusal refusal{status, not_executed, body};
          const std::string response = run(refusal);
          SCOPED_TRACE("refusal: " + to_text(refusal) + "\nreceived: " + response);
          const bool reuses_connection = kind().repeatable && request_sent();
          EXPECT_EQ(m_first->accepted(), reuses_connection ? 1U : 2U);
          check(refusal, response);
        }
      }
    }
  }

  [[nodiscard]] static bool is_served(const std::string& response) {
    return response.starts_with("HTTP/1.1 200") && response.find(k_present_id) != std::string::npos &&
           response.find("own") != std::string::npos;
  }
  [[nodiscard]] static bool promises_no_execution(const std::string& response) {
    return std::any_of(k_promises.begin(), k_promises.end(),
                       [&](int status) { return response.starts_with(fmt::format("HTTP/1.1 {} ", status)); });
  }

  // Number of upstreams that have received the present request as a whole.
  std::size_t m_arrivals = 0;

private:
  std::string run(const repeated_refusal& refusal);
  upstream_action respond(const std::string& received, const repeated_refusal& refusal);
  static std::string own_response() {
    return kind().streamed
               ? response_text("present", "id: 1\ndata: own\n\n", "Content-Type: text/event-stream\r\n")
               : response_text("present", "own");
  }

  scripted_upstream* m_first = nullptr;
  asio::steady_timer m_response_timer{m_context};
  std::size_t m_runs = 0;
};

std::string late_response_test::run(const repeated_refusal& refusal) {
  m_records.clear();
  m_state.upstreams = {};
  m_state.retry_budgets.clear();
  m_arrivals = 0;
  ++m_runs;
  m_first = &add_upstream(
      fmt::format("first-{}", m_runs),
      [this, refusal](auto, const std::string& received) { return respond(received, refusal); });
  EXPECT_TRUE(call(request("GET", "/safe/x", "earlier"), is_complete).bytes.ends_with("before"));
  if (when() == moment::idle) {
    m_first->send_to_last(to_text(refusal));
    EXPECT_TRUE(run_until([this] { return m_first->closed() == 1; }));
  }
  if (when() == moment::during_request) {
    m_first->act_during_next({to_text(refusal), refusal.body == k_until_close
                                                    ? upstream_action::after::close
                                                    : upstream_action::after::keep});
  }
  const std::string body(when() == moment::during_request ? k_large_body_bytes : 1, 'x');
  return call(request("POST", kind().path, "present", fmt::format("Content-Length: {}\r\n", body.size())) +
                  body,
              is_complete)
      .bytes;
}

upstream_action late_response_test::respond(const std::string& received, const repeated_refusal& refusal) {
  const std::string repeated = to_text(refusal);
  const auto then =
      refusal.body == k_until_close ? upstream_action::after::close : upstream_action::after::keep;
  if (received.find("X-Id: earlier\r\n") != std::string::npos) {
    const std::string response = response_text("earlier", "before");
    return when() == moment::with_earlier_response ? upstream_action{response + repeated, then}
                                                   : upstream_action{response};
  }
  ++m_arrivals;
  add_upstream(fmt::format("second-{}", m_runs), [this](auto, const auto&) {
    ++m_arrivals;
    return upstream_action{own_response()};
  });
  if (when() == moment::before_response) {
    m_response_timer.expires_after(k_time_before_response);
    m_response_timer.async_wait([first = m_first](std::error_code cancelled) {
      if (!cancelled) {
        first->send_to_last(own_response());
      }
    });
    return {repeated, then};
  }
  return when() == moment::with_response ? upstream_action{repeated + own_response(), then}
                                         : upstream_action{own_response()};
}

TEST_P(late_response_test, a_repeated_refusal_is_no_answer_to_a_running_request) {
  if (answers_request()) {
    for_each_refusal([&](const repeated_refusal& refusal, const std::string& response) {
      if (refusal.not_executed || refusal.status == k_misdirected_request) {
        EXPECT_TRUE(is_served(response) || m_arrivals == 0U) << m_arrivals;
      } else if (!kind().repeatable) {
        EXPECT_FALSE(promises_no_execution(response));
        EXPECT_LE(m_arrivals, 1U);
      }
    });
    return;
  }
  for_each_refusal([&](const repeated_refusal& refusal, const std::string& response) {
    EXPECT_FALSE(promises_no_execution(response));
    EXPECT_THAT(response, Not(HasSubstr("refused")));
    EXPECT_TRUE(kind().repeatable || m_arrivals <= 1U) << m_arrivals;
    // A response without an id ends the attempt, and so does the end of the connection.
    if (!request_sent() || (!id().headers.empty() && refusal.body != k_until_close)) {
      EXPECT_TRUE(is_served(response));
      EXPECT_EQ(m_arrivals, 1U);
    }
  });
}

TEST_F(proxy_fixture, a_refusal_without_an_id_does_not_keep_requests_from_its_upstream) {
  for (const std::string_view refusal : {"HTTP/1.1 421 X\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 503 X\r\nX-Stamp: s\r\nX-Not-Executed: 1\r\nRetry-After: "
                                         "30\r\nContent-Length: 0\r\n\r\n"}) {
    m_records.clear();
    m_state.upstreams = {};
    add_upstream(std::string(refusal.substr(9, 3)), [refusal](std::size_t number, const auto&) {
      return upstream_action{number == 1 ? std::string(refusal) : response_text("b", "own")};
    });
    EXPECT_TRUE(call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete)
                    .bytes.starts_with("HTTP/1.1 502"));
    EXPECT_TRUE(call(request("GET", "/safe/x", "b"), is_complete).bytes.ends_with("own")) << refusal;
  }
}

// Under load a request can be sent before the bytes that arrived earlier have been read.
TEST_F(proxy_fixture, a_connection_with_unread_bytes_is_not_reused) {
  auto& upstream = add_upstream(
      "i-1", [](auto, const auto&) { return upstream_action{response_text("earlier", "before")}; });
  for (const bool repeated : {false, true}) {
    call(request("GET", "/safe/x", "earlier"), is_complete);
    ASSERT_EQ(m_state.upstream_connections.idle_count(), 1U);
    if (repeated) {
      upstream.send_to_last(response_text("earlier", "before"));
    }
    const auto connection = m_state.upstream_connections.acquire("i-1", clock::now());
    EXPECT_EQ(connection == nullptr, repeated);
    if (connection) {
      m_state.upstream_connections.release(connection, clock::now());
    }
  }
}

TEST_F(proxy_fixture, a_success_with_the_header_of_a_refusal_is_neither) {
  for (const request_kind& kind : k_kinds) {
    m_records.clear();
    m_state.upstreams = {};
    std::size_t arrivals = 0;
    const auto respond = [&arrivals](auto, const auto&) {
      ++arrivals;
      return upstream_action{response_text("a", "id: 1\ndata: own\n\n", "X-Not-Executed: 1\r\n")};
    };
    add_upstream(fmt::format("first-{}", kind.name), respond);
    add_upstream(fmt::format("second-{}", kind.name), respond);
    const auto response = call(request("POST", kind.path, "a", "Content-Length: 0\r\n"), is_complete).bytes;
    EXPECT_TRUE(response.starts_with("HTTP/1.1 502")) << response;
    EXPECT_EQ(response.find("data: own"), std::string::npos) << response;
    EXPECT_EQ(arrivals, kind.repeatable ? 2U : 1U) << kind.name;
  }
}

std::string parameter_name(const ::testing::TestParamInfo<parameters>& info) {
  const auto& [when, kind, id] = info.param;
  return fmt::format("{}_{}_{}", when.name, kind.name, id.name);
}

INSTANTIATE_TEST_SUITE_P(each_moment, late_response_test,
                         ::testing::Combine(::testing::ValuesIn(k_moments), ::testing::ValuesIn(k_kinds),
                                            ::testing::ValuesIn(k_id_forms)),
                         parameter_name);

}  // namespace
}  // namespace cuminpath::proxy
