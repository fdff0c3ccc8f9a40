// Checks that a workspace above its share is refused while slots are scarce, and that nothing changes if
// shares are off.

#include <gmock/gmock.h>

#include "proxy_fixture.h"

namespace cuminpath::proxy {
namespace {

using ::testing::HasSubstr;
using ::testing::StartsWith;

class workspace_shares_of_callers : public proxy_fixture {
protected:
  workspace_shares_of_callers() {
    auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
    configuration->workspaces.push_back({.name = "beta"});
    configuration->workspace_of_key["other"] = 1;
    configuration->build_index();
    m_state.configuration = std::move(configuration);
    use_engine();
    add_upstream("i-1", [](auto, const auto&) { return upstream_action{response_text("a", "")}; });
    // Workspace "alpha", whose key the fixture's requests have, has got more slots than "beta".
    const time_point before = clock::now() - seconds{1};
    record("alpha", 20, 10, before);
    record("beta", 20, 2, before);
  }

  void record(std::string_view workspace, double requested, double admitted, time_point at) {
    auto& shares = m_state.workspace_shares["s"];
    shares.on_request({.workspace = workspace, .cost = requested}, at);
    shares.on_admitted({.workspace = workspace, .cost = admitted}, at);
  }
  void use_slots(std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      m_state.upstreams.on_started("i-1", clock::now());
    }
  }
  std::string call_with_key(std::string_view key, std::string_view extra_headers = "") {
    std::string bytes = request("GET", "/safe/x", "a", extra_headers);
    bytes.replace(bytes.find("secret"), std::string_view("secret").size(), key);
    return call(bytes, is_complete).bytes;
  }
};

TEST_F(workspace_shares_of_callers, refuse_the_one_above_its_share_while_slots_are_scarce) {
  m_state.enable_workspace_shares(true);
  use_slots(3);
  const auto refused = call_with_key("secret");
  EXPECT_THAT(refused, StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(refused, HasSubstr("workspace uses more than its share"));
  EXPECT_THAT(refused, HasSubstr("not_run"));
  EXPECT_THAT(refused, HasSubstr("Retry-After: "));
  EXPECT_TRUE(m_upstreams.front()->requests().empty());
  EXPECT_THAT(m_state.metrics.prometheus_text(), HasSubstr("reason=\"workspace_share\""));
  EXPECT_THAT(call_with_key("other"), StartsWith("HTTP/1.1 200"));
  // The rest of a stream that has begun.
  EXPECT_THAT(call_with_key("secret", "Last-Event-Id: 8\r\n"), StartsWith("HTTP/1.1 200"));
}

TEST_F(workspace_shares_of_callers, refuse_nobody_while_slots_are_free) {
  m_state.enable_workspace_shares(true);
  use_slots(1);
  EXPECT_THAT(call_with_key("secret"), StartsWith("HTTP/1.1 200"));
}

TEST_F(workspace_shares_of_callers, have_no_effect_if_off) {
  use_slots(3);
  EXPECT_THAT(call_with_key("secret"), StartsWith("HTTP/1.1 200"));
}

// Guards against a share that no request is charged to, which would refuse nobody.
TEST_F(workspace_shares_of_callers, are_charged_for_the_tokens_of_requests) {
  m_state.enable_workspace_shares(true);
  auto& shares = m_state.workspace_shares["s"];
  shares = {};
  record("beta", 100, 10, clock::now());
  EXPECT_THAT(call_with_key("secret", "X-Token-Counts: 60,40\r\n"), StartsWith("HTTP/1.1 200"));
  const time_point later = clock::now() + seconds{1};
  EXPECT_FALSE(shares.may_admit({.workspace = "alpha"}, 1, later));
  EXPECT_TRUE(shares.may_admit({.workspace = "beta"}, 1, later));
}

}  // namespace
}  // namespace cuminpath::proxy
