// Checks what callers receive from a gateway during its planned stop.

#include <gmock/gmock.h>

#include <fmt/format.h>

#include <array>
#include <asio/write.hpp>

#include "proxy_fixture.h"
#include "response_text.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

constexpr milliseconds k_directory_ttl{100};

constexpr std::string_view k_stream_head =
    "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
    "chunked\r\n\r\n";

// A caller that keeps its connection and reads on demand.
class raw_caller {
public:
  raw_caller(asio::io_context& context, const std::string& address) : m_socket(context) {
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    m_socket.connect({asio::ip::address_v4::loopback(), port});
    m_socket.non_blocking(true);
  }

  void send(const std::string& bytes) {
    std::error_code failure;
    asio::write(m_socket, asio::buffer(bytes), failure);
    EXPECT_FALSE(failure);
  }
  // Reads what has arrived and returns all that has been received so far.
  const std::string& received() {
    std::array<char, 65536> buffer{};
    std::error_code failure;
    for (std::size_t size = 1; size > 0 && !failure;) {
      size = m_socket.read_some(asio::buffer(buffer), failure);
      m_received.append(buffer.data(), size);
    }
    m_ended = m_ended || (failure && failure != asio::error::would_block);
    m_reset = m_reset || failure == asio::error::connection_reset;
    return m_received;
  }
  // Whether the gateway has closed the connection, as far as received() has read.
  [[nodiscard]] bool ended() const { return m_ended; }
  [[nodiscard]] bool was_reset() const { return m_reset; }

private:
  asio::ip::tcp::socket m_socket;
  std::string m_received;
  bool m_ended = false;
  bool m_reset = false;
};

class planned_stop_test : public proxy_fixture {
protected:
  // Begins a planned stop that has `time_left` until every request must have its response.
  void begin_stop(milliseconds time_left) {
    const time_point now = clock::now();
    milliseconds grace_period = time_left;
    while (gateway::stop_schedule(now, grace_period, k_directory_ttl).respond_by() < now + time_left) {
      ++grace_period;
    }
    m_state.stop.emplace(now, grace_period, k_directory_ttl);
    m_listener.on_stop_scheduled();
  }
  bool run_until_received(raw_caller& caller, std::string_view text) {
    return run_until([&] { return caller.received().find(text) != std::string::npos; });
  }
  bool run_until_ended(raw_caller& caller) {
    return run_until([&] {
      m_listener.tick(clock::now());
      static_cast<void>(caller.received());
      return caller.ended();
    });
  }
  // Sends the body in pieces that fit in the buffers of the sockets, until the gateway has all of it.
  void send_in_pieces(scripted_upstream& upstream, const std::string& body) {
    constexpr std::size_t k_piece_bytes = 64U << 10U;
    for (std::size_t sent = 0; sent < body.size(); sent += k_piece_bytes) {
      upstream.send_to_last(body.substr(sent, k_piece_bytes));
      ASSERT_TRUE(run_until([&] {
        return m_state.buffered_responses.bytes() >= sent + k_piece_bytes ||
               m_listener.active_request_count() == 0;
      }));
    }
  }
  scripted_upstream& add_upstream_that_serves() {
    return add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "body")}; });
  }
  scripted_upstream& add_upstream_that_is_silent() {
    return add_upstream("i-1", [](auto, const auto&) { return upstream_action{}; });
  }
};

TEST_F(planned_stop_test, a_request_that_may_outlast_the_stop_is_refused_at_once_and_not_sent) {
  const auto& upstream = add_upstream_that_serves();
  begin_stop(milliseconds{1000});  // The request has 1.5 s.
  const auto started = clock::now();
  const auto response = call(request("POST", "/once/x", "a", "Content-Length: 0\r\n"), is_complete);
  EXPECT_LT(clock::now() - started, milliseconds{500});
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(response.bytes, HasSubstr("Retry-After: "));
  EXPECT_THAT(response.bytes, HasSubstr("Connection: close"));
  EXPECT_THAT(response.bytes, HasSubstr("not_run"));
  EXPECT_TRUE(upstream.requests().empty());
}

TEST_F(planned_stop_test, a_refused_caller_waits_only_if_no_other_gateway_is_ready) {
  begin_stop(milliseconds{0});
  m_state.other_gateway_ready = true;
  EXPECT_THAT(call(request("GET", "/safe/x", "a"), is_complete).bytes, HasSubstr("Retry-After: 0.0"));
  m_state.other_gateway_ready = false;
  EXPECT_THAT(call(request("GET", "/safe/x", "a"), is_complete).bytes, HasSubstr("Retry-After: 1."));
}

TEST_F(planned_stop_test, a_request_that_ends_in_time_is_served_and_its_connection_closed) {
  add_upstream_that_serves();
  begin_stop(milliseconds{4000});
  const auto response =
      call(request("GET", "/safe/x", "a"), [](const std::string& bytes) { return bytes.ends_with("body"); });
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(response.bytes, HasSubstr("Connection: close"));
}

TEST_F(planned_stop_test, early_in_the_stop_a_stream_is_accepted_if_others_of_its_route_have_been_short) {
  add_upstream("i-1", [](auto, const auto&) {
    return upstream_action{std::string(k_stream_head) + chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n"};
  });
  const std::string stream = request("POST", "/stream/x", "a", "Content-Length: 0\r\n");
  EXPECT_THAT(call(stream, is_complete).bytes, StartsWith("HTTP/1.1 200"));
  begin_stop(milliseconds{1000});
  m_state.other_gateway_ready = true;
  EXPECT_THAT(call(stream, is_complete).bytes, StartsWith("HTTP/1.1 200"));
  ASSERT_TRUE(run_until([this] { return clock::now() > m_state.stop->answers_expire_at(); }));
  EXPECT_THAT(call(stream, is_complete).bytes, StartsWith("HTTP/1.1 503"));
}

// Guards against short calls that are refused seconds before the end of the stop.
TEST_F(planned_stop_test, a_request_that_is_not_streamed_is_accepted_until_callers_have_left) {
  add_upstream_that_serves();
  EXPECT_THAT(call(request("GET", "/safe/x", "a"), is_complete).bytes, StartsWith("HTTP/1.1 200"));
  begin_stop(milliseconds{1000});
  m_state.other_gateway_ready = true;
  ASSERT_TRUE(run_until([this] { return clock::now() > m_state.stop->answers_expire_at(); }));
  EXPECT_THAT(call(request("GET", "/safe/x", "a"), is_complete).bytes, StartsWith("HTTP/1.1 200"));
  ASSERT_TRUE(run_until([this] { return clock::now() > m_state.stop->exit_from(true); }));
  EXPECT_THAT(call(request("GET", "/safe/x", "a"), is_complete).bytes, StartsWith("HTTP/1.1 503"));
}

TEST_F(planned_stop_test, a_request_without_a_response_is_answered_at_the_end_of_the_stop) {
  const auto& upstream = add_upstream_that_is_silent();
  raw_caller caller(m_context, m_listener.address());
  caller.send(request("POST", "/once/x", "a", "Content-Length: 0\r\n"));
  ASSERT_TRUE(run_until([&] { return upstream.requests().size() == 1; }));
  begin_stop(milliseconds{100});
  ASSERT_TRUE(run_until_received(caller, "\r\n\r\n"));
  EXPECT_THAT(caller.received(), StartsWith("HTTP/1.1 504"));
  EXPECT_THAT(caller.received(), HasSubstr("stopped"));
  EXPECT_THAT(caller.received(), HasSubstr(R"("execution":"unknown")"));
}

TEST_F(planned_stop_test, an_upstream_gets_no_more_time_than_the_stop_leaves) {
  add_upstream_that_serves();
  call(request("GET", "/safe/x", "a"), is_complete);
  begin_stop(milliseconds{1000});
  call(request("GET", "/safe/x", "a"), is_complete);
  const std::string& received = m_upstreams[0]->requests().back();
  const std::size_t at = received.find("X-Left: ");
  ASSERT_NE(at, std::string::npos);
  EXPECT_LE(std::stol(received.substr(at + 8)), 1000);
}

TEST_F(planned_stop_test, a_stream_that_outlasts_the_stop_ends_incomplete_after_all_received_events) {
  auto& upstream =
      add_upstream("i-1", [](auto, const auto&) { return upstream_action{std::string(k_stream_head)}; });
  raw_caller caller(m_context, m_listener.address());
  caller.send(request("POST", "/fragile/x", "a", "Content-Length: 0\r\n"));
  ASSERT_TRUE(run_until([&] { return upstream.requests().size() == 1; }));
  const std::string event = chunk("data: " + std::string(60'000, 'x') + "\n\n");
  std::size_t events = 0;
  for (; m_listener.count_connections().unsent_bytes == 0; ++events) {
    ASSERT_LT(events, 1000U);
    upstream.send_to_last(event);
    m_context.run_for(milliseconds{1});
    m_context.restart();
  }
  begin_stop(milliseconds{100});
  ASSERT_TRUE(run_until([this] { return m_listener.active_request_count() == 0; }));
  ASSERT_TRUE(run_until_ended(caller));
  const std::size_t head = caller.received().find("\r\n\r\n") + 4;
  EXPECT_EQ(caller.received().size() - head, events * event.size());
  EXPECT_TRUE(caller.received().ends_with(event));
  EXPECT_FALSE(caller.was_reset());
}

TEST_F(planned_stop_test, the_stop_is_not_complete_while_a_slow_caller_has_not_received_its_response) {
  const std::string body(12U << 20U, 'x');
  const std::string response = response_text("a", body);
  const std::string head = response.substr(0, response.size() - body.size());
  auto& upstream = add_upstream("i-1", [&head](auto, const auto&) { return upstream_action{head}; });
  raw_caller caller(m_context, m_listener.address());
  caller.send(request("GET", "/safe/x", "a"));
  ASSERT_TRUE(run_until([&] { return upstream.requests().size() == 1; }));
  begin_stop(milliseconds{4000});
  send_in_pieces(upstream, body);
  ASSERT_TRUE(run_until([this] {
    return m_listener.active_request_count() == 0 && m_listener.count_connections().unsent_bytes > 0;
  }));
  EXPECT_FALSE(m_listener.drained());
  ASSERT_TRUE(run_until_ended(caller));
  EXPECT_TRUE(caller.received().ends_with(body));
  EXPECT_TRUE(run_until([this] {
    m_listener.tick(clock::now());
    return m_listener.drained();
  }));
}

struct call_kind_case {
  std::string_view name;
  std::string_view path;
  bool streamed;
  std::string_view headers = {};
};
constexpr call_kind_case k_call_kinds[] = {{"safe", "/safe/x", false},
                                           {"once", "/once/x", false},
                                           {"resumable_stream", "/stream/x", true},
                                           {"stream", "/fragile/x", true},
                                           {"resumed_stream", "/stream/x", true, "Last-Event-Id: 0\r\n"}};

class planned_stop_of_each_kind : public planned_stop_test,
                                  public ::testing::WithParamInterface<call_kind_case> {
protected:
  static std::string request_bytes(std::string_view id = "a") {
    return request("POST", GetParam().path, id, fmt::format("{}Content-Length: 0\r\n", GetParam().headers));
  }
  static std::string response_head(std::string_view framing) {
    return fmt::format("HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Type: {}\r\n{}\r\n",
                       GetParam().streamed ? "text/event-stream" : "text/plain", framing);
  }
  static constexpr std::string_view k_event = "id: 1\ndata: x\n\n";
};

// Guards against requests that are taken late in the grace period and cut at its end.
TEST_P(planned_stop_of_each_kind, a_request_that_comes_late_is_refused_and_not_sent) {
  auto& upstream = add_upstream("i-1", [](auto, const auto&) {
    return upstream_action{response_head(fmt::format("Content-Length: {}\r\n", k_event.size())) +
                           std::string(k_event)};
  });
  raw_caller kept(m_context, m_listener.address());
  kept.send(request_bytes());
  ASSERT_TRUE(run_until_received(kept, k_event));
  const std::size_t before = kept.received().size();
  for (const bool other_gateway_ready : {true, false}) {
    begin_stop(milliseconds{900});
    m_state.other_gateway_ready = other_gateway_ready;
    ASSERT_TRUE(run_until([&] { return clock::now() > m_state.stop->exit_from(other_gateway_ready); }));
    const auto refused = call(request_bytes(), is_complete);
    EXPECT_THAT(refused.bytes, StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(refused.bytes, HasSubstr("not_run"));
    EXPECT_THAT(refused.bytes, HasSubstr("Retry-After: "));
    EXPECT_THAT(refused.bytes, HasSubstr("Connection: close"));
  }
  kept.send(request_bytes());
  ASSERT_TRUE(run_until([&] { return is_complete(kept.received().substr(before)); }));
  EXPECT_THAT(kept.received().substr(before), StartsWith("HTTP/1.1 503"));
  EXPECT_TRUE(run_until_ended(kept));
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST_P(planned_stop_of_each_kind, a_request_that_an_upstream_has_at_the_end_is_answered) {
  const auto& upstream = add_upstream_that_is_silent();
  raw_caller caller(m_context, m_listener.address());
  caller.send(request_bytes());
  ASSERT_TRUE(run_until([&] { return upstream.requests().size() == 1; }));
  begin_stop(milliseconds{100});
  ASSERT_TRUE(run_until_received(caller, "\r\n\r\n"));
  EXPECT_THAT(caller.received(), StartsWith("HTTP/1.1 504"));
  EXPECT_THAT(caller.received(), HasSubstr(R"("execution":"unknown")"));
  EXPECT_TRUE(run_until_ended(caller));
  EXPECT_EQ(upstream.requests().size(), 1U);
}

// Only a stream whose first event the caller has can end without an answer, and then it looks incomplete.
TEST_P(planned_stop_of_each_kind, a_response_that_is_incomplete_at_the_end_is_answered_or_looks_incomplete) {
  for (const std::string_view framing : {"Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    const std::string body = framing.starts_with("T") ? chunk(k_event) : std::string(k_event);
    m_records.clear();
    m_state.upstreams = {};
    const auto& upstream = add_upstream(
        "i-1", [&](auto, const auto&) { return upstream_action{response_head(framing) + body}; });
    m_state.stop.reset();
    raw_caller caller(m_context, m_listener.address());
    caller.send(request_bytes());
    ASSERT_TRUE(run_until([&] {
      return upstream.requests().size() == 1 &&
             (GetParam().streamed ? caller.received().find(k_event) != std::string::npos
                                  : m_state.buffered_responses.bytes() == k_event.size());
    }));
    begin_stop(milliseconds{100});
    ASSERT_TRUE(run_until_ended(caller));
    if (GetParam().streamed) {
      EXPECT_THAT(caller.received(), StartsWith("HTTP/1.1 200"));
      EXPECT_THAT(caller.received(), Not(HasSubstr("\r\n0\r\n\r\n"))) << framing;
    } else {
      EXPECT_THAT(caller.received(), StartsWith("HTTP/1.1 504")) << framing;
      EXPECT_TRUE(is_complete(caller.received())) << framing;
    }
  }
}

TEST_P(planned_stop_of_each_kind, a_request_that_ends_in_time_is_served) {
  const std::string length = fmt::format("Content-Length: {}\r\n", k_event.size());
  for (const std::string& framing : {length, std::string("Transfer-Encoding: chunked\r\n"), std::string()}) {
    m_records.clear();
    m_state.upstreams = {};
    m_state.upstream_connections = {};
    add_upstream("i-1", [&](auto, const auto&) {
      const std::string body = framing.starts_with("T") ? chunk(k_event) + "0\r\n\r\n" : std::string(k_event);
      return upstream_action{response_head(framing) + body,
                             framing.empty() ? upstream_action::after::close : upstream_action::after::keep};
    });
    begin_stop(milliseconds{4000});
    const auto response = call(request_bytes(), is_complete);
    EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 200")) << framing;
    EXPECT_THAT(response.bytes, HasSubstr(k_event)) << framing;
    EXPECT_TRUE(is_complete(response.bytes)) << framing;
    EXPECT_THAT(response.bytes, HasSubstr("Connection: close")) << framing;
  }
}

INSTANTIATE_TEST_SUITE_P(kinds, planned_stop_of_each_kind, ::testing::ValuesIn(k_call_kinds),
                         [](const auto& named) { return std::string(named.param.name); });

TEST_F(planned_stop_test, a_half_read_request_is_refused_at_the_end_of_the_stop) {
  raw_caller caller(m_context, m_listener.address());
  caller.send("POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
  ASSERT_TRUE(run_until([this] { return m_listener.count_connections().reading == 1; }));
  begin_stop(milliseconds{0});
  EXPECT_FALSE(m_listener.drained());
  m_listener.finish_stop(clock::now());
  ASSERT_TRUE(run_until_received(caller, "not_run"));
  EXPECT_THAT(caller.received(), StartsWith("HTTP/1.1 503"));
}

TEST_F(planned_stop_test, idle_connections_are_closed_once_callers_can_know_of_the_stop) {
  add_upstream_that_serves();
  raw_caller caller(m_context, m_listener.address());
  caller.send(request("GET", "/safe/x", "a"));
  ASSERT_TRUE(run_until_received(caller, "body"));
  begin_stop(seconds{60});
  m_listener.tick(clock::now());
  static_cast<void>(caller.received());
  EXPECT_FALSE(caller.ended());
  ASSERT_TRUE(run_until_ended(caller));
  EXPECT_GE(clock::now(), m_state.stop->answers_expire_at());
}

TEST_F(planned_stop_test, a_request_that_has_arrived_on_an_idle_connection_is_answered_before_it_closes) {
  add_upstream_that_serves();
  raw_caller caller(m_context, m_listener.address());
  caller.send(request("GET", "/safe/x", "a"));
  ASSERT_TRUE(run_until_received(caller, "body"));
  ASSERT_TRUE(run_until([this] { return m_listener.count_connections().unsent_bytes == 0; }));
  begin_stop(milliseconds{0});
  const std::size_t first = caller.received().size();
  caller.send(request("GET", "/safe/x", "b"));
  m_listener.finish_stop(clock::now());
  ASSERT_TRUE(run_until_received(caller, "not_run"));
  EXPECT_THAT(caller.received().substr(first), StartsWith("HTTP/1.1 503"));
}

TEST_F(planned_stop_test, a_connection_whose_response_began_before_the_stop_takes_one_more_request) {
  add_upstream("i-1", [](std::size_t number, const auto&) {
    const std::string events = chunk("id: 1\ndata: x\n\n");
    return number == 1 ? upstream_action{std::string(k_stream_head) + events}
                       : upstream_action{response_text("b", "body")};
  });
  raw_caller caller(m_context, m_listener.address());
  caller.send(request("POST", "/fragile/x", "a", "Content-Length: 0\r\n"));
  ASSERT_TRUE(run_until_received(caller, "id: 1"));
  EXPECT_THAT(caller.received(), Not(HasSubstr("Connection: close")));
  begin_stop(milliseconds{4000});
  m_upstreams[0]->send_to_last(std::string("0\r\n\r\n"));
  ASSERT_TRUE(run_until_received(caller, "0\r\n\r\n"));
  caller.send(request("GET", "/safe/x", "b"));
  ASSERT_TRUE(run_until_received(caller, "body"));
  EXPECT_THAT(caller.received(), HasSubstr("Connection: close"));
  EXPECT_TRUE(run_until_ended(caller));
}

TEST_F(planned_stop_test, a_pipelined_request_that_has_arrived_is_answered_too) {
  auto& upstream = add_upstream("i-1", [](std::size_t number, const auto&) {
    return upstream_action{number == 1 ? "" : response_text("b", "second")};
  });
  raw_caller caller(m_context, m_listener.address());
  caller.send(request("GET", "/safe/x", "a") + request("GET", "/safe/x", "b"));
  ASSERT_TRUE(run_until([&] { return upstream.requests().size() == 1; }));
  begin_stop(milliseconds{4000});
  upstream.send_to_last(response_text("a", "first"));
  ASSERT_TRUE(run_until_received(caller, "second"));
  const std::string first = caller.received().substr(0, caller.received().find("first"));
  EXPECT_THAT(first, Not(HasSubstr("Connection: close")));
  EXPECT_THAT(caller.received().substr(first.size()), HasSubstr("Connection: close"));
  EXPECT_TRUE(run_until_ended(caller));
}

TEST_F(planned_stop_test, the_idle_timeout_does_not_cut_a_response_that_a_slow_caller_still_reads) {
  auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
  configuration->limits.idle_timeout = milliseconds{50};
  m_state.configuration = std::move(configuration);
  const std::string body(12U << 20U, 'x');
  const std::string response = response_text("a", body);
  const std::string head = response.substr(0, response.size() - body.size());
  auto& upstream = add_upstream("i-1", [&head](auto, const auto&) { return upstream_action{head}; });
  raw_caller caller(m_context, m_listener.address());
  caller.send(request("GET", "/safe/x", "a"));
  ASSERT_TRUE(run_until([&] { return upstream.requests().size() == 1; }));
  send_in_pieces(upstream, body);
  const time_point later = clock::now() + milliseconds{200};
  ASSERT_TRUE(run_until([&] {
    m_listener.tick(clock::now());
    return clock::now() > later;
  }));
  ASSERT_TRUE(run_until_ended(caller));
  EXPECT_TRUE(caller.received().ends_with(body));
}

}  // namespace
}  // namespace cuminpath::proxy
