#include "core/placement/expert_map.h"

#include <gtest/gtest.h>

namespace cuminpath::placement {
namespace {

constexpr group_shape k_shape{.ranks = 4, .layers = 2, .experts = 8, .slots_per_rank = 3};

// Guards against accepting a map that a rank can't hold or that assigns an expert to no rank.
TEST(expert_map, check_finds_each_broken_rule) {
  const auto valid = contiguous_map(k_shape);
  EXPECT_TRUE(check(valid, k_shape));
  auto map = valid;
  map.layers.pop_back();
  EXPECT_FALSE(check(map, k_shape));
  map = valid;
  map.layers[1].experts[3].clear();
  EXPECT_FALSE(check(map, k_shape));
  map = valid;
  map.layers[1].experts[3][0].rank = 4;
  EXPECT_FALSE(check(map, k_shape));
  map = valid;
  map.layers[0].experts[0] = {{0, 0.5F}, {0, 0.5F}};
  EXPECT_FALSE(check(map, k_shape));
  map = valid;
  map.layers[0].experts[0] = {{0, 0.5F}, {1, 0.2F}};
  EXPECT_FALSE(check(map, k_shape));
  map = valid;
  for (int expert = 0; expert < 4; ++expert) {
    map.layers[0].experts[expert] = {{0, 1.0F}};
  }
  EXPECT_FALSE(check(map, k_shape));
}

// Guards against ranks that parse different maps from the same text.
TEST(expert_map, json_round_trip_keeps_the_digest) {
  auto map = contiguous_map(k_shape);
  map.layers[0].experts[0] = {{0, 0.25F}, {3, 0.75F}};
  const auto parsed = from_json(to_json(map));
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(digest(parsed.value()), digest(map));
  EXPECT_NE(digest(map), digest(contiguous_map(k_shape)));
  EXPECT_FALSE(from_json(json::parse(R"({"layers":[[[[1]]]]})")).has_value());
  EXPECT_FALSE(from_json(json::parse(R"({"layers":[[[[-1,5]]]]})")).has_value());
}

// Guards against a skew that does not include the slowest rank of every layer.
TEST(expert_map, skew_adds_the_slowest_rank_of_each_layer) {
  const group_shape shape{.ranks = 2, .layers = 2, .experts = 2, .slots_per_rank = 1};
  const auto map = contiguous_map(shape);
  const std::vector<float> speeds{1.0F, 1.0F};
  EXPECT_DOUBLE_EQ(step_skew(map, {{3, 1}, {1, 3}}, speeds), 1.5);
  EXPECT_DOUBLE_EQ(step_skew(map, {{3, 1}, {3, 1}}, std::vector<float>{3.0F, 1.0F}), 1.0);
}

}  // namespace
}  // namespace cuminpath::placement
