#include "core/common/json.h"

#include <gtest/gtest.h>

#include "unit_tests/support/cost.h"
#include "unit_tests/support/nested_input.h"
#include "unit_tests/support/small_stack.h"

namespace cuminpath {
namespace {

// Guards against stack exhaustion by deeply nested input.
TEST(parse_json, refuses_deep_nesting) {
  const std::string at_limit = std::string(k_max_json_depth, '[') + std::string(k_max_json_depth, ']');
  EXPECT_TRUE(parse_json(at_limit).has_value());
  EXPECT_FALSE(parse_json(std::string(k_max_json_depth + 2, '[') + std::string(k_max_json_depth + 2, ']'))
                   .has_value());
  EXPECT_FALSE(parse_json(std::string(1000000, '[')).has_value());
}

// Guards against accepting text after the document or a truncated document.
TEST(parse_json, counts_brackets_outside_of_strings_only) {
  const std::string brackets(k_max_json_depth + 1, '[');
  EXPECT_TRUE(parse_json("\"" + brackets + "\""));
  EXPECT_TRUE(parse_json("[\"\\\"" + brackets + "\\\\\"]"));
  EXPECT_TRUE(parse_json("{\"" + brackets + "\":\"" + brackets + "\"}"));
  EXPECT_FALSE(parse_json("[\"\\\\\"," + brackets + std::string(brackets.size(), ']') + "]"));
}

// Guards against a process that stands still because of one message of many small objects.
TEST(parse_json, the_cost_does_not_grow_faster_than_the_text) {
  constexpr std::size_t k_bytes = 16'384;
  for (const std::string unit : {"{}", "[]", "0", "\"\"", R"({"":0})", "[{}]", R"({"a":{}})"}) {
    const auto document = [&unit](std::size_t bytes) {
      std::string text = "[" + unit;
      while (text.size() < bytes) {
        text += "," + unit;
      }
      return text + "]";
    };
    const std::string small = document(k_bytes);
    const std::string large = document(support::k_growth * k_bytes);
    EXPECT_LT(
        support::cost_ratio([&] { ASSERT_TRUE(parse_json(small)); }, [&] { ASSERT_TRUE(parse_json(large)); }),
        support::k_max_growth)
        << unit;
  }
}

TEST(parse_json, refuses_malformed_text) {
  EXPECT_FALSE(parse_json("{} {}").has_value());
  EXPECT_FALSE(parse_json("{\"a\":").has_value());
  EXPECT_FALSE(parse_json("").has_value());
}

// Guards against stack exhaustion while a document is parsed, discarded or destroyed.
TEST(parse_json, deep_nesting_does_not_exhaust_the_stack) {
  ASSERT_TRUE(support::run_on_small_stack([] {
    for (const std::size_t depth : support::k_nesting_depths) {
      for (const std::string& text : support::nested_json(depth)) {
        EXPECT_FALSE(parse_json(text)) << depth;
        EXPECT_FALSE(parse_json(R"({"a":1,"b":)" + text + R"(,"c":[1]})")) << depth;
      }
    }
  }));
}

TEST(parse_msgpack, refuses_deep_nesting) {
  const auto nested = [](int depth) { return std::string(static_cast<std::size_t>(depth), '\x91') + '\xc0'; };
  ASSERT_TRUE(support::run_on_small_stack([&] {
    EXPECT_TRUE(parse_msgpack(nested(k_max_json_depth)));
    EXPECT_FALSE(parse_msgpack(nested(k_max_json_depth + 1)));
    EXPECT_FALSE(parse_msgpack(nested(1'000'000)));
    EXPECT_FALSE(parse_msgpack(std::string(1'000'000, '\x91')));
    EXPECT_TRUE(parse_msgpack("\x93\x90\x81\xa1k\x90\x90"));
  }));
}

// Guards against a depth that grows with the number of containers.
TEST(parse_msgpack, accepts_many_containers_side_by_side) {
  const std::string bytes = std::string("\xdc\x03\xe8", 3) + [] {
    std::string items;
    for (int i = 0; i < 500; ++i) {
      items += "\x90\x80";
    }
    return items;
  }();
  const auto parsed = parse_msgpack(bytes);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed.value().size(), 1000U);
}

// Guards against accepting bytes after the document or a truncated document.
TEST(parse_msgpack, refuses_malformed_bytes) {
  EXPECT_FALSE(parse_msgpack(""));
  EXPECT_FALSE(parse_msgpack("\x01\x02"));
  EXPECT_FALSE(parse_msgpack("\x92\x01"));
  EXPECT_FALSE(parse_msgpack("\xc1"));
  EXPECT_FALSE(parse_msgpack("\xdf\xff\xff\xff\xff\xa1k"));
}

}  // namespace
}  // namespace cuminpath
