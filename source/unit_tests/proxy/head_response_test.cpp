// Checks that responses to HEAD have no body, whoever makes them, and that the responses on a connection stay
// in step with its requests.
#include <gmock/gmock.h>

#include <fmt/format.h>

#include <charconv>
#include <vector>

#include "proxy_fixture.h"
#include "unit_tests/support/property.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;

struct sent_request {
  std::string method;
  std::string path;
  std::string id;
};

class head_response : public proxy_fixture {
protected:
  // Takes the next response from `bytes` as a caller reads it that knows the method. Returns its head;
  // nothing if it is incomplete.
  static std::optional<std::string> take_response(std::string& bytes, std::string_view method) {
    constexpr std::string_view k_length = "Content-Length: ";
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
      return std::nullopt;
    }
    const std::string head = bytes.substr(0, end + 4);
    std::size_t body = 0;
    const std::size_t length = head.find(k_length);
    if (method != "HEAD" && length != std::string::npos) {
      std::from_chars(head.data() + length + k_length.size(), head.data() + head.size(), body);
    }
    if (bytes.size() < head.size() + body) {
      return std::nullopt;
    }
    bytes.erase(0, head.size() + body);
    return head;
  }

  // Sends the requests one behind the other on one connection, and expects one response to each.
  void expect_in_step(const std::vector<sent_request>& sent, std::string_view context) {
    std::string bytes;
    for (const sent_request& each : sent) {
      bytes += request(each.method, each.path, each.id, each.method == "HEAD" ? "" : "Content-Length: 0\r\n");
    }
    const auto heads = [&sent](std::string received) {
      std::vector<std::string> found;
      for (const sent_request& each : sent) {
        const auto head = take_response(received, each.method);
        if (!head) {
          break;
        }
        found.push_back(*head);
      }
      return std::pair(found, received);
    };
    const auto response =
        call(bytes, [&](const std::string& received) { return heads(received).first.size() == sent.size(); });
    const auto [found, rest] = heads(response.bytes);
    ASSERT_EQ(found.size(), sent.size()) << context << response.bytes;
    EXPECT_EQ(rest, "") << context;
    for (std::size_t i = 0; i < sent.size(); ++i) {
      EXPECT_THAT(found[i], StartsWith("HTTP/1.1 ")) << context;
      EXPECT_THAT(found[i], HasSubstr("X-Id: " + sent[i].id + "\r\n")) << context << sent[i].method;
    }
  }

  // An upstream that answers as the path says.
  void add_upstream_by_path() {
    add_upstream("i-1", [](auto, const std::string& text) {
      const std::string id = text.substr(text.find("X-Id: ") + 6, 3);
      const bool head = text.starts_with("HEAD");
      if (text.find("/break") != std::string::npos) {
        return upstream_action{.bytes = "", .then = upstream_action::after::close};
      }
      const int status = text.find("/fail") != std::string::npos      ? 500
                         : text.find("/nothing") != std::string::npos ? 204
                                                                      : 200;
      std::string out = fmt::format("HTTP/1.1 {} X\r\nX-Id: {}\r\nX-Stamp: s\r\n", status, id);
      out += status == 204 ? "\r\n" : "Content-Length: 4\r\n\r\n";
      return upstream_action{out + (head || status == 204 ? "" : "body")};
    });
  }
};

// Guards against a caller that takes the body of a refusal for the beginning of its next response.
TEST_F(head_response, responses_of_the_gateway_have_a_length_but_no_body) {
  // No upstream, no route, no key.
  for (const std::string& text :
       {request("HEAD", "/once/x", "abc"), request("HEAD", "/nowhere", "abc"),
        std::string("HEAD /once/x HTTP/1.1\r\nHost: h\r\nX-Id: abc\r\nX-Left: 1500\r\n\r\n")}) {
    const auto response = call(text + request("POST", "/nowhere", "def", "Content-Length: 0\r\n"),
                               [](const std::string& bytes) { return bytes.ends_with("}"); });
    std::string rest = response.bytes;
    const auto head = take_response(rest, "HEAD");
    ASSERT_TRUE(head) << response.bytes;
    EXPECT_THAT(*head, HasSubstr("X-Id: abc"));
    EXPECT_THAT(*head, HasSubstr("Content-Length: "));
    EXPECT_THAT(*head, Not(HasSubstr("Content-Length: 0\r\n")));
    EXPECT_THAT(rest, StartsWith("HTTP/1.1 404")) << text;
  }
}

TEST_F(head_response, refusals_that_close_the_connection_have_no_body) {
  for (const std::string& text :
       {"HEAD /once/x HTTP/1.1\r\nX-Long: " + std::string(100'000, 'x') + "\r\n\r\n",
        std::string("HEAD /once/x HTTP/1.1\r\nbroken\r\n\r\n"),
        std::string("HEAD /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999999\r\n\r\n")}) {
    const auto response = call(text, [](const std::string&) { return false; });
    EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 4"));
    EXPECT_TRUE(response.bytes.ends_with("\r\n\r\n")) << response.bytes;
  }
}

TEST_F(head_response, the_length_that_an_upstream_states_is_passed_on_without_a_body) {
  add_upstream_by_path();
  for (const auto& [path, status] : {std::pair("/safe/x", "200"), {"/once/fail", "500"}}) {
    const auto response = call(request("HEAD", path, "abc"),
                               [](const std::string& bytes) { return bytes.ends_with("\r\n\r\n"); });
    EXPECT_THAT(response.bytes, StartsWith(std::string("HTTP/1.1 ") + status));
    EXPECT_THAT(response.bytes, HasSubstr("Content-Length: 4\r\n"));
    EXPECT_TRUE(response.bytes.ends_with("\r\n\r\n"));
  }
}

TEST_F(head_response, a_length_that_an_upstream_does_not_state_is_not_made_up) {
  add_upstream("i-1", [](auto, const auto&) {
    return upstream_action{"HTTP/1.1 200 X\r\nX-Id: abc\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"};
  });
  const auto response = call(request("HEAD", "/safe/x", "abc"),
                             [](const std::string& bytes) { return bytes.ends_with("\r\n\r\n"); });
  EXPECT_THAT(response.bytes, StartsWith("HTTP/1.1 200"));
  EXPECT_THAT(response.bytes, Not(HasSubstr("Content-Length")));
}

TEST_F(head_response, pipelined_requests_of_any_method_get_their_own_responses) {
  add_upstream_by_path();
  EXPECT_TRUE(support::check_property(40, [this](std::uint64_t seed) {
    random_source random(seed);
    constexpr std::string_view k_methods[] = {"HEAD", "HEAD", "GET", "POST", "PUT", "DELETE", "OPTIONS"};
    constexpr std::string_view k_paths[] = {"/safe/x",     "/once/x",  "/once/fail",  "/safe/nothing",
                                            "/once/break", "/nowhere", "/stream/fail"};
    std::vector<sent_request> sent;
    for (std::size_t i = 0; i < 12; ++i) {
      sent.push_back({std::string(k_methods[random_index(random, std::size(k_methods))]),
                      std::string(k_paths[random_index(random, std::size(k_paths))]),
                      fmt::format("{:03}", i)});
    }
    expect_in_step(sent, fmt::format("seed {}: ", seed));
  }));
}

}  // namespace
}  // namespace cuminpath::proxy
