// Checks when a request that runs at a silent upstream is sent to another one, too, and what this costs
// others.

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

using after = upstream_action::after;

constexpr std::string_view k_stream_head =
    "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
// Another upstream gets the requests of the fixture's routes after this time without an event.
constexpr milliseconds k_stall_time{500};

std::string event_text(int number) {
  return fmt::format("id: {0}\ndata: text {0}\n\n", number);
}

std::string events(int first, int last) {
  std::string text;
  for (int number = first; number <= last; ++number) {
    text += chunk(event_text(number));
  }
  return text;
}

std::string whole_body(int last) {
  std::string text;
  for (int number = 1; number <= last; ++number) {
    text += event_text(number);
  }
  return text;
}

class second_attempt : public proxy_fixture {
protected:
  second_attempt() {
    auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
    for (auto& route : configuration->routes) {
      route.target_latency = milliseconds{100};
    }
    configuration->build_index();
    m_state.configuration = std::move(configuration);
  }

  static upstream_action full() { return {response_text("a", "", "X-Not-Executed: 1\r\n", 503)}; }
  static upstream_action stream(int first, int last) {
    return {std::string(k_stream_head) + events(first, last)};
  }
  static upstream_action rest(int first, int last) {
    return {std::string(k_stream_head) + events(first, last) + "0\r\n\r\n"};
  }

  // Calls `action` after `time`.
  void after_time(milliseconds time, std::function<void()> action) {
    auto& timer = m_timers.emplace_back(m_context, time);
    timer.async_wait([action = std::move(action)](std::error_code cancelled) {
      if (!cancelled) {
        action();
      }
    });
  }

  void run_for(milliseconds time) {
    const time_point end = clock::now() + time;
    run_until([end] { return clock::now() >= end; });
  }

  // Adds an upstream to the service "s" that is not scripted.
  void add_address(std::string id, std::string address) {
    m_records.push_back({.id = std::move(id),
                         .service = "s",
                         .address = std::move(address),
                         .availability_zone = "z",
                         .slots = 4});
    m_state.upstreams.apply(m_records, clock::now(), false);
  }

  // Sets the requests that another gateway has at an upstream.
  void set_load(const std::string& id, std::uint32_t requests) {
    const gateway::upstream_load load{.upstream_hash = m_state.upstreams.find(id)->hash,
                                      .outstanding = requests};
    m_state.upstreams.set_member_loads("at " + id, {&load, 1});
  }

  [[nodiscard]] std::uint32_t requests_at(const std::string& id) const {
    return m_state.upstreams.find(id)->local_requests;
  }

  caller_view send(std::string_view path, std::string_view headers = "Content-Length: 0\r\n") {
    const auto response = call(request("POST", path, "a", headers),
                               [](const std::string& bytes) { return read_response(bytes).whole; });
    return read_response(response.bytes);
  }

  std::list<asio::steady_timer> m_timers;
};

TEST_F(second_attempt, a_prompt_part_that_was_quarantined_meanwhile_reaches_no_other_upstream) {
  use_engine();
  for (const char* id : {"i-1", "i-2"}) {
    add_upstream(id, [](auto, const auto&) { return upstream_action{}; });
  }
  after_time(milliseconds{100}, [this] {
    const std::array parts{routing::hash_prompt_part("m", "p")};
    const time_point now = clock::now();
    m_state.prompt_quarantine.on_crash(1, parts, now - milliseconds{400});
    m_state.prompt_quarantine.on_crash(2, parts, now - milliseconds{350});
    ASSERT_TRUE(m_state.prompt_quarantine.admit(parts, now).has_value());
  });
  send("/stream/x", "X-Model: m\r\nX-Prompt-Parts: p:10,own:5\r\nContent-Length: 0\r\n");
  EXPECT_EQ(m_upstreams[0]->requests().size() + m_upstreams[1]->requests().size(), 1U);
}

// Accepts no connection: its queue is full.
class unreachable_upstream {
public:
  explicit unreachable_upstream(asio::io_context& context)
      : m_acceptor(context), m_first(context), m_second(context) {
    m_acceptor.open(asio::ip::tcp::v4());
    m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen(0);
    for (auto* socket : {&m_first, &m_second}) {
      socket->async_connect(m_acceptor.local_endpoint(), [](std::error_code /*error*/) {});
    }
  }
  [[nodiscard]] std::string address() const {
    return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
  }

private:
  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::socket m_first;
  asio::ip::tcp::socket m_second;
};

TEST_F(second_attempt, no_third_upstream_is_asked_while_the_second_is_being_connected) {
  add_upstream("i-1", [this](auto, const auto&) {
    after_time(k_stall_time + milliseconds{100}, [this] { m_upstreams[0]->send_to_last("no chunk\r\n"); });
    return stream(1, 2);
  });
  const unreachable_upstream unreachable(m_context);
  add_address("i-2", unreachable.address());
  std::uint32_t at_second = 0;
  add_upstream("i-3", [&](auto, const auto&) {
    at_second = requests_at("i-2");
    return rest(3, 4);
  });
  set_load("i-2", 1);
  set_load("i-3", 2);
  const auto response = send("/stream/x");
  EXPECT_EQ(at_second, 0U);
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
}

TEST_F(second_attempt, a_run_that_falls_silent_again_is_doubled_if_the_first_double_was_not_sent) {
  add_upstream("i-1", [this](auto, const auto&) {
    after_time(k_stall_time + milliseconds{100}, [this] { m_upstreams[0]->send_to_last(events(3, 3)); });
    return stream(1, 2);
  });
  const unreachable_upstream unreachable(m_context);
  add_address("i-2", unreachable.address());
  add_upstream("i-3", [](auto, const auto&) { return rest(4, 4); });
  set_load("i-2", 1);
  set_load("i-3", 2);
  const auto response = send("/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
}

TEST_F(second_attempt, an_upstream_whose_caller_reads_slowly_is_not_silent) {
  const endless_upstream endless(m_context, std::string(k_stream_head),
                                 chunk("id: 1\ndata: " + std::string(8192, 'x') + "\n\n"));
  add_address("i-1", endless.address());
  add_upstream("i-2", [](auto, const auto&) { return upstream_action{}; });
  set_load("i-2", 1);
  asio::ip::tcp::socket caller(m_context);
  const std::string address = m_listener.address();
  caller.connect({asio::ip::address_v4::loopback(),
                  static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)))});
  asio::write(caller, asio::buffer(request("POST", "/stream/x", "a", "Content-Length: 0\r\n")));
  run_for(2 * k_stall_time + milliseconds{200});
  EXPECT_GT(endless.sent(), 0U);
  EXPECT_EQ(m_upstreams[0]->requests().size(), 0U);
  EXPECT_EQ(m_state.upstreams.find("i-1")->health.recent_failures(clock::now()), 0);
}

TEST_F(second_attempt, an_upstream_that_was_full_is_asked_again_while_the_first_is_silent) {
  add_upstream("i-1", [](auto, const auto&) { return stream(1, 2); });
  add_upstream("i-2", [](std::size_t number, const auto&) { return number < 2 ? full() : rest(3, 4); });
  set_load("i-2", 1);
  const auto response = send("/stream/x");
  EXPECT_EQ(response.body, whole_body(4));
  EXPECT_TRUE(response.whole);
}

TEST_F(second_attempt, a_lost_stream_without_a_retry_left_keeps_no_places_free) {
  use_engine();
  add_upstream("i-1", [](auto, const auto&) {
    auto action = stream(1, 2);
    action.then = after::close;
    return action;
  });
  add_upstream("i-2", [](auto, const auto&) { return upstream_action{response_text("b", "served")}; });
  set_load("i-2", 3);
  while (m_state.budget("s").try_take()) {
  }
  asio::ip::tcp::socket caller(m_context);
  const std::string address = m_listener.address();
  caller.connect({asio::ip::address_v4::loopback(),
                  static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)))});
  asio::write(caller, asio::buffer(request("POST", "/stream/x", "a", "Content-Length: 0\r\n")));
  ASSERT_TRUE(run_until([this] { return m_state.waiting("s") == 1; }));
  set_load("i-1", 4);
  const auto response = call(request("GET", "/safe/x", "b"), is_complete);
  EXPECT_THAT(response.bytes, ::testing::StartsWith("HTTP/1.1 200"));
}

}  // namespace
}  // namespace cuminpath::proxy
