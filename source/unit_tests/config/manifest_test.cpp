#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "core/common/random.h"
#include "core/config/manifest_parser.h"
#include "unit_tests/config/sample.h"
#include "unit_tests/support/property.h"

namespace cuminpath::config {
namespace {

using ::testing::HasSubstr;
using ::testing::IsEmpty;

std::string errors_of(const std::string& text) {
  std::string all;
  for (const diagnostic& error : parse_manifest(text, "m.toml").errors) {
    all += to_string(error) + "\n";
  }
  return all;
}

// Guards against a parser that loses or changes values of a manifest.
TEST(parse_manifest, reads_every_table) {
  const parsed_manifest parsed = parse_manifest(k_sample_manifest, "m.toml");
  ASSERT_THAT(errors_of(k_sample_manifest), IsEmpty());
  EXPECT_EQ(parsed.value.classes[0].first_token_target, milliseconds(900));
  EXPECT_EQ(parsed.value.workspaces[0].share, 2);
  EXPECT_EQ(parsed.value.upstreams[2].kind, upstream_kind::service);
  EXPECT_TRUE(parsed.value.upstreams[1].checks_fencing);
  const service& bookings = parsed.value.services[0];
  EXPECT_TRUE(may_repeat(bookings, "POST", "/quote/1"));
  EXPECT_FALSE(may_repeat(bookings, "GET", "/book"));
  EXPECT_TRUE(may_repeat(bookings, "GET", "/other"));
  EXPECT_FALSE(may_repeat(bookings, "POST", "/other"));
}

struct error_case {
  const char* from;
  const char* to;
  const char* expected;
};

// Guards against accepting an invalid manifest, and against an error report with the wrong line or key.
TEST(parse_manifest, reports_each_error_with_line_and_key) {
  const error_case cases[] = {
      {"worth = 10", "wroth = 10", "m.toml:5: priority_class.wroth: unknown key"},
      {"rank = 0", "rank = \"0\"", "m.toml:3: priority_class.rank: expected integer, found string"},
      {"rank = 0", "rank = -1", "m.toml:3: priority_class.rank: -1 is not in 0..1000000"},
      {"floor = 0.5", "floor = 0.95",
       "priority_class.floor: the floors of all classes add up to more than 1"},
      {"floor = 0.5", "floor = -0.5", "m.toml:6: priority_class.floor: must be in 0..1"},
      {"floor = 0.5", "floor = nan", "m.toml:6: priority_class.floor: not a finite number"},
      {"model = \"reminder\"", "model = \"x\"", "m.toml:18: group.model: no model \"x\""},
      {"ranks = 2", "ranks = 3",
       "m.toml:19: group.ranks: upstreams for 1 of the ranks of group \"g\" are missing"},
      {"rank = 1\nslots", "rank = 0\nslots", "upstream.rank: rank 0 of group \"g\" is taken twice"},
      {"rank = 1\nslots", "rank = 2\nslots", "upstream.rank: outside the 2 ranks of the group"},
      {"share = 2", "share = 0", "m.toml:33: workspace.share: must be positive"},
      {"\"urgent\", \"digest\"", "\"urgent\", \"x\"",
       "m.toml:34: workspace.classes: no priority class \"x\""},
      {"default_class = \"digest\"", "default_class = \"x\"",
       "m.toml:35: workspace.default_class: \"x\" is not in"},
      {"ba78", "BA78", "workspace.key_sha256: must be 64 lower-case hexadecimal digits"},
      {"slots = 4", "slots = 0", "upstream.slots: 0 is not in 1..1000000"},
      {"slots = 4", "", "m.toml:53: upstream.slots: missing"},
      {"service = \"bookings\"", "service = \"x\"", "upstream.service: no service \"x\""},
      {"service = \"bookings\"", "service = \"bookings\"\nmodel = \"reminder\"",
       "upstream.model: unknown key"},
      {"group = \"g\"", "group = \"x\"", "upstream.group: no group \"x\""},
      {"name = \"e1\"", "name = \"e0\"", "m.toml:45: upstream.name: duplicate name \"e0\""},
      {"host = \"h1\"", "host = \"h0\"", "m.toml:46: upstream.host: host already has upstream \"e0\""},
      {"kind = \"service\"", "kind = \"x\"", "upstream.kind: must be \"engine\" or \"service\""},
      {"name = \"bookings\"", "name = \"a/b\"", "m.toml:21: service.name: must not contain"},
      {"[[group]]", "[group]", "m.toml:16: group: expected array of tables, found table"},
      {"[[model]]", "[[modle]]", "m.toml:11: modle: unknown key"},
      {"rank = 0", "rank = = 0", "m.toml:3: "},
  };
  for (const error_case& test_case : cases) {
    EXPECT_THAT(errors_of(replaced(k_sample_manifest, test_case.from, test_case.to)),
                HasSubstr(test_case.expected))
        << test_case.to;
  }
}

// Guards against a check that stops at the first error, and against accepting a key in two workspaces.
TEST(parse_manifest, reports_all_errors_at_once) {
  std::string text = replaced(k_sample_manifest, "share = 2", "share = -1\nextra = 1");
  text = replaced(text, "classes = [\"urgent\", \"digest\"]", "classes = [\"x\", \"y\"]");
  const std::size_t begin = k_sample_manifest.find("[[workspace]]");
  const std::size_t end = k_sample_manifest.find("[[upstream]]");
  text += replaced(k_sample_manifest.substr(begin, end - begin), "narmada", "other");
  const std::string errors = errors_of(text);
  for (const char* expected :
       {"workspace.share: must be positive", "workspace.extra: unknown key", "class \"x\"", "class \"y\"",
        "the same key belongs to workspace \"narmada\""}) {
    EXPECT_THAT(errors, HasSubstr(expected));
  }
}

// Guards against malicious text that exhausts the stack or uses unbounded memory.
TEST(parse_manifest, rejects_deep_nesting_and_oversized_text) {
  std::string dotted;
  for (int i = 0; i < 100000; ++i) {
    dotted += "a.";
  }
  EXPECT_THAT(errors_of("\n" + dotted + "a = 1"), HasSubstr("m.toml:2: a key has more than"));
  EXPECT_THAT(errors_of("a = {" + dotted + "a = 1}"), HasSubstr("a key has more than"));
  EXPECT_FALSE(errors_of("a = " + std::string(100000, '[')).empty());
  EXPECT_THAT(errors_of(std::string(k_max_manifest_bytes + 1, '\n')), HasSubstr("larger than"));
}

// Guards against text that crashes the process, and against accepting a manifest that cannot be split into
// sections and joined again.
TEST(parse_manifest, handles_random_corruption) {
  EXPECT_TRUE(support::check_property(3000, [](std::uint64_t seed) {
    random_source random(seed);
    const std::string tokens = "\"'[]{}=.,#\n\\ a0-\xff";
    std::string text = k_sample_manifest;
    for (int edit = 0; edit < 4; ++edit) {
      const std::size_t at = random() % text.size();
      text.replace(at, random() % 4, 1, tokens[random() % tokens.size()]);
    }
    const parsed_manifest parsed = parse_manifest(text, "m.toml");
    if (parsed.errors.empty()) {
      const sections parts = split_into_sections(parsed.value);
      RC_ASSERT(join_sections(parts.index, parts.contents).has_value());
    }
  }));
}

// Guards against a diff that misses a change or reports a mere change of order.
TEST(diff, names_each_change_and_ignores_order) {
  const manifest from = parse_manifest(k_sample_manifest, "m").value;
  manifest to = from;
  std::swap(to.upstreams[0], to.upstreams[2]);
  EXPECT_THAT(diff(from, to), IsEmpty());
  to.upstreams[0].name = "s1";
  to.workspaces[0].share = 3;
  EXPECT_EQ(diff(from, to), (std::vector<std::string>{"~ workspace narmada: share 2.0 -> 3.0",
                                                      "- upstream s0", "+ upstream s1"}));
}

}  // namespace
}  // namespace cuminpath::config
