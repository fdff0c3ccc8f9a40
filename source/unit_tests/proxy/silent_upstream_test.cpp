// Checks what a caller receives while an upstream that runs its request sends nothing for a while, and after
// an upstream was lost while all others are full.

#include <gmock/gmock.h>

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <list>

#include <fmt/format.h>

#include "proxy_fixture.h"
#include "response_text.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using after = upstream_action::after;

constexpr std::string_view k_stream_head =
    "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
// The fixture's routes give an upstream up after this time without an event.
constexpr milliseconds k_stall_time{500};
constexpr milliseconds k_pause{800};

std::string events(int first, int last) {
  std::string text;
  for (int number = first; number <= last; ++number) {
    text += chunk(fmt::format("id: {0}\ndata: text {0}\n\n", number));
  }
  return text;
}

std::string whole_body(int last) {
  std::string text;
  for (int number = 1; number <= last; ++number) {
    text += fmt::format("id: {0}\ndata: text {0}\n\n", number);
  }
  return text;
}

bool is_continuation(const std::string& request) {
  return request.find("Last-Event-Id: ") != std::string::npos;
}

class silent_upstream : public proxy_fixture {
protected:
  silent_upstream() {
    auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
    for (auto& route : configuration->routes) {
      route.target_latency = milliseconds{100};
    }
    configuration->build_index();
    m_state.configuration = std::move(configuration);
  }

  static upstream_action full() { return {response_text("a", "", "X-Not-Executed: 1\r\n", 503)}; }

  // Calls `action` after `time`.
  void after_time(milliseconds time, std::function<void()> action) {
    auto& timer = m_timers.emplace_back(m_context, time);
    timer.async_wait([action = std::move(action)](std::error_code cancelled) {
      if (!cancelled) {
        action();
      }
    });
  }

  // Adds two upstreams. The one that gets the request first runs `first`, the other one gets what follows.
  void add_pair(const std::function<upstream_action(scripted_upstream&)>& first,
                const scripted_upstream::script& other) {
    for (const char* id : {"i-1", "i-2"}) {
      const std::size_t index = m_upstreams.size();
      add_upstream(id, [this, index, first, other](std::size_t number, const std::string& received) {
        if (!m_first) {
          m_first = m_upstreams[index].get();
          return first(*m_first);
        }
        m_second = m_upstreams[index].get();
        return other(number, received);
      });
    }
  }

  caller_view send(std::string_view method, std::string_view path) {
    const auto response = call(request(method, path, "a", method == "GET" ? "" : "Content-Length: 0\r\n"),
                               [](const std::string& bytes) { return read_response(bytes).whole; });
    return read_response(response.bytes);
  }

  std::list<asio::steady_timer> m_timers;
  scripted_upstream* m_first = nullptr;
  scripted_upstream* m_second = nullptr;
};

// Guards against trials that are never sent, that are sent more than once, or whose output nobody hears of.
TEST_F(silent_upstream, gets_one_stream_as_a_trial_and_its_output_refutes_the_suspicion) {
  use_engine();
  for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
    const std::string end = m_upstreams.empty() ? "" : "0\r\n\r\n";  // The stream of i-1 goes on.
    add_upstream(id, [end](auto, const auto&) {
      return upstream_action{std::string(k_stream_head) + events(1, 2) + end};
    });
  }
  auto& silent = m_state.silent_upstreams;
  const std::vector<std::uint32_t> hashes{m_state.upstreams.find("i-1")->hash};
  const time_point now = clock::now();
  const auto update = [&](milliseconds later) {
    silent.update(now + later, "local", {});
    m_state.upstreams.set_silent(silent.silent());
  };
  silent.on_report("other", {.silent = hashes}, now);
  update(milliseconds{0});
  EXPECT_TRUE(m_state.upstreams.find("i-1")->silent);
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(send("POST", "/stream/x").whole);
  }
  EXPECT_TRUE(m_upstreams[0]->requests().empty());
  update(milliseconds{600});
  call(request("POST", "/stream/x", "a", "Content-Length: 0\r\n"),
       [](const std::string& bytes) { return bytes.find("text 2") != std::string::npos; });
  EXPECT_EQ(m_upstreams[0]->requests().size(), 1U);
  EXPECT_TRUE(silent.trials().empty());
  EXPECT_EQ(silent.report(now).progressing, hashes);
  update(milliseconds{650});
  EXPECT_FALSE(m_state.upstreams.find("i-1")->silent);
}

TEST_F(silent_upstream, a_begun_stream_is_not_cut_while_all_others_are_full) {
  add_pair(
      [this](scripted_upstream& self) {
        after_time(k_pause, [&self] { self.send_to_last(events(3, 4) + "0\r\n\r\n"); });
        return upstream_action{std::string(k_stream_head) + events(1, 2)};
      },
      [](auto, const auto&) { return full(); });
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
  ASSERT_NE(m_second, nullptr);
  EXPECT_THAT(m_second->requests().front(), HasSubstr("Last-Event-Id: 2\r\n"));
}

TEST_F(silent_upstream, a_stream_that_has_not_begun_waits_while_all_others_are_full) {
  add_pair(
      [this](scripted_upstream& self) {
        after_time(k_pause,
                   [&self] { self.send_to_last(std::string(k_stream_head) + events(1, 4) + "0\r\n\r\n"); });
        return upstream_action{};
      },
      [](auto, const auto&) { return full(); });
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
}

TEST_F(silent_upstream, a_repeatable_request_waits_while_all_others_are_full) {
  add_pair(
      [this](scripted_upstream& self) {
        after_time(k_pause, [&self] { self.send_to_last(response_text("a", "whole body")); });
        return upstream_action{};
      },
      [](auto, const auto&) { return full(); });
  const auto response = send("GET", "/safe/x");
  EXPECT_THAT(response.head, ::testing::StartsWith("HTTP/1.1 200"));
  EXPECT_EQ(response.body, "whole body");
}

TEST_F(silent_upstream, the_next_event_of_another_upstream_takes_the_stream_over) {
  add_pair([](scripted_upstream&) { return upstream_action{std::string(k_stream_head) + events(1, 2)}; },
           [](auto, const std::string& received) {
             EXPECT_TRUE(is_continuation(received));
             return upstream_action{std::string(k_stream_head) + events(3, 4) + "0\r\n\r\n"};
           });
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
  EXPECT_TRUE(run_until([this] { return m_first->resets() == 1; }));
}

TEST_F(silent_upstream, another_upstream_is_cancelled_once_the_first_goes_on) {
  add_pair(
      [this](scripted_upstream& self) {
        after_time(k_pause, [&self] { self.send_to_last(events(3, 3)); });
        after_time(k_pause + milliseconds{200}, [&self] { self.send_to_last(events(4, 4) + "0\r\n\r\n"); });
        return upstream_action{std::string(k_stream_head) + events(1, 2)};
      },
      [](auto, const auto&) { return upstream_action{std::string(k_stream_head)}; });
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
  ASSERT_NE(m_second, nullptr);
  EXPECT_TRUE(run_until([this] { return m_second->resets() == 1; }));
  EXPECT_EQ(m_state.upstreams.find("i-1")->local_requests + m_state.upstreams.find("i-2")->local_requests,
            0U);
}

TEST_F(silent_upstream, a_late_event_of_the_run_that_was_replaced_reaches_nobody) {
  add_pair(
      [this](scripted_upstream& self) {
        after_time(k_pause + milliseconds{100}, [&self] { self.send_to_last(events(3, 4) + "0\r\n\r\n"); });
        return upstream_action{std::string(k_stream_head) + events(1, 2)};
      },
      [this](auto, const auto&) {
        after_time(k_pause - k_stall_time + milliseconds{200},
                   [this] { m_second->send_to_last(events(4, 4) + "0\r\n\r\n"); });
        return upstream_action{std::string(k_stream_head) + events(3, 3)};
      });
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
}

TEST_F(silent_upstream, a_run_that_breaks_while_another_has_begun_leaves_the_stream_to_it) {
  add_pair(
      [this](scripted_upstream& self) {
        after_time(k_pause, [&self] { self.send_to_last("no chunk\r\n"); });
        return upstream_action{std::string(k_stream_head) + events(1, 2)};
      },
      [this](auto, const auto&) {
        after_time(k_pause, [this] { m_second->send_to_last(events(3, 4) + "0\r\n\r\n"); });
        return upstream_action{std::string(k_stream_head)};
      });
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
}

TEST_F(silent_upstream, comments_of_another_upstream_are_held_until_it_takes_over) {
  add_pair(
      [this](scripted_upstream& self) {
        after_time(k_pause, [&self] { self.send_to_last(events(3, 4) + "0\r\n\r\n"); });
        return upstream_action{std::string(k_stream_head) + events(1, 2)};
      },
      [](auto, const auto&) { return upstream_action{std::string(k_stream_head) + chunk(": wait\n\n")}; });
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
}

TEST_F(silent_upstream, a_request_runs_at_no_more_upstreams_than_its_route_allows) {
  for (const char* id : {"i-1", "i-2", "i-3"}) {
    add_upstream(id, [](auto, const std::string& received) {
      return upstream_action{std::string(k_stream_head) + (is_continuation(received) ? "" : events(1, 2))};
    });
  }
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(2));
  EXPECT_FALSE(response.whole);
  EXPECT_EQ(m_upstreams[0]->requests().size() + m_upstreams[1]->requests().size() +
                m_upstreams[2]->requests().size(),
            2U);
}

TEST_F(silent_upstream, a_lost_stream_waits_for_a_place_at_a_full_upstream) {
  add_pair(
      [](scripted_upstream&) {
        return upstream_action{std::string(k_stream_head) + events(1, 2), after::close};
      },
      [](std::size_t number, const auto&) {
        return number < 3 ? full() : upstream_action{std::string(k_stream_head) + events(3, 4) + "0\r\n\r\n"};
      });
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
}

TEST_F(silent_upstream, a_lost_stream_waits_for_the_retry_budget) {
  add_pair(
      [](scripted_upstream&) {
        return upstream_action{std::string(k_stream_head) + events(1, 2), after::close};
      },
      [](std::size_t, const auto&) {
        return upstream_action{std::string(k_stream_head) + events(3, 4) + "0\r\n\r\n"};
      });
  while (m_state.budget("s").try_take()) {
  }
  after_time(milliseconds{300}, [this] {
    for (int i = 0; i < 20; ++i) {
      m_state.budget("s").on_first_attempt();
    }
  });
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
}

TEST_F(silent_upstream, a_lost_stream_that_waits_is_cut_at_its_deadline) {
  add_pair(
      [](scripted_upstream&) {
        return upstream_action{std::string(k_stream_head) + events(1, 2), after::close};
      },
      [](std::size_t, const auto&) { return full(); });
  const time_point start = clock::now();
  const auto response = send("POST", "/stream/x");
  EXPECT_EQ(response.body, whole_body(2));
  EXPECT_FALSE(response.whole);
  EXPECT_GE(clock::now() - start, milliseconds{1400});
  // Full upstreams are not asked again and again.
  EXPECT_LE(m_second->requests().size(), 8U);
}

// A call whose response is collected while the test goes on.
class pending_call {
public:
  pending_call(asio::io_context& context, const std::string& address, std::string bytes)
      : m_socket(context), m_request(std::move(bytes)) {
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    m_socket.connect({asio::ip::address_v4::loopback(), port});
    asio::write(m_socket, asio::buffer(m_request));
    read();
  }
  ~pending_call() {
    std::error_code ignored;
    m_socket.close(ignored);
  }
  pending_call(const pending_call&) = delete;
  pending_call& operator=(const pending_call&) = delete;

  [[nodiscard]] caller_view response() const { return read_response(m_received); }
  [[nodiscard]] bool ended() const { return m_ended; }

private:
  void read() {
    m_socket.async_read_some(asio::buffer(m_buffer), [this](std::error_code error, std::size_t size) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      m_received.append(m_buffer.data(), size);
      m_ended = static_cast<bool>(error);
      if (!error) {
        read();
      }
    });
  }

  asio::ip::tcp::socket m_socket;
  std::string m_request;
  std::array<char, 4096> m_buffer{};
  std::string m_received;
  bool m_ended = false;
};

TEST_F(silent_upstream, a_stream_that_waits_for_a_place_goes_before_new_requests) {
  use_engine();
  add_upstream("i-1", [](auto, const auto&) {
    return upstream_action{std::string(k_stream_head) + events(1, 2), after::crash};
  });
  add_upstream("i-2", [](auto, const std::string& received) {
    EXPECT_TRUE(is_continuation(received));
    return upstream_action{std::string(k_stream_head) + events(3, 4) + "0\r\n\r\n"};
  });
  const auto load_second = [this](std::uint32_t requests) {
    const gateway::upstream_load load{.upstream_hash = m_state.upstreams.find("i-2")->hash,
                                      .outstanding = requests};
    m_state.upstreams.set_member_loads("other", {&load, 1});
  };
  load_second(4);
  pending_call stream(m_context, m_listener.address(),
                      request("POST", "/stream/x", "a", "Content-Length: 0\r\n"));
  ASSERT_TRUE(
      run_until([&] { return stream.response().body == whole_body(2) && m_state.waiting("s") == 1; }));
  m_records.erase(m_records.begin());
  m_state.upstreams.apply(m_records, clock::now(), false);
  load_second(3);
  const pending_call late(m_context, m_listener.address(),
                          request("POST", "/stream/x", "a", "Content-Length: 0\r\n"));
  ASSERT_TRUE(run_until([&] { return late.response().whole; }));
  EXPECT_THAT(late.response().head, ::testing::StartsWith("HTTP/1.1 503"));
  ASSERT_TRUE(run_until([&] { return stream.response().whole; }));
  EXPECT_EQ(stream.response().body, whole_body(4));
  EXPECT_EQ(m_state.waiting("s"), 0U);
}

TEST_F(silent_upstream, a_lost_stream_whose_caller_leaves_waits_no_longer) {
  add_pair(
      [](scripted_upstream&) {
        return upstream_action{std::string(k_stream_head) + events(1, 2), after::close};
      },
      [](std::size_t, const auto&) { return full(); });
  {
    pending_call stream(m_context, m_listener.address(),
                        request("POST", "/stream/x", "a", "Content-Length: 0\r\n"));
    ASSERT_TRUE(run_until([&] { return m_state.waiting("s") == 1; }));
  }
  EXPECT_TRUE(
      run_until([this] { return m_state.waiting("s") == 0 && m_listener.active_request_count() == 0; }));
}

}  // namespace
}  // namespace cuminpath::proxy
