#include <gmock/gmock.h>

#include "unit_tests/operation/operation_fixture.h"

namespace cuminpath::operation {
namespace {

using ::testing::HasSubstr;

class fleet_commands : public operation_fixture {};

// Guards against a status without the other hosts when one host is unreachable.
TEST_F(fleet_commands, status_shows_every_host_and_marks_unreachable_ones) {
  const run_result text = run({"status"});
  EXPECT_EQ(text.code, exit_code::success);
  EXPECT_THAT(text.out, HasSubstr("draining"));
  EXPECT_THAT(text.out, HasSubstr("not reachable"));
  const json processes = run({"status", "--json"}).document()["processes"];
  ASSERT_EQ(processes.size(), 3U);
  EXPECT_EQ(processes[1]["status"]["queued"], 4);
  EXPECT_EQ(processes[2]["reachable"], false);
  run({"manifest", "apply", write_manifest(1)});
  EXPECT_THAT(run({"manifest", "status"}).out, HasSubstr("version 1: 2 processes\n"));
}

// Guards against a merged timeline that is not in causal order, or that fails on malformed events.
TEST_F(fleet_commands, timeline_merges_by_time) {
  const json events = run({"timeline", "--json"}).document()["events"];
  std::vector<std::uint64_t> times;
  for (const json& event : events) {
    times.push_back(event["time"]);
  }
  EXPECT_EQ(times, (std::vector<std::uint64_t>{1000, 1001, 1002, 1003, 1004, 1005}));
  EXPECT_EQ(run({"timeline", "--json", "--limit", "2"}).document()["events"].size(), 2U);
}

// Guards against a drain without the operator key, and against an exit code that does not show the cause.
TEST_F(fleet_commands, drain_requires_the_key_and_a_listed_reachable_host) {
  EXPECT_EQ(run({"drain", "e1"}).code, exit_code::success);
  EXPECT_EQ(run({"drain", "e1", "--operator-key-file", write_file("key", "secret\n")}, "").code,
            exit_code::success);
  const run_result wrong = run({"drain", "e1"}, "wrong");
  EXPECT_EQ(wrong.code, exit_code::failure);
  EXPECT_THAT(wrong.err, HasSubstr("status 401: the operator key is missing or wrong"));
  EXPECT_EQ(run({"drain", "e1"}, "").code, exit_code::usage);
  EXPECT_EQ(run({"drain", "nobody"}).code, exit_code::failure);
  EXPECT_EQ(run({"drain", "gone"}).code, exit_code::unreachable);
}

// Guards against expert-map requests that go to another process than the coordinator of the group.
TEST_F(fleet_commands, expert_map_requests_go_to_rank_0_of_the_group) {
  run({"manifest", "apply", write_manifest(1)});
  EXPECT_EQ(run({"expert-map", "show", "g", "--json"}).document()["target"], "/expert-map");
  EXPECT_EQ(run({"expert-map", "plan", "g"}).code, exit_code::success);
  EXPECT_EQ(run({"expert-map", "apply", "g"}).code, exit_code::conflict);
  EXPECT_EQ(run({"expert-map", "show", "none"}).code, exit_code::failure);
}

// Guards against a command that reports success although no process could be queried.
TEST_F(fleet_commands, no_response_from_any_process_is_exit_code_4) {
  control(m_hosts_url, {{"down", true}});
  EXPECT_EQ(run({"status"}).code, exit_code::unreachable);
  control(m_hosts_url, {{"down", false}, {"hosts", {{{"name", "x"}, {"role", "agent"}}}}});
  EXPECT_EQ(run({"timeline"}).code, exit_code::unreachable);
}

}  // namespace
}  // namespace cuminpath::operation
