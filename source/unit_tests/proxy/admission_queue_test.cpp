// Requests that wait in the gateway for a place at an upstream.

#include <gmock/gmock.h>

#include <array>
#include <asio/write.hpp>

#include "proxy_fixture.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::StartsWith;

class waiting_caller {
public:
  waiting_caller(asio::io_context& context, const std::string& address) : m_socket(context) {
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    m_socket.connect({asio::ip::address_v4::loopback(), port});
    m_socket.non_blocking(true);
  }
  void send(const std::string& bytes) {
    std::error_code failure;
    asio::write(m_socket, asio::buffer(bytes), failure);
    EXPECT_FALSE(failure);
  }
  const std::string& received() {
    std::array<char, 65536> buffer{};
    std::error_code failure;
    for (std::size_t size = 1; size > 0 && !failure;) {
      size = m_socket.read_some(asio::buffer(buffer), failure);
      m_received.append(buffer.data(), size);
    }
    return m_received;
  }
  void close() { m_socket.close(); }

private:
  asio::ip::tcp::socket m_socket;
  std::string m_received;
};

// One upstream with 4 slots that responds only when told to.
class admission_queue_in_proxy : public proxy_fixture {
protected:
  admission_queue_in_proxy() {
    use_engine();
    add_upstream("i-1", [](auto, const auto&) { return upstream_action{}; });
  }
  void switch_on(double share = 1) {
    m_state.admission_queue.set_options({.max_wait_share = share});
    for (int i = 0; i < 20; ++i) {
      m_state.admission_queue.on_place_freed("s", clock::now());
    }
  }
  waiting_caller& send(const std::string& id, std::string_view extra_headers = "") {
    m_callers.push_back(std::make_unique<waiting_caller>(m_context, m_listener.address()));
    m_callers.back()->send(
        request("POST", "/once/x", id, std::string(extra_headers) + "Content-Length: 0\r\n"));
    return *m_callers.back();
  }
  // Sends requests "0" to "3" and so on, and runs until the upstream has them.
  void fill(std::size_t count = 4) {
    for (std::size_t i = 0; i < count; ++i) {
      send(std::to_string(i));
      ASSERT_TRUE(run_until([&] { return at_upstream() == i + 1; }));
    }
  }
  [[nodiscard]] std::size_t at_upstream() const { return m_upstreams[0]->requests().size(); }
  bool run_until_queued(std::size_t count) {
    return run_until([&] { return m_state.admission_queue.size() == count; });
  }
  bool run_until_received(waiting_caller& caller, std::string_view text) {
    return run_until([&] { return caller.received().find(text) != std::string::npos; });
  }
  void run_for(milliseconds time) {
    const time_point end = clock::now() + time;
    EXPECT_TRUE(run_until([end] { return clock::now() > end; }));
  }
  void expect_refused_and_not_sent(waiting_caller& caller) {
    ASSERT_TRUE(run_until_received(caller, "not_run"));
    EXPECT_THAT(caller.received(), StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(caller.received(), HasSubstr("Retry-After: "));
    expect_empty_and_not_sent();
  }
  // A slot that is free now must not bring the request to the upstream any more.
  void expect_empty_and_not_sent() {
    EXPECT_EQ(m_state.admission_queue.size(), 0U);
    EXPECT_TRUE(m_state.queued_requests.empty());
    m_upstreams[0]->send_to_last(response_text("3", "body"));
    run_for(milliseconds{100});
    EXPECT_EQ(at_upstream(), 4U);
  }

  std::vector<std::unique_ptr<waiting_caller>> m_callers;
};

// Guards against requests that wait although the setting is absent.
TEST_F(admission_queue_in_proxy, nothing_waits_by_default) {
  fill();
  expect_refused_and_not_sent(send("a"));
}

// Guards against freed places that nobody takes, and against two requests for one place.
TEST_F(admission_queue_in_proxy, a_freed_place_goes_to_the_first_that_waits) {
  switch_on();
  fill();
  send("a");
  ASSERT_TRUE(run_until_queued(1));
  auto& second = send("b");
  ASSERT_TRUE(run_until_queued(2));
  EXPECT_EQ(m_state.served_requests, 6U);
  m_upstreams[0]->send_to_last(response_text("3", "body"));
  ASSERT_TRUE(run_until([this] { return at_upstream() == 5; }));
  EXPECT_THAT(m_upstreams[0]->requests().back(), HasSubstr("X-Id: a\r\n"));
  run_for(milliseconds{60});
  EXPECT_EQ(at_upstream(), 5U);
  EXPECT_EQ(second.received(), "");
  m_upstreams[0]->send_to_last(response_text("a", "of a"));
  EXPECT_TRUE(run_until_received(*m_callers[4], "of a"));
  ASSERT_TRUE(run_until([this] { return at_upstream() == 6; }));
  m_upstreams[0]->send_to_last(response_text("b", "of b"));
  EXPECT_TRUE(run_until_received(second, "of b"));
}

// Guards against new requests that take a place before one that waits, and against returning callers that
// wait behind new requests.
TEST_F(admission_queue_in_proxy, a_returning_caller_goes_first) {
  switch_on();
  fill();
  send("new");
  ASSERT_TRUE(run_until_queued(1));
  // Another caller has stated more time than the 1.5 s of the next one, which so counts as returning.
  m_state.caller_retries["/once/"].observe(milliseconds{2000});
  send("returning");
  ASSERT_TRUE(run_until_queued(2));
  m_upstreams[0]->send_to_last(response_text("3", "body"));
  ASSERT_TRUE(run_until([this] { return at_upstream() == 5; }));
  EXPECT_THAT(m_upstreams[0]->requests().back(), HasSubstr("X-Id: returning\r\n"));
}

// Guards against new requests that take the place that was promised to a refused caller.
TEST_F(admission_queue_in_proxy, a_promised_place_is_kept_for_the_caller) {
  switch_on();
  fill(3);
  const auto wait =
      m_state.admission_queue.promise_return("s", {.priority = 0}, seconds{8}, clock::now(), m_state.random);
  ASSERT_TRUE(wait.has_value());
  run_for(*wait - milliseconds{5});
  send("new");
  ASSERT_TRUE(run_until_queued(1));
  EXPECT_EQ(at_upstream(), 3U);
}

// Guards against requests that are sent after their caller has gone.
TEST_F(admission_queue_in_proxy, a_request_leaves_the_queue_when_its_caller_disconnects) {
  switch_on();
  fill();
  auto& caller = send("a");
  ASSERT_TRUE(run_until_queued(1));
  caller.close();
  ASSERT_TRUE(run_until_queued(0));
  EXPECT_THAT(m_state.metrics.prometheus_text(),
              HasSubstr("cuminpath_admission_queue_waits_total{end=\"caller_gone\"} 1"));
  expect_empty_and_not_sent();
}

// Guards against requests that are both refused and sent.
TEST_F(admission_queue_in_proxy, a_request_is_refused_when_its_wait_is_over) {
  switch_on(0.3);
  fill();
  const time_point start = clock::now();
  expect_refused_and_not_sent(send("a"));
  EXPECT_GE(clock::now() - start, milliseconds{300});
}

// Guards against a stop that waits for the queue.
TEST_F(admission_queue_in_proxy, a_planned_stop_refuses_the_queue_at_once) {
  switch_on();
  fill();
  auto& caller = send("a");
  ASSERT_TRUE(run_until_queued(1));
  const time_point now = clock::now();
  m_state.stop.emplace(now, seconds{8}, milliseconds{100});
  m_listener.on_stop_scheduled();
  expect_refused_and_not_sent(caller);
  EXPECT_LT(clock::now() - now, milliseconds{500});
}

// Guards against waits for places of a service that has no upstream any more.
TEST_F(admission_queue_in_proxy, the_queue_is_refused_when_no_upstream_is_left) {
  switch_on();
  fill();
  auto& caller = send("a");
  ASSERT_TRUE(run_until_queued(1));
  m_records[0].leaving = true;
  m_state.upstreams.apply(m_records, clock::now(), false);
  const time_point now = clock::now();
  expect_refused_and_not_sent(caller);
  EXPECT_LT(clock::now() - now, milliseconds{500});
}

// Guards against requests that crash an upstream because their prompt was quarantined only while they waited.
TEST_F(admission_queue_in_proxy, a_request_is_refused_when_its_prompt_is_quarantined) {
  switch_on();
  fill();
  auto& caller = send("a", "X-Model: m\r\nX-Prompt-Parts: p:10,own:5\r\n");
  ASSERT_TRUE(run_until_queued(1));
  const std::vector<routing::prompt_part> parts{routing::hash_prompt_part("m", "p")};
  const time_point now = clock::now();
  m_state.prompt_quarantine.on_crash(1, parts, now - milliseconds{400});
  m_state.prompt_quarantine.on_crash(2, parts, now - milliseconds{350});
  ASSERT_TRUE(m_state.prompt_quarantine.quarantined(parts, now));
  expect_refused_and_not_sent(caller);
  EXPECT_THAT(caller.received(), HasSubstr("crashes upstreams"));
}

// Guards against a request that tests a part after its quarantine and is refused for being that test.
TEST_F(admission_queue_in_proxy, a_request_that_tests_a_prompt_part_waits_as_others_do) {
  switch_on();
  fill();
  const std::vector<routing::prompt_part> parts{routing::hash_prompt_part("m", "p")};
  const time_point long_ago = clock::now() - seconds{60};
  m_state.prompt_quarantine.on_crash(1, parts, long_ago);
  m_state.prompt_quarantine.on_crash(2, parts, long_ago + milliseconds{50});
  send("a", "X-Model: m\r\nX-Prompt-Parts: p:10,own:5\r\n");
  ASSERT_TRUE(run_until_queued(1));
  ASSERT_TRUE(m_state.prompt_quarantine.admit(parts, clock::now()).has_value());
  run_for(milliseconds{60});
  EXPECT_EQ(m_state.admission_queue.size(), 1U);
}

// Guards against streams that lose their place to requests that wait.
TEST_F(admission_queue_in_proxy, streams_that_wait_for_the_rest_go_first) {
  switch_on();
  fill();
  send("a");
  ASSERT_TRUE(run_until_queued(1));
  m_state.waiting_streams["s"] = 1;
  m_upstreams[0]->send_to_last(response_text("3", "body"));
  run_for(milliseconds{100});
  EXPECT_EQ(at_upstream(), 4U);
  m_state.waiting_streams["s"] = 0;
  EXPECT_TRUE(run_until([this] { return at_upstream() == 5; }));
}

}  // namespace
}  // namespace cuminpath::proxy
