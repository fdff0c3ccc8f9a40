#include "core/operation/explain.h"

#include <gmock/gmock.h>

#include "unit_tests/operation/operation_fixture.h"

namespace cuminpath::operation {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

// Responds like a gateway on its metrics address, and records the headers that it receives.
class fake_gateway final : public emulator::role {
public:
  fake_gateway(std::string name, json upstream) : m_name(std::move(name)), m_upstream(std::move(upstream)) {}
  void handle(const http::request& request, const emulator::responder_ptr& to) override {
    headers = request.headers;
    json service{{"service", "chat"},
                 {"outcome", "placed"},
                 {"probability", 1.0},
                 {"outstanding", 3},
                 {"slots", 10},
                 {"counts", {{"eligible", 1}}},
                 {"limits", {{"max_utilization", 1.0}}},
                 {"upstreams_not_listed", 0}};
    service["upstreams"] = json::array({m_upstream});
    emulator::respond_json(to, request.path() == "/explain" ? 200 : 404,
                           {{"gateway", m_name}, {"rank", 1}, {"services", json::array({service})}});
  }
  [[nodiscard]] json stats() const override { return json::object(); }
  std::optional<std::string> control(const json&) override { return std::nullopt; }

  http::header_list headers;

private:
  std::string m_name;
  json m_upstream;
};

json upstream(const json& excluded, int local_requests) {
  return {{"id", "e-1"},
          {"excluded", excluded},
          {"availability_zone", "z"},
          {"slots", 10},
          {"local_requests", local_requests},
          {"requests_of_other_gateways", 3 - local_requests}};
}

class explain_command : public operation_fixture {
protected:
  explain_command() {
    for (fake_gateway* role : {&m_first, &m_second, &m_third}) {
      m_servers.push_back(
          std::move(emulator::emulator_server::start(m_context, "127.0.0.1:0", *role).value()));
      m_addresses.push_back(m_servers.back()->address());
    }
  }
  run_result explain(std::vector<std::string> more) const {
    std::vector<std::string> arguments{"explain", "--host", "h", "--path", "/v1/x"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return run(arguments);
  }

  fake_gateway m_first{"g-1", upstream(json(), 1)};
  fake_gateway m_second{"g-2", upstream("silent", 1)};
  fake_gateway m_third{"g-3", upstream(json(), 2)};
  std::vector<std::string> m_addresses;
};

// Guards against a table that hides where gateways differ, and against one that marks numbers which always
// differ.
TEST_F(explain_command, marks_the_rows_in_which_gateways_differ) {
  const run_result result = explain({"--at", m_addresses[0], "--at", m_addresses[1]});
  EXPECT_EQ(result.code, exit_code::success);
  EXPECT_THAT(result.out, HasSubstr("* chat: e-1"));
  EXPECT_THAT(result.out, HasSubstr("silent, 1+2 of 10 in z"));
  EXPECT_THAT(result.out, HasSubstr("  rank"));
  EXPECT_THAT(explain({"--at", m_addresses[0], "--at", m_addresses[2]}).out, Not(HasSubstr("*")));
  const json document = explain({"--at", m_addresses[0], "--json"}).document();
  EXPECT_EQ(document["gateways"][0]["explanation"]["gateway"], "g-1");
}

// Guards against a gateway without an answer that hides the others or goes unnoticed by scripts.
TEST_F(explain_command, shows_the_other_gateways_if_one_does_not_answer) {
  const run_result result = explain({"--at", "127.0.0.1:1", "--at", m_addresses[0]});
  EXPECT_EQ(result.code, exit_code::unreachable);
  EXPECT_THAT(result.err, HasSubstr("127.0.0.1:1"));
  EXPECT_THAT(result.out, HasSubstr("g-1"));
}

// Guards against an API key in the target of the page, where it would be logged, or in the output (which
// run() checks), and against headers that do not reach the gateway.
TEST_F(explain_command, sends_key_and_headers_of_the_request_in_headers) {
  const auto sent = explain({"--at", m_addresses[0], "--key-file", write_file("key", "secret\n"), "--header",
                             "Model: m-1", "--method", "POST"});
  EXPECT_EQ(sent.code, exit_code::success);
  const auto header = [this](std::string_view name) {
    return std::string(http::find_header(m_first.headers, name).value_or(""));
  };
  EXPECT_EQ(header("X-Explain-Key"), "secret");
  EXPECT_EQ(header("X-Explain-Header-Model"), "m-1");
  EXPECT_EQ(header("X-Explain-Method"), "POST");
  EXPECT_EQ(header("X-Explain-Host"), "h");
  EXPECT_EQ(header("X-Explain-Path"), "/v1/x");
}

// Guards against a request that is sent although it is not described, or with an injected header.
TEST_F(explain_command, rejects_incomplete_or_malformed_descriptions) {
  const std::string& at = m_addresses[0];
  EXPECT_EQ(explain({}).code, exit_code::usage);
  EXPECT_EQ(run({"explain", "--at", at, "--path", "/x"}).code, exit_code::usage);
  EXPECT_EQ(run({"explain", "--at", at, "--host", "h", "--path", "x"}).code, exit_code::usage);
  EXPECT_EQ(explain({"--at", at, "--header", "no value"}).code, exit_code::usage);
  EXPECT_EQ(explain({"--at", at, "--header", "A: b\r\nC: d"}).code, exit_code::usage);
  EXPECT_EQ(explain({"--at", at, "--workspace", "w", "--key-file", write_file("key", "secret")}).code,
            exit_code::usage);
  EXPECT_TRUE(m_first.headers.empty());
}

}  // namespace
}  // namespace cuminpath::operation
