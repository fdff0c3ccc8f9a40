#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "core/http/client.h"
#include "core/http/server.h"
#include "unit_tests/support/run_until.h"

namespace cuminpath::http {
namespace {

using support::run_until;

class http_pair : public ::testing::Test {
protected:
  void serve(request_handler handler, const server_options& options = {}) {
    m_server = std::move(server::start(m_context, options, std::move(handler)).value());
    m_url = "http://" + m_server->address();
  }

  client::whole_response call(request value, call_options options = {}) {
    std::optional<client::whole_response> done;
    m_client.call(m_url, std::move(value), options,
                  [&done](client::whole_response r) { done = std::move(r); });
    EXPECT_TRUE(run_until(m_context, [&done] { return done.has_value(); }));
    return done.value_or(client::whole_response{});
  }

  asio::io_context m_context;
  client m_client{m_context};
  std::unique_ptr<server> m_server;
  std::string m_url;
};

// Guards against a request or response whose parts are lost on the way.
TEST_F(http_pair, echoes_method_target_header_and_body) {
  serve([](const request& value, const std::shared_ptr<responder>& to) {
    to->respond(
        {201, {{"X-Echo", std::string(*value.header("x-echo"))}}, value.method + value.target + value.body});
  });
  const auto answer =
      call({.method = "PUT", .target = "/a?b=1", .headers = {{"X-Echo", "e"}}, .body = "body"});
  EXPECT_FALSE(answer.failure);
  EXPECT_EQ(answer.value.status, 201);
  EXPECT_EQ(answer.value.body, "PUT/a?b=1body");
  EXPECT_EQ(find_header(answer.value.headers, "x-echo"), "e");
}

// Guards against a stream that was cut off but looks whole to the client.
TEST_F(http_pair, a_cut_stream_is_a_failure_and_an_ended_one_is_not) {
  serve([](const request& value, const std::shared_ptr<responder>& to) {
    to->begin_stream(200, {});
    to->write("part");
    value.target == "/cut" ? to->abort_stream() : to->end_stream();
  });
  const auto whole = call({.target = "/whole"});
  EXPECT_FALSE(whole.failure);
  EXPECT_EQ(whole.value.body, "part");
  const auto cut = call({.target = "/cut"});
  ASSERT_TRUE(cut.failure);
  EXPECT_TRUE(cut.failure->sent);
}

// Guards against work that goes on for a client that has left.
TEST_F(http_pair, a_cancelled_call_closes_the_response) {
  bool closed = false;
  std::shared_ptr<responder> open;
  serve([&](const request&, const std::shared_ptr<responder>& to) {
    open = to;
    to->begin_stream(200, {});
    to->write("x");
    to->on_closed([&closed] { closed = true; });
  });
  bool data = false;
  const auto id = m_client.stream(m_url, {}, {},
                                  {.head = [](int, const header_list&) {},
                                   .data = [&data](const std::string&) { data = true; },
                                   .end = [] {},
                                   .failure = [](const call_failure&) {}});
  ASSERT_TRUE(run_until(m_context, [&] { return data; }));
  m_client.cancel(id);
  EXPECT_TRUE(run_until(m_context, [&] {
    open->write("y");
    return closed;
  }));
}

// Guards against unbounded memory for one request, and against a failure to connect that counts as sent.
TEST_F(http_pair, refuses_an_oversized_body_and_reports_an_unsent_call) {
  bool reached = false;
  serve(
      [&reached](const request&, const std::shared_ptr<responder>& to) {
        reached = true;
        to->respond({});
      },
      {.max_body_bytes = 1000});
  EXPECT_TRUE(call({.method = "POST", .body = std::string(2000, 'x')}).failure);
  EXPECT_FALSE(reached);
  m_url = "http://127.0.0.1:1";
  const auto answer = call({});
  ASSERT_TRUE(answer.failure);
  EXPECT_FALSE(answer.failure->sent);
}

TEST(retry_after, reads_seconds_and_nothing_else) {
  using std::chrono::milliseconds;
  EXPECT_EQ(parse_retry_after("2"), milliseconds{2000});
  EXPECT_EQ(parse_retry_after("0.25"), milliseconds{250});
  EXPECT_EQ(parse_retry_after("0"), milliseconds{0});
  EXPECT_EQ(parse_retry_after("1e300"), std::nullopt);
  EXPECT_EQ(parse_retry_after("99999999999999999999"), milliseconds{86'400'000});
  for (const char* text : {"", "-1", "nan", "inf", "2s", " 2", "Fri, 04 Dec 2026 12:00:00 GMT"}) {
    EXPECT_EQ(parse_retry_after(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace cuminpath::http
