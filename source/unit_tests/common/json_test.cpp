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

}  // namespace
}  // namespace cuminpath
