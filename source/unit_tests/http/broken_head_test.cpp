// Checks what the client makes of responses whose head is not valid HTTP.

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "core/http/client.h"
#include "unit_tests/support/broken_heads.h"
#include "unit_tests/support/raw_server.h"
#include "unit_tests/support/run_until.h"

namespace cuminpath::http {
namespace {

using support::broken_head;
using support::raw_server;
using support::run_until;

constexpr std::string_view k_body = R"({"whole":true})";
constexpr std::string_view k_chunked_body = "e\r\n{\"whole\":true}\r\n0\r\n\r\n";

raw_server::response response_to_send(const broken_head& head) {
  std::string text(head.status_line);
  text.append("\r\nX-Id: 1\r\n").append(head.lines);
  text.append(head.states_framing ? "" : "Content-Length: 14\r\n").append("\r\n");
  text.append(head.chunked_body ? k_chunked_body : k_body);
  using after = raw_server::response::after;
  return {.bytes = text, .then = head.states_framing ? after::close : after::keep};
}

class broken_head_test : public ::testing::TestWithParam<broken_head> {
protected:
  // What a streamed call reports.
  struct outcome {
    bool head = false;
    std::string data;
    bool ended = false;
    std::optional<call_failure> failure;
  };
  outcome call(const raw_server& server, std::string_view method) {
    outcome seen;
    m_client.stream("http://" + server.address(), {.method = std::string(method)}, {},
                    {.head = [&](int, const header_list&) { seen.head = true; },
                     .data = [&](const std::string& data) { seen.data += data; },
                     .end = [&] { seen.ended = true; },
                     .failure = [&](call_failure failure) { seen.failure = std::move(failure); }});
    EXPECT_TRUE(run_until(m_context, [&] { return seen.ended || seen.failure; }));
    return seen;
  }

  asio::io_context m_context;
  client m_client{m_context};
};

// Guards against a status or a body that the server did not mean.
TEST_P(broken_head_test, is_a_failure_of_which_nothing_is_reported) {
  raw_server server(m_context, [](const std::string&) { return response_to_send(GetParam()); });
  for (const char* method : {"GET", "POST"}) {
    const outcome seen = call(server, method);
    EXPECT_FALSE(seen.head);
    EXPECT_EQ(seen.data, "");
    EXPECT_FALSE(seen.ended);
    ASSERT_TRUE(seen.failure);
    EXPECT_EQ(seen.failure->code, error_code::unreachable);
    EXPECT_TRUE(seen.failure->sent);
  }
}

TEST_P(broken_head_test, behind_an_interim_response_is_a_failure) {
  raw_server server(m_context, [](const std::string&) {
    raw_server::response response = response_to_send(GetParam());
    response.bytes.insert(0, "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n");
    return response;
  });
  const outcome seen = call(server, "POST");
  EXPECT_FALSE(seen.head);
  EXPECT_FALSE(seen.ended);
  EXPECT_TRUE(seen.failure);
}

std::string test_name(const ::testing::TestParamInfo<broken_head>& named) {
  return std::string(named.param.name);
}

INSTANTIATE_TEST_SUITE_P(status_line, broken_head_test, ::testing::ValuesIn(support::k_broken_status_lines),
                         test_name);
INSTANTIATE_TEST_SUITE_P(header_line, broken_head_test, ::testing::ValuesIn(support::k_broken_header_lines),
                         test_name);
INSTANTIATE_TEST_SUITE_P(framing, broken_head_test, ::testing::ValuesIn(support::k_broken_framings),
                         test_name);

}  // namespace
}  // namespace cuminpath::http
