#include <gtest/gtest.h>

#include "core/common/hash.h"
#include "core/common/json.h"
#include "core/common/random.h"
#include "core/config/manifest_parser.h"
#include "unit_tests/config/sample.h"
#include "unit_tests/support/property.h"

namespace cuminpath::config {
namespace {

manifest random_manifest(std::uint64_t seed) {
  random_source random(seed);
  manifest value;
  const std::size_t classes = 1 + random() % 3;
  for (std::size_t i = 0; i < classes; ++i) {
    value.classes.push_back({"c" + std::to_string(i), static_cast<std::uint32_t>(i),
                             milliseconds(random() % 1000), milliseconds(random() % 1000),
                             static_cast<double>(random() % 1000) / 7,
                             0.3 / static_cast<double>(1 + random() % 9)});
  }
  value.models.push_back({"m", 2, 8, random() >> 1U, 100});
  value.services.push_back({"s", {{"*", "/x\u00e9", random() % 2 == 0}}});
  const std::size_t workspaces = random() % 50;
  for (std::size_t i = 0; i < workspaces; ++i) {
    value.workspaces.push_back({"w" + std::to_string(i),
                                {sha256_hex(std::to_string(i))},
                                static_cast<double>(1 + random() % 100) / 3,
                                {"c0"},
                                "c0"});
  }
  const std::size_t upstreams = random() % 200;
  for (std::size_t i = 0; i < upstreams; ++i) {
    const bool engine = random() % 2 == 0;
    value.upstreams.push_back({"u" + std::to_string(random()), "h" + std::to_string(i),
                               engine ? upstream_kind::engine : upstream_kind::service, engine ? "m" : "s",
                               "", 0, static_cast<std::uint32_t>(1 + random() % 9), random() % 2 == 0});
  }
  return value;
}

// Guards against a manifest that changes when it is split into sections and joined again.
TEST(sections, join_restores_a_split_manifest) {
  EXPECT_TRUE(support::check_property(100, [](std::uint64_t seed) {
    const manifest value = random_manifest(seed);
    const sections parts = split_into_sections(value);
    const auto joined = join_sections(parts.index, parts.contents);
    RC_ASSERT(joined.has_value());
    RC_ASSERT(diff(value, joined.value()).empty());
    RC_ASSERT(split_into_sections(joined.value()).index == parts.index);
  }));
}

// Guards against cached rows that hide a change or a missing section.
TEST(sections, a_reused_joiner_gives_the_same_result_as_a_new_one) {
  EXPECT_TRUE(support::check_property(50, [](std::uint64_t seed) {
    manifest_joiner reused;
    manifest value = random_manifest(seed);
    for (std::uint32_t step = 1; step <= 4; ++step) {
      const sections parts = split_into_sections(value);
      const auto joined = reused.join(parts.index, parts.contents);
      RC_ASSERT(joined.has_value());
      RC_ASSERT(diff(value, joined.value()).empty());
      for (upstream& changed : value.upstreams) {
        changed.slots += hash64(changed.name, step) % 3 == 0 ? 1 : 0;
      }
      value.classes[0].worth += step;
      RC_ASSERT(!reused.join(split_into_sections(value).index, parts.contents).has_value());
    }
  }));
}

// Guards against corrupted content that is accepted or that crashes the process.
TEST(sections, corrupted_content_is_an_error) {
  EXPECT_TRUE(support::check_property(100, [](std::uint64_t seed) {
    random_source random(seed);
    const sections parts = split_into_sections(random_manifest(seed));
    std::map<std::string, std::string> contents = parts.contents;
    auto& corrupted =
        std::next(contents.begin(), static_cast<std::ptrdiff_t>(random() % contents.size()))->second;
    corrupted[random() % corrupted.size()] ^= static_cast<char>(1 + random() % 127);
    RC_ASSERT(!join_sections(parts.index, contents).has_value());
    std::string index = parts.index;
    index[random() % index.size()] ^= static_cast<char>(1 + random() % 127);
    static_cast<void>(join_sections(index, parts.contents));
    static_cast<void>(referenced_digests(index));
  }));
}

// Guards against accepting content that matches its digest but has malformed rows or undefined names.
TEST(sections, content_that_fails_the_checks_is_an_error) {
  for (const char* rows :
       {"{}", "[1]", "[{\"name\":7}]", "[{\"name\":\"c\",\"rank\":-1}]",
        "[{\"name\":\"c\",\"rank\":5000000000}]", "[{\"name\":\"c\",\"floor\":2}]", "[]"}) {
    sections parts = split_into_sections(parse_manifest(k_sample_manifest, "m").value);
    json index = parse_json(parts.index).value();
    index["classes"] = sha256_hex(rows);
    parts.contents[sha256_hex(rows)] = rows;
    EXPECT_FALSE(join_sections(index.dump(), parts.contents).has_value()) << rows;
  }
}

// Guards against a change to one upstream that transfers a large part of a large manifest.
TEST(sections, a_change_of_one_upstream_of_12000_changes_one_small_section) {
  manifest value = parse_manifest(k_sample_manifest, "m").value;
  for (int i = 0; i < 12000; ++i) {
    value.upstreams.push_back({"engine-zone-1-" + std::to_string(i), "host-zone-1-" + std::to_string(i),
                               upstream_kind::engine, "reminder", "", 0, 16, true});
  }
  const sections before = split_into_sections(value);
  value.upstreams[6000].slots = 17;
  const sections after = split_into_sections(value);
  std::size_t bytes = 0;
  std::size_t changed = 0;
  for (const auto& [digest, content] : after.contents) {
    if (!before.contents.contains(digest)) {
      bytes += content.size();
      ++changed;
    }
  }
  EXPECT_EQ(changed, 1U);
  EXPECT_LT(bytes, 12'000U);
  EXPECT_LT(after.index.size(), 24'000U);
  std::printf("index %zu bytes, changed section %zu bytes, %zu sections\n", after.index.size(), bytes,
              after.contents.size());
}

}  // namespace
}  // namespace cuminpath::config
