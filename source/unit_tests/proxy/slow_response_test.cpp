// Checks second attempts beside a slow one: when the operator allows them, who gets the caller, and what is
// left of the other attempt.

#include <gmock/gmock.h>

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <list>

#include <fmt/format.h>

#include "proxy_fixture.h"
#include "response_text.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;

constexpr std::string_view k_stream_head =
    "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
// Second attempts are begun after about 42 ms here, since the usual times are at most 40 ms.
constexpr milliseconds k_slow{250};
// Without the setting, another upstream is asked after 500 ms.
constexpr milliseconds k_before_stall{400};

std::string event_text(int number) {
  return fmt::format("id: {0}\ndata: text {0}\n\n", number);
}

std::string whole_stream() {
  return std::string(k_stream_head) + chunk(event_text(1)) + chunk(event_text(2)) + "0\r\n\r\n";
}

class slow_response : public proxy_fixture {
protected:
  slow_response() {
    auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
    for (auto& route : configuration->routes) {
      route.target_latency = k_before_stall;
      route.max_event_gap = milliseconds{100};
    }
    configuration->build_index();
    m_state.configuration = std::move(configuration);
  }

  void allow_second_attempts() {
    m_state.set_second_attempt_shares({.requests = 0.5, .tokens = 0.5});
    const time_point now = clock::now();
    auto& policy = m_state.second_attempts["s"];
    for (int i = 0; i < 500; ++i) {
      policy.on_request(0, now);
      for (const auto what :
           {gateway::awaited::response, gateway::awaited::first_event, gateway::awaited::next_event}) {
        policy.on_answer(what, "i-9", now - milliseconds(20 + i % 21), now);
      }
    }
  }

  void after_time(milliseconds time, std::function<void()> action) {
    auto& timer = m_timers.emplace_back(m_context, time);
    timer.async_wait([action = std::move(action)](std::error_code cancelled) {
      if (!cancelled) {
        action();
      }
    });
  }

  // Adds two upstreams. The one that gets the request first sends `slow` after k_slow, the other one `fast`
  // at once.
  void add_pair(const std::string& slow, const std::string& fast) {
    for (const char* id : {"i-1", "i-2"}) {
      const std::size_t index = m_upstreams.size();
      add_upstream(id, [this, index, slow, fast](auto, const auto&) {
        if (m_first == nullptr) {
          m_first = m_upstreams[index].get();
          after_time(k_slow, [this, slow] { m_first->send_to_last(slow); });
          return upstream_action{};
        }
        m_second = m_upstreams[index].get();
        return upstream_action{fast};
      });
    }
  }

  caller_view send(std::string_view method, std::string_view path) {
    const auto response = call(request(method, path, "a", method == "GET" ? "" : "Content-Length: 0\r\n"),
                               [](const std::string& bytes) { return read_response(bytes).whole; });
    return read_response(response.bytes);
  }

  [[nodiscard]] std::string metrics() const { return m_state.metrics.prometheus_text(); }

  std::list<asio::steady_timer> m_timers;
  scripted_upstream* m_first = nullptr;
  scripted_upstream* m_second = nullptr;
};

TEST_F(slow_response, a_second_attempt_that_answers_first_gets_the_caller) {
  allow_second_attempts();
  add_pair(whole_stream(), whole_stream());
  const std::uint32_t retries = m_state.budget("s").retries_left();
  const time_point start = clock::now();
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, event_text(1) + event_text(2));
  EXPECT_LT(clock::now() - start, k_slow);
  EXPECT_EQ(m_state.budget("s").retries_left(), retries - 1);
  EXPECT_THAT(metrics(), HasSubstr("cuminpath_second_attempts_total{event=\"begun\"} 1"));
  EXPECT_THAT(metrics(), HasSubstr("cuminpath_second_attempts_total{event=\"won\"} 1"));
  EXPECT_TRUE(run_until([this] { return m_first->resets() == 1; }));
  // Otherwise the slow upstream would look like the one with the least load.
  const double failures = m_state.upstreams.find("i-1")->health.recent_failures(clock::now()) +
                          m_state.upstreams.find("i-2")->health.recent_failures(clock::now());
  EXPECT_GT(failures, 0.5);
}

TEST_F(slow_response, a_first_attempt_that_answers_ends_the_second) {
  allow_second_attempts();
  add_pair(whole_stream(), std::string(k_stream_head));
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, event_text(1) + event_text(2));
  ASSERT_NE(m_second, nullptr);
  EXPECT_TRUE(run_until([this] { return m_second->resets() == 1; }));
  EXPECT_THAT(metrics(), HasSubstr("cuminpath_second_attempts_total{event=\"lost\"} 1"));
  EXPECT_EQ(m_state.upstreams.find("i-1")->local_requests + m_state.upstreams.find("i-2")->local_requests,
            0U);
}

TEST_F(slow_response, a_second_attempt_that_is_refused_changes_nothing_for_the_first) {
  allow_second_attempts();
  add_pair(whole_stream(), response_text("a", "", "X-Not-Executed: 1\r\n", 503));
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, event_text(1) + event_text(2));
  ASSERT_NE(m_second, nullptr);
  EXPECT_EQ(m_second->requests().size(), 1U);
}

TEST_F(slow_response, a_whole_response_of_a_second_attempt_is_forwarded) {
  allow_second_attempts();
  add_pair(response_text("a", "slow"), response_text("a", "fast"));
  EXPECT_EQ(send("GET", "/safe/x").body, "fast");
}

TEST_F(slow_response, the_rest_of_a_stream_is_asked_for_only_if_it_can_be_on_time) {
  allow_second_attempts();
  for (const char* id : {"i-1", "i-2"}) {
    add_upstream(id, [](auto, const std::string& received) {
      return received.find("Last-Event-Id: 1\r\n") == std::string::npos
                 ? upstream_action{std::string(k_stream_head) + chunk(event_text(1))}
                 : upstream_action{std::string(k_stream_head) + chunk(event_text(2)) + "0\r\n\r\n"};
    });
  }
  const time_point start = clock::now();
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, event_text(1) + event_text(2));
  EXPECT_LT(clock::now() - start, k_before_stall);
}

TEST_F(slow_response, no_second_attempt_is_begun_where_one_is_not_allowed) {
  struct {
    const char* name;
    std::string_view method;
    std::string_view path;
    std::function<void()> prepare;
  } const cases[] = {
      {"by default", "POST", "/stream/x", [] {}},
      {"may run only once", "POST", "/once/x", [this] { allow_second_attempts(); }},
      {"stream without event ids", "POST", "/fragile/x", [this] { allow_second_attempts(); }},
      {"engine without a share of tokens", "POST", "/stream/x",
       [this] {
         use_engine();
         allow_second_attempts();
         m_state.set_second_attempt_shares({.requests = 0.5});
       }},
      {"slots are scarce", "POST", "/stream/x",
       [this] {
         allow_second_attempts();
         for (const char* id : {"i-1", "i-2"}) {
           const gateway::upstream_load load{.upstream_hash = m_state.upstreams.find(id)->hash,
                                             .outstanding = 2};
           m_state.upstreams.set_member_loads(id, {&load, 1});
         }
       }},
      {"no retry left", "POST", "/stream/x",
       [this] {
         allow_second_attempts();
         while (m_state.budget("s").try_take()) {
         }
       }},
  };
  for (const auto& each : cases) {
    m_first = m_second = nullptr;
    m_upstreams.clear();
    m_state.upstream_connections = {};
    m_records.clear();
    m_state.second_attempts.clear();
    m_state.set_second_attempt_shares({});
    const bool whole = each.path == "/once/x";
    add_pair(whole ? response_text("a", "slow") : whole_stream(), whole_stream());
    each.prepare();
    const auto response = send(each.method, each.path);
    EXPECT_EQ(response.body, whole ? "slow" : event_text(1) + event_text(2)) << each.name;
    EXPECT_EQ(m_second, nullptr) << each.name;
    m_state.upstreams.set_member_loads("i-1", {});
    m_state.upstreams.set_member_loads("i-2", {});
  }
}

TEST_F(slow_response, nothing_is_sent_after_the_caller_has_left) {
  allow_second_attempts();
  add_pair(whole_stream(), whole_stream());
  {
    asio::ip::tcp::socket caller(m_context);
    const std::string address = m_listener.address();
    caller.connect({asio::ip::address_v4::loopback(),
                    static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)))});
    asio::write(caller, asio::buffer(request("POST", "/stream/x", "a", "Content-Length: 0\r\n")));
    ASSERT_TRUE(run_until([this] { return m_first != nullptr; }));
  }
  const time_point end = clock::now() + k_slow;
  run_until([end] { return clock::now() >= end; });
  EXPECT_EQ(m_second, nullptr);
}

}  // namespace
}  // namespace cuminpath::proxy
