#include "core/config/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "unit_tests/config/sample.h"

namespace cuminpath::config {
namespace {

using ::testing::HasSubstr;

const std::string k_settings = R"(role = "agent"
name = "agent-1"
host = "h1"
availability_zone = "bharuch"
peer_address = "127.0.0.1:0"
admin_address = "[::1]:8001"
operator_key_sha256 = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
seed_peers = ["127.0.0.1:9000"]
[platform]
table = "http://127.0.0.1:1"
objects = "http://127.0.0.1:2"
hosts = "http://127.0.0.1:3"
[agent]
upstream_url = "http://127.0.0.1:4"
[log]
level = "warning"
subsystems = { router = "debug" }
)";

std::string errors_of(const std::string& text) {
  std::string all;
  for (const diagnostic& error : parse_settings(text, "s.toml").errors) {
    all += to_string(error) + "\n";
  }
  return all;
}

// Guards against lost settings and against defaults that differ from the declared ones.
TEST(parse_settings, reads_values_and_keeps_defaults) {
  const parsed_settings parsed = parse_settings(k_settings, "s.toml");
  EXPECT_EQ(errors_of(k_settings), "");
  EXPECT_EQ(parsed.value.kind, role::agent);
  EXPECT_EQ(parsed.value.agent.upstream_url, "http://127.0.0.1:4");
  EXPECT_EQ(parsed.value.agent.max_queued, 10000U);
  EXPECT_EQ(parsed.value.agent.expert_interval, milliseconds(60000));
  EXPECT_EQ(parsed.value.agent.expert_spare_slots, 1U);
  EXPECT_EQ(parsed.value.agent.weight_store_bytes_per_s, 1'000'000'000U);
  EXPECT_EQ(parsed.value.entry.entries_ttl, milliseconds(30000));
  EXPECT_EQ(parsed.value.log.subsystems.at("router"), "debug");
}

struct error_case {
  const char* from;
  const char* to;
  const char* expected;
};

// Guards against a daemon that starts with settings that it does not understand.
TEST(parse_settings, reports_each_error_with_line_and_key) {
  const error_case cases[] = {
      {"role = \"agent\"", "role = \"x\"", "s.toml:1: role: must be"},
      {"role = \"agent\"", "role = \"entry\"", "address: missing"},
      {"name = \"agent-1\"", "name = \"\"", "s.toml:2: name: must not be empty"},
      {"name = \"agent-1\"", "nmae = \"a\"", "s.toml:2: nmae: unknown key"},
      {"127.0.0.1:0", "localhost:0", "s.toml:5: peer_address: must be IP:PORT"},
      {"8001", "80010", "s.toml:6: admin_address: must be IP:PORT"},
      {"ba78", "zz78", "s.toml:7: operator_key_sha256: must be 64"},
      {"127.0.0.1:9000", "peer", "s.toml:8: seed_peers: \"peer\" is not IP:PORT"},
      {"http://127.0.0.1:2", "https://x", "s.toml:11: platform.objects: must be http://IP:PORT"},
      {"upstream_url = \"http://127.0.0.1:4\"", "max_queued = 0", "agent.max_queued: 0 is not in 1.."},
      {"upstream_url = \"http://127.0.0.1:4\"", "expert_interval_ms = -1",
       "agent.expert_interval_ms: -1 is not in 0.."},
      {"upstream_url = \"http://127.0.0.1:4\"", "weight_store_bytes_per_s = 0",
       "agent.weight_store_bytes_per_s: 0 is not in 1.."},
      {"upstream_url = \"http://127.0.0.1:4\"", "", "s.toml:13: agent.upstream_url: missing"},
      {"\"warning\"", "\"loud\"", "s.toml:16: log.level: must be trace"},
      {"\"debug\"", "7", "log.subsystems.router: expected string, found integer"},
  };
  for (const auto& test_case : cases) {
    EXPECT_THAT(errors_of(replaced(k_settings, test_case.from, test_case.to)), HasSubstr(test_case.expected));
  }
  EXPECT_THAT(errors_of("a = 1\nb = 2"), HasSubstr("s.toml:2: b: unknown key"));
  EXPECT_THAT(errors_of(std::string(100000, ' ')), HasSubstr("larger than"));
}

}  // namespace
}  // namespace cuminpath::config
