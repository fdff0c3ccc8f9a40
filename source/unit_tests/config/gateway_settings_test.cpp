#include "core/config/gateway_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cuminpath::config {
namespace {

using ::testing::HasSubstr;

parsed_gateway_settings parse(const std::string& further_lines) {
  return parse_gateway_settings(R"(role = "gateway"
name = "g"
availability_zone = "z"
address = "127.0.0.1:1"
ready_address = "127.0.0.1:2"
directory_address = "127.0.0.1:3"
mirror_address = "127.0.0.1:4"
report_address = "127.0.0.1:5"
store_url = "http://127.0.0.1:6"
)" + further_lines,
                                "s.toml");
}

// A fraction made the text an invalid integer, and the gateway did not start.
TEST(parse_gateway_settings, reads_a_grace_period_with_a_fraction) {
  struct {
    const char* line;
    milliseconds expected;
  } const cases[] = {{"", milliseconds{8000}},
                     {"grace_s = 7.5", milliseconds{7500}},
                     {"grace_s = 8", milliseconds{8000}},
                     {"grace_s = 0.5", milliseconds{500}},
                     {"grace_ms = 7500", milliseconds{7500}}};
  for (const auto& [line, expected] : cases) {
    const auto parsed = parse(line);
    EXPECT_TRUE(parsed.errors.empty()) << line << ": " << to_string(parsed.errors.front());
    EXPECT_EQ(parsed.value.shutdown_grace, expected) << line;
  }
}

TEST(parse_gateway_settings, reports_an_impossible_grace_period) {
  struct {
    const char* lines;
    const char* expected;
  } const cases[] = {{"grace_s = 8\ngrace_ms = 8000", "s.toml:10: grace_s: must not be given with grace_ms"},
                     {"grace_s = 0", "s.toml:10: grace_s: must be from 0.5 to 3600"},
                     {"grace_s = 1e300", "s.toml:10: grace_s: must be from 0.5 to 3600"},
                     {"grace_s = nan", "s.toml:10: grace_s: not a finite number"},
                     {"grace_s = \"8\"", "s.toml:10: grace_s:"},
                     {"grace_ms = 7.5", "s.toml:10: grace_ms:"},
                     {"grace_ms = 0", "s.toml:10: grace_ms:"}};
  for (const auto& [lines, expected] : cases) {
    const auto errors = parse(lines).errors;
    ASSERT_EQ(errors.size(), 1U) << lines;
    EXPECT_THAT(to_string(errors.front()), HasSubstr(expected));
  }
}

TEST(parse_gateway_settings, second_attempts_are_off_unless_a_share_is_given) {
  EXPECT_EQ(parse("").value.second_attempt_share, 0);
  EXPECT_EQ(parse("").value.second_attempt_token_share, 0);
  const auto parsed = parse("second_attempt_share = 0.02\nsecond_attempt_token_share = 0.01");
  EXPECT_TRUE(parsed.errors.empty());
  EXPECT_EQ(parsed.value.second_attempt_share, 0.02);
  EXPECT_EQ(parsed.value.second_attempt_token_share, 0.01);
  for (const char* line :
       {"second_attempt_share = 1.5", "second_attempt_token_share = -0.1", "second_attempt_share = \"2%\""}) {
    EXPECT_EQ(parse(line).errors.size(), 1U) << line;
  }
}

TEST(parse_gateway_settings, workspace_shares_are_off_unless_enabled) {
  EXPECT_FALSE(parse("").value.workspace_shares);
  EXPECT_TRUE(parse("workspace_shares = true").value.workspace_shares);
  EXPECT_EQ(parse("workspace_shares = 1").errors.size(), 1U);
}

// Guards against requests that wait without the operator's consent, and against waits beyond the target.
TEST(parse_gateway_settings, nothing_waits_in_the_admission_queue_unless_a_share_is_given) {
  EXPECT_EQ(parse("").value.admission_queue_share, 0);
  EXPECT_EQ(parse("").value.admission_queue_requests, 256U);
  const auto parsed = parse("admission_queue_share = 0.35\nadmission_queue_requests = 64");
  EXPECT_TRUE(parsed.errors.empty());
  EXPECT_EQ(parsed.value.admission_queue_share, 0.35);
  EXPECT_EQ(parsed.value.admission_queue_requests, 64U);
  for (const char* line : {"admission_queue_share = 1.5", "admission_queue_requests = 0"}) {
    EXPECT_EQ(parse(line).errors.size(), 1U) << line;
  }
}

// Guards against limits that the platform writes in another form, and against ones that mean nothing.
TEST(parse_gateway_settings, checks_the_limits_of_the_process) {
  const auto valid = parse("memory_limit_mb = 112.5\nmax_descriptors = 2870");
  EXPECT_TRUE(valid.errors.empty());
  EXPECT_EQ(valid.value.memory_limit_mb, 112.5);
  EXPECT_EQ(valid.value.max_descriptors, 2870U);
  EXPECT_TRUE(parse("memory_limit_mb = 112").errors.empty());
  for (const char* line : {"memory_limit_mb = 0", "memory_limit_mb = -1", "memory_limit_mb = \"112\"",
                           "max_descriptors = 0", "max_descriptors = 1e9", "max_descriptors = 63"}) {
    EXPECT_EQ(parse(line).errors.size(), 1U) << line;
  }
}

}  // namespace
}  // namespace cuminpath::config
