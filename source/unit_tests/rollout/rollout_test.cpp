#include "core/rollout/rollout.h"

#include <gtest/gtest.h>

#include "core/common/hash.h"
#include "core/rollout/index_delta.h"
#include "unit_tests/rollout/simulation.h"
#include "unit_tests/support/property.h"

namespace cuminpath::rollout {
namespace {

std::string replace_base(std::string delta) {
  return delta.replace(delta.find("\"d\""), 3, "\"e\"");
}

// Guards against a malformed row of the table that terminates a store reader or is accepted as a
// configuration.
TEST(parse_head, accepts_only_a_version_and_a_digest) {
  const std::string digest = sha256_hex("x");
  EXPECT_EQ(parse_head({{"version", 7}, {"index", digest}, {"token", "t"}}).value().version,
            configuration_version{7});
  for (const json& bad : {json(), json(1), json::object(), json{{"version", 0}, {"index", digest}},
                          json{{"version", -1}, {"index", digest}}, json{{"version", 1}, {"index", "x"}},
                          json{{"version", "1"}, {"index", digest}}, json{{"version", 1}, {"index", 2}}}) {
    EXPECT_FALSE(parse_head(bad).has_value()) << bad;
  }
}

// Guards against processes that select different store readers, and against more store readers than the table
// can serve.
TEST(select_store_readers, selects_three_independent_of_the_order_of_names) {
  const std::vector<std::string> names{"a", "b", "c", "d", "e"};
  const std::vector<std::string> reversed(names.rbegin(), names.rend());
  EXPECT_EQ(select_store_readers("z", names).size(), 3U);
  EXPECT_EQ(select_store_readers("z", names), select_store_readers("z", reversed));
  EXPECT_EQ(select_store_readers("z", std::vector<std::string>{"a", "a"}), std::vector<std::string>{"a"});
}

// Guards against a difference that does not restore the index that it was made from.
TEST(index_delta, restores_the_index_and_is_small) {
  const std::string from = config::split_into_sections(make_manifest(3000, 1)).index;
  const std::string to = config::split_into_sections(make_manifest(3000, 2)).index;
  const std::string delta = make_index_delta(sha256_hex(from), from, to);
  EXPECT_LT(delta.size(), 400U);
  const auto lookup = [&](std::string_view digest) {
    return digest == sha256_hex(from) ? from : std::string();
  };
  EXPECT_EQ(apply_index_delta(delta, lookup).value(), to);
  EXPECT_EQ(apply_index_delta(to, lookup).value(), to);
  EXPECT_FALSE(apply_index_delta(delta, [](std::string_view) { return std::string(); }).has_value());
}

// Guards against a section that is restored with wrong content, or without an added or removed row.
TEST(section_delta, restores_changed_added_and_removed_rows) {
  const std::string from =
      R"([{"name":"a","rank":1},{"name":"b"},{"name":"c","text":"xxxxxxxxxxxxxxxxxxxxxxxxxxxxx"}])";
  const std::string to =
      R"([{"name":"a","rank":2},{"name":"bb"},{"name":"c","text":"xxxxxxxxxxxxxxxxxxxxxxxxxxxxx"}])";
  const auto lookup = [&](std::string_view digest) { return digest == "d" ? from : std::string(); };
  const std::string delta = make_section_delta("d", from, to);
  EXPECT_TRUE(delta.starts_with('{')) << "expected a difference";
  EXPECT_EQ(apply_section_delta(delta, lookup).value(), to);
  EXPECT_EQ(apply_section_delta(to, lookup).value(), to);
  EXPECT_FALSE(apply_section_delta("{\"base\":1}", lookup).has_value());
  EXPECT_FALSE(apply_section_delta(replace_base(delta), lookup).has_value());
}

// Guards against random messages that terminate the process or bring a configuration into force.
TEST(rollout, survives_random_messages) {
  const std::string index = config::split_into_sections(make_manifest(30, 1)).index;
  const std::string delta =
      make_index_delta(sha256_hex(index), index, config::split_into_sections(make_manifest(30, 2)).index);
  EXPECT_TRUE(support::check_property(500, [&](std::uint64_t seed) {
    random_source random(seed);
    rollout core({"a", "z", true});
    std::vector<action> actions;
    for (int i = 0; i < 20; ++i) {
      std::string text = random() % 2 == 0 ? index : delta;
      text[random() % text.size()] = static_cast<char>(random() % 256);
      core.on_peer_version({}, "p", configuration_version{random() % 9}, actions);
      core.on_sections({}, "p", {configuration_version{random()}, text, {{sha256_hex("x"), "x"}, {"y", "z"}}},
                       actions);
      core.on_fetch({}, "p", {{text, ""}}, actions);
      core.on_object({}, text, text, actions);
      core.tick(time_point{} + milliseconds(i * 100), random, actions);
    }
    RC_ASSERT(core.version() == configuration_version{});
  }));
}

// Guards against an invalid manifest with matching digests that comes into force or is fetched forever, and
// against a process that does not recover with the next version.
TEST(rollout, rejects_an_invalid_manifest_and_applies_the_next_version) {
  simulation sim({.availability_zones = 1, .entries = 3, .agents = 2, .agent_links = 2}, 1);
  sim.apply(make_manifest(3, 1));
  ASSERT_LT(sim.run_until_all_up_to_date(seconds(10)), seconds(10));
  config::manifest invalid = make_manifest(3, 2);
  invalid.upstreams[1].model_or_service = "none";
  sim.apply(invalid);
  sim.run_for(seconds(5));
  for (const auto& node : sim.processes) {
    EXPECT_EQ(node.core.version(), configuration_version{1});
  }
  sim.apply(make_manifest(3, 3));
  EXPECT_LT(sim.run_until_all_up_to_date(seconds(5)), seconds(5));
}

// Guards against a process that responds with a version that it does not have.
TEST(rollout, sends_no_response_without_a_configuration) {
  rollout core({"a", "z", true});
  std::vector<action> actions;
  core.on_fetch({}, "p", {}, actions);
  EXPECT_TRUE(actions.empty());
}

// Guards against agents that add load to the table service by reading the head row.
TEST(rollout, agents_never_read_the_head_row) {
  rollout core({"a", "z", false});
  random_source random(1);
  std::vector<action> actions;
  for (int i = 0; i < 1000; ++i) {
    core.on_peer_version({}, "p", configuration_version{3}, actions);
    core.tick(time_point{} + milliseconds(10 * i), random, actions);
  }
  for (const action& next : actions) {
    EXPECT_FALSE(std::holds_alternative<read_head_row>(next));
  }
  EXPECT_LT(actions.size(), 60U) << "requests to a peer that never responds have pauses between them";
}

}  // namespace
}  // namespace cuminpath::rollout
