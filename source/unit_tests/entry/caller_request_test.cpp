#include "core/entry/caller_request.h"

#include <gtest/gtest.h>

#include "unit_tests/entry/entry_fixture.h"

namespace cuminpath::entry {
namespace {

struct refused_case {
  const char* name;
  http::request value;
  int status;
};

const std::string k_bearer = "Bearer " + std::string(k_api_key);
const std::string k_body = R"({"model":"scribe","prompt":"x"})";

std::vector<refused_case> refused_cases() {
  const auto completion = [](const std::string& body) {
    return http::request{"POST", "/v1/completions", {{"Authorization", k_bearer}}, body};
  };
  const auto service = [](const std::string& method, const std::string& path) {
    return http::request{method, "/services/" + path, {{"Authorization", k_bearer}}, ""};
  };
  auto wrong_class = completion(k_body);
  wrong_class.headers.emplace_back("X-Priority", "royal");
  auto wrong_timeout = completion(k_body);
  wrong_timeout.headers.emplace_back("X-Request-Timeout-Ms", "-5");
  return {
      {"no key", {"POST", "/v1/completions", {}, k_body}, 401},
      {"wrong key", {"POST", "/v1/completions", {{"Authorization", "Bearer no"}}, k_body}, 401},
      {"hash as key",
       {"POST", "/v1/completions", {{"Authorization", "Bearer " + std::string(64, '0')}}, k_body},
       401},
      {"class that the workspace may not use", wrong_class, 403},
      {"negative timeout", wrong_timeout, 400},
      {"unknown path", {"GET", "/v2", {{"Authorization", k_bearer}}, ""}, 404},
      {"unknown model", completion(R"({"model":"other","prompt":"x"})"), 404},
      {"unknown service", service("GET", "other/x"), 404},
      {"truncated JSON", completion(R"({"model":"scribe",)"), 400},
      {"not an object", completion("[1]"), 400},
      {"deep nesting", completion(std::string(100000, '[')), 400},
      {"prompt of a wrong type", completion(R"({"model":"scribe","prompt":5})"), 400},
      {"two choices", completion(R"({"model":"scribe","prompt":"x","n":2})"), 400},
      {"no idempotency key", service("POST", "orders/bookings"), 400},
      {"dot segment", service("POST", "orders/quotes/../bookings"), 400},
      {"escaped dot segment", service("POST", "orders/quotes/%2E%2e/bookings"), 400},
      {"escaped slash", service("POST", "orders/quotes%2f..%2fbookings"), 400},
  };
}

class caller_request_test : public entry_fixture {};

// Guards against invalid input that reaches an upstream or terminates the process. With dot segments, a call
// that may not be repeated would match the rule of one that may.
TEST_F(caller_request_test, invalid_requests_are_refused_and_reach_no_upstream) {
  for (auto& item : refused_cases()) {
    SCOPED_TRACE(item.name);
    send(std::move(item.value));
    const auto response = take_response();
    EXPECT_EQ(response.status, item.status);
    EXPECT_EQ(execution_of(response), "not_run");
    EXPECT_TRUE(take_messages<wire::submit_request>().empty());
    EXPECT_TRUE(take<write_claim>().empty());
  }
  EXPECT_EQ(core.in_flight(), 0U);
}

// Guards against API keys that are forwarded to upstreams, and against dropping headers that an upstream
// needs.
TEST_F(caller_request_test, service_call_is_forwarded_without_the_key) {
  send({"POST",
        "/services/orders/quotes?id=5",
        {{"authorization", k_bearer}, {"Content-Type", "text/plain"}, {"X-Request-Id", "r-1"}},
        "body"});
  const auto sent = take_submitted().message;
  EXPECT_EQ(sent.path, "/quotes?id=5");
  EXPECT_EQ(sent.body, "body");
  EXPECT_TRUE(sent.repeatable);
  EXPECT_FALSE(http::find_header(sent.headers, "Authorization"));
  EXPECT_EQ(http::find_header(sent.headers, "Content-Type"), "text/plain");
  EXPECT_EQ(http::find_header(sent.headers, "X-Request-Id"), "r-1");
}

// Guards against a response that is sent to the wrong caller when two callers use the same X-Request-Id.
TEST_F(caller_request_test, equal_request_ids_of_callers_are_distinguished) {
  const auto first_caller = send_completion(true, {{"X-Request-Id", "same"}});
  const auto first = take_submitted();
  send_completion(true, {{"X-Request-Id", "same"}});
  const auto second = take_submitted();
  EXPECT_NE(first.message.request_id, second.message.request_id);
  send_response_tokens(first, 0, {"a"});
  const auto written = take<write_stream>();
  ASSERT_EQ(written.size(), 1U);
  EXPECT_EQ(written.front().caller, first_caller);
}

// Guards against a request that is sent with the workspace's default class and timeout although its headers
// choose others.
TEST_F(caller_request_test, class_and_deadline_are_passed_to_the_agent) {
  send_completion(false, {{"X-Priority", "digest"}, {"X-Request-Timeout-Ms", "1500"}});
  const auto sent = take_submitted().message;
  EXPECT_EQ(sent.priority_class, "digest");
  EXPECT_EQ(sent.workspace, "narmada");
  EXPECT_EQ(sent.remaining_ms, 1500U);
  EXPECT_EQ(sent.expected_tokens, 101U);
}

}  // namespace
}  // namespace cuminpath::entry
