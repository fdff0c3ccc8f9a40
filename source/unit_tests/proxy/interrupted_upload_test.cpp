// Checks what callers receive if an upstream responds to a long upload at once, with a part of a body, and
// ends the connection while the upload is still being written.

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

struct call_form {
  std::string_view name;
  std::string_view path;
  bool repeatable;
  bool streamed;
};
constexpr call_form k_calls[] = {{"safe", "/safe/x", true, false},
                                 {"once", "/once/x", false, false},
                                 {"resumable_stream", "/stream/x", true, true},
                                 {"stream", "/fragile/x", false, true}};

struct interruption {
  std::string_view name;
  after ends;
  milliseconds delay;  // After the part of the body.
};
constexpr interruption k_interruptions[] = {
    {"reset_at_once", after::reset, milliseconds{0}},
    {"reset_after_the_gateway_has_read", after::reset, milliseconds{3}},
    {"reset_later", after::reset, milliseconds{100}},
    {"close_at_once", after::close, milliseconds{0}},
    {"close_later", after::close, milliseconds{100}}};

// More than the socket buffers of a connection with a small receive buffer hold.
constexpr std::size_t k_upload_bytes = 3'900'000;

std::string event(int number) {
  return fmt::format("id: {0}\ndata: {0}\n\n", number);
}

using parameters = std::tuple<call_form, interruption>;

class interrupted_upload_test : public proxy_fixture, public ::testing::WithParamInterface<parameters> {
protected:
  static const call_form& form() { return std::get<0>(GetParam()); }
  static const interruption& how() { return std::get<1>(GetParam()); }

  static std::string expected_body() {
    return form().streamed ? event(1) + event(2) + event(3) : R"({"whole":true})";
  }
  static std::string head(std::string_view framing) {
    return fmt::format("HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Type: {}\r\n{}\r\n",
                       form().streamed ? "text/event-stream" : "application/json", framing);
  }

  // Adds an upstream that sends the beginning of a body without a length, and ends the connection.
  scripted_upstream& add_interrupting_upstream(std::string id) {
    scripted_upstream& added = add_upstream(std::move(id), [](auto, const auto&) {
      ADD_FAILURE() << "the upload has arrived as a whole";
      return upstream_action{};
    });
    added.limit_receive_buffer();
    added.act_during_next({.bytes = head("") + (form().streamed ? event(1) : R"({"whole":)"),
                           .then = how().ends,
                           .delay = how().delay});
    return added;
  }

  std::string upload(const std::function<void()>& while_waiting) {
    return call(request("POST", form().path, "a", fmt::format("Content-Length: {}\r\n", k_upload_bytes)) +
                    std::string(k_upload_bytes, 'x'),
                [&](const std::string& bytes) {
                  while_waiting();
                  return read_response(bytes).whole;
                })
        .bytes;
  }
};

// Guards against a part of a body that the caller receives as a whole one.
TEST_P(interrupted_upload_test, is_no_whole_response_to_the_caller) {
  add_interrupting_upstream("i-1");
  const std::string received = upload([] {});
  if (form().streamed && received.starts_with("HTTP/1.1 200")) {
    EXPECT_FALSE(read_response(received).whole) << received;
    return;
  }
  EXPECT_THAT(received, StartsWith("HTTP/1.1 502"));
  EXPECT_THAT(received, HasSubstr(R"("execution":"unknown")"));
  EXPECT_THAT(received, Not(HasSubstr("X-Stamp")));
}

TEST_P(interrupted_upload_test, is_repeated_at_another_upstream_if_the_call_allows_it) {
  if (!form().repeatable) {
    return;
  }
  const scripted_upstream& interrupting = add_interrupting_upstream("i-1");
  const std::string received = upload([&] {
    if (interrupting.accepted() > 0 && m_upstreams.size() == 1) {
      add_upstream("i-2", [](auto, const std::string& text) {
        const std::string body =
            text.find("Last-Event-Id: 1") == std::string::npos ? expected_body() : event(2) + event(3);
        return upstream_action{head(fmt::format("Content-Length: {}\r\n", body.size())) + body};
      });
    }
  });
  EXPECT_THAT(received, StartsWith("HTTP/1.1 200"));
  EXPECT_TRUE(read_response(received).whole);
  EXPECT_EQ(read_response(received).body, expected_body());
  EXPECT_EQ(m_upstreams.back()->requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(each_ending, interrupted_upload_test,
                         ::testing::Combine(::testing::ValuesIn(k_calls),
                                            ::testing::ValuesIn(k_interruptions)),
                         [](const auto& named) {
                           return fmt::format("{}_{}", std::get<0>(named.param).name,
                                              std::get<1>(named.param).name);
                         });

}  // namespace
}  // namespace cuminpath::proxy
