#include "core/common/json.h"

#include <gtest/gtest.h>

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
TEST(parse_json, refuses_malformed_text) {
  EXPECT_FALSE(parse_json("{} {}").has_value());
  EXPECT_FALSE(parse_json("{\"a\":").has_value());
  EXPECT_FALSE(parse_json("").has_value());
}

TEST(parse_msgpack, refuses_deep_nesting) {
  const auto nested = [](int depth) { return std::string(depth, '\x91') + '\x01'; };
  EXPECT_TRUE(parse_msgpack(nested(k_max_json_depth)).has_value());
  EXPECT_FALSE(parse_msgpack(nested(k_max_json_depth + 1)).has_value());
  EXPECT_FALSE(parse_msgpack(nested(1'000'000)).has_value());
  EXPECT_FALSE(parse_msgpack(std::string(1'000'000, '\x91')).has_value());
  EXPECT_TRUE(parse_msgpack("\x93\x90\x81\xa1k\x90\x90").has_value());
}

TEST(parse_msgpack, refuses_malformed_bytes) {
  EXPECT_FALSE(parse_msgpack("").has_value());
  EXPECT_FALSE(parse_msgpack("\x92\x01").has_value());
  EXPECT_FALSE(parse_msgpack("\x01\x01").has_value());
  EXPECT_FALSE(parse_msgpack("\xdf\xff\xff\xff\xff\xa1k").has_value());
}

}  // namespace
}  // namespace cuminpath
