#include <gmock/gmock.h>

#include "core/operation/apply.h"
#include "unit_tests/operation/operation_fixture.h"

namespace cuminpath::operation {
namespace {

using ::testing::HasSubstr;

class apply_command : public operation_fixture {};

// Guards against skipped versions, a wrong history, and a diff against another version than the one in force.
TEST_F(apply_command, versions_grow_by_one_with_history_and_diff) {
  EXPECT_THAT(run({"manifest", "status"}).out, HasSubstr("no configuration"));
  EXPECT_THAT(run({"manifest", "diff", write_manifest(1)}).out, HasSubstr("+ upstream u0"));
  for (int slots = 1; slots <= 3; ++slots) {
    const run_result applied = run({"manifest", "apply", write_manifest(slots)});
    EXPECT_EQ(applied.code, exit_code::success) << applied.err;
    EXPECT_EQ(version(), static_cast<std::uint64_t>(slots));
  }
  EXPECT_THAT(run({"manifest", "apply", write_manifest(3)}).out, HasSubstr("nothing to apply"));
  EXPECT_EQ(version(), 3U);
  EXPECT_EQ(run({"manifest", "diff", write_manifest(7)}).out, "~ upstream u0: slots 3 -> 7\n");
  EXPECT_EQ(run({"manifest", "diff", write_manifest(4), write_manifest(4)}).out, "no differences\n");
  const json entries = run({"manifest", "history", "--json", "--limit", "2"}).document()["entries"];
  ASSERT_EQ(entries.size(), 2U);
  EXPECT_EQ(entries[0]["version"], 3);
  EXPECT_EQ(entries[1]["version"], 2);
  EXPECT_EQ(entries[1]["base"], 1);
  EXPECT_EQ(entries[1]["operator"], "asha");
}

// Guards against a change that overwrites another one that its author has not seen.
TEST_F(apply_command, an_outdated_base_is_a_conflict_and_changes_nothing) {
  run({"manifest", "apply", write_manifest(1)});
  run({"manifest", "apply", write_manifest(2)});
  const json before = stats(m_table_url)["writes"];
  const json objects = stats(m_objects_url)["puts"];
  const run_result outdated = run({"manifest", "apply", write_manifest(3), "--based-on", "1", "--json"});
  EXPECT_EQ(outdated.code, exit_code::conflict);
  EXPECT_EQ(outdated.document()["exit_code"], 3);
  EXPECT_THAT(outdated.err, HasSubstr("based on version 1, but version 2 is current (by asha"));
  EXPECT_EQ(stats(m_table_url)["writes"], before);
  EXPECT_EQ(stats(m_objects_url)["puts"], objects);
  EXPECT_EQ(run({"manifest", "apply", write_manifest(3), "--based-on", "2"}).code, exit_code::success);
}

// Guards against two operators who both believe that their change was accepted as the same version.
TEST_F(apply_command, exactly_one_of_concurrent_applies_succeeds) {
  run({"manifest", "apply", write_manifest(1)});
  for (std::uint64_t round = 1; round <= 5; ++round) {
    std::vector<std::string> files(4);
    for (std::size_t i = 0; i < files.size(); ++i) {
      files[i] = write_manifest(static_cast<int>(round * 10 + i));
    }
    std::vector<exit_code> codes(files.size());
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < files.size(); ++i) {
      operators.emplace_back([&, i] {
        codes[i] = run({"manifest", "apply", files[i], "--based-on", std::to_string(round)}).code;
      });
    }
    for (std::thread& thread : operators) {
      thread.join();
    }
    EXPECT_EQ(std::count(codes.begin(), codes.end(), exit_code::success), 1);
    EXPECT_EQ(std::count(codes.begin(), codes.end(), exit_code::conflict), 3);
    EXPECT_EQ(version(), round + 1);
  }
}

bool is_head(const http::request& request) {
  return request.target.ends_with("/head");
}

// Guards against an accepted change that is reported as failed, or applied twice, when responses are lost.
TEST_F(apply_command, a_lost_response_is_resolved_by_the_token) {
  int losses_left = 0;
  m_table.loses_response = [&losses_left](const http::request& request) {
    return is_head(request) && losses_left-- > 0;
  };
  for (const std::uint64_t count : {1U, 2U}) {
    losses_left = static_cast<int>(count);
    EXPECT_EQ(run({"manifest", "apply", write_manifest(static_cast<int>(count))}).code, exit_code::success);
    EXPECT_EQ(version(), count);
  }
}

// Guards against a false conflict when a response is lost and another operator applies a later version before
// the write is repeated.
TEST_F(apply_command, a_lost_response_is_resolved_after_a_later_version) {
  run({"manifest", "apply", write_manifest(1)});
  std::thread other;
  m_table.loses_response = [&other](const http::request& request) {
    return is_head(request) && !other.joinable();
  };
  m_table.after_loss = [&] {
    other = std::thread([this] { run({"manifest", "apply", write_manifest(9)}); });
  };
  const run_result applied = run({"manifest", "apply", write_manifest(2)});
  EXPECT_EQ(applied.code, exit_code::success) << applied.err;
  other.join();
  EXPECT_EQ(version(), 3U);
}

// Guards against a report of success or of "nothing was changed" when every response to the write is lost.
TEST_F(apply_command, an_undetermined_result_is_reported_as_unknown) {
  run({"manifest", "apply", write_manifest(1)});
  m_table.loses_response = is_head;
  const run_result applied = run({"manifest", "apply", write_manifest(2)});
  EXPECT_EQ(applied.code, exit_code::unreachable);
  EXPECT_THAT(applied.err, HasSubstr("it is not known whether version 2 was accepted"));
  EXPECT_EQ(version(), 2U);
}

// Guards against a command that hangs or reports success while a part of the platform is unavailable.
TEST_F(apply_command, an_outage_is_exit_code_4_and_changes_nothing) {
  run({"manifest", "apply", write_manifest(1)});
  control(m_objects_url, {{"down", true}});
  EXPECT_EQ(run({"manifest", "apply", write_manifest(2)}).code, exit_code::unreachable);
  EXPECT_EQ(run({"manifest", "diff", write_manifest(2)}).code, exit_code::unreachable);
  control(m_objects_url, {{"down", false}});
  EXPECT_EQ(version(), 1U);
  control(m_table_url, {{"down", true}});
  EXPECT_EQ(run({"manifest", "apply", write_manifest(2)}).code, exit_code::unreachable);
  EXPECT_EQ(run({"manifest", "status"}).code, exit_code::unreachable);
  EXPECT_EQ(run({"manifest", "history"}).code, exit_code::unreachable);
  control(m_table_url, {{"down", false}});
  EXPECT_EQ(version(), 1U);
}

// Guards against an invalid manifest that is written to the platform, and against a report that ends at the
// first error.
TEST_F(apply_command, an_invalid_manifest_is_rejected_with_every_error) {
  const std::string invalid = write_file("bad.toml", "[[priority_class]]\nname = \"a\"\nrank = -1\nx = 1\n");
  for (const char* verb : {"check", "apply", "diff"}) {
    const run_result rejected = run({"manifest", verb, invalid, "--json"});
    EXPECT_EQ(rejected.code, exit_code::usage);
    EXPECT_THAT(rejected.err, HasSubstr("bad.toml:3: priority_class.rank: -1 is not in"));
    EXPECT_THAT(rejected.err, HasSubstr("bad.toml:4: priority_class.x: unknown key"));
    EXPECT_EQ(rejected.document()["errors"].size(), 2U);
  }
  EXPECT_EQ(run({"manifest", "check", "/nonexistent/m.toml"}).code, exit_code::usage);
  EXPECT_EQ(run({"manifest", "check", write_manifest(1)}).code, exit_code::success);
  EXPECT_EQ(stats(m_table_url)["requests"], 0);
  EXPECT_EQ(stats(m_objects_url)["requests"], 0);
}

// Guards against a settings check that skips errors for a role, or that needs the platform.
TEST_F(apply_command, settings_of_each_role_are_checked_without_a_platform) {
  for (const char* role : {"gateway", "balancer", "entry", "agent"}) {
    const std::string invalid =
        write_file("bad.toml", std::string("role = \"") + role + "\"\nname = 5\nnonsense = 1\n");
    const run_result rejected = run({"settings", "check", invalid, "--json"});
    EXPECT_EQ(rejected.code, exit_code::usage) << role;
    EXPECT_THAT(rejected.err, HasSubstr("bad.toml:2: name: ")) << role;
    EXPECT_THAT(rejected.err, HasSubstr("bad.toml:3: nonsense: unknown key")) << role;
  }
  const std::string valid =
      write_file("good.toml",
                 "role = \"balancer\"\nname = \"b\"\nservice = \"s\"\nengine_address = \"127.0.0.1:1\"\n"
                 "report_address = \"127.0.0.1:2\"\nstore_url = \"http://127.0.0.1:3\"\n");
  EXPECT_EQ(run({"settings", "check", valid}).code, exit_code::success);
  EXPECT_EQ(run({"settings", "check", "/nonexistent/s.toml"}).code, exit_code::usage);
}

}  // namespace
}  // namespace cuminpath::operation
