#include "core/placement/planner.h"

#include <gtest/gtest.h>

#include <rapidcheck.h>
#include <cmath>
#include <random>

#include "core/placement/drift_estimator.h"

namespace cuminpath::placement {
namespace {

constexpr std::uint64_t k_expert_bytes = 40'000'000;

expert_loads zipf_loads(const group_shape& shape, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  expert_loads loads(shape.layers, std::vector<float>(shape.experts));
  for (auto& layer : loads) {
    for (std::size_t expert = 0; expert < layer.size(); ++expert) {
      layer[expert] = 1000.0F / std::sqrt(static_cast<float>(expert + 1));
    }
    std::shuffle(layer.begin(), layer.end(), random);
  }
  return loads;
}

planner_options options_with_lifetime(double lifetime_s) {
  return {.expert_bytes = k_expert_bytes, .weight_store_bytes_per_s = 1e9, .pattern_lifetime_s = lifetime_s};
}

// Guards against a plan that leaves a group of full size unbalanced: the stated limit of the skew is 1.10.
TEST(planner, balances_32_ranks_with_256_experts) {
  const group_shape shape{.ranks = 32, .layers = 4, .experts = 256, .slots_per_rank = 10};
  const std::vector<float> speeds(shape.ranks, 1.0F);
  const auto loads = zipf_loads(shape, 1);
  const auto new_plan = make_plan(shape, contiguous_map(shape), loads, speeds, options_with_lifetime(3600));
  EXPECT_TRUE(new_plan.worthwhile);
  EXPECT_GT(new_plan.skew_before, 1.5);
  EXPECT_LE(new_plan.skew_after, 1.10);
  EXPECT_TRUE(check(new_plan.map, shape));
}

// Guards against a slow rank that keeps an equal load and so slows down the whole group.
TEST(planner, assigns_less_load_to_a_slow_rank) {
  const group_shape shape{.ranks = 8, .layers = 2, .experts = 64, .slots_per_rank = 10};
  std::vector<float> speeds(shape.ranks, 1.0F);
  speeds[3] = 0.5F;
  const expert_loads loads(shape.layers, std::vector<float>(shape.experts, 10.0F));
  const auto new_plan = make_plan(shape, contiguous_map(shape), loads, speeds, options_with_lifetime(3600));
  EXPECT_NEAR(new_plan.skew_before, 2.0 / (9.0 / 8.0), 0.01);
  EXPECT_LE(new_plan.skew_after, 1.10);
}

// Guards against copies where moving shares between existing replicas is enough.
TEST(planner, moves_shares_before_it_makes_copies) {
  const group_shape shape{.ranks = 2, .layers = 1, .experts = 2, .slots_per_rank = 2};
  expert_map current = contiguous_map(shape);
  current.layers[0].experts = {{{0, 1.0F}, {1, 0.0F}}, {{0, 0.0F}, {1, 1.0F}}};
  const auto new_plan =
      make_plan(shape, current, {{300, 100}}, std::vector<float>{1.0F, 1.0F}, options_with_lifetime(600));
  EXPECT_EQ(new_plan.copies, 0U);
  EXPECT_TRUE(new_plan.worthwhile);
  EXPECT_NEAR(new_plan.skew_before, 1.5, 0.001);
  EXPECT_NEAR(new_plan.skew_after, 1.0, 0.001);
}

// Guards against copies that cost more than they gain over the expected lifetime of the load pattern.
TEST(planner, makes_no_copy_for_a_pattern_that_ends_at_once) {
  const group_shape shape{.ranks = 8, .layers = 2, .experts = 64, .slots_per_rank = 10};
  const std::vector<float> speeds(shape.ranks, 1.0F);
  const auto new_plan =
      make_plan(shape, contiguous_map(shape), zipf_loads(shape, 2), speeds, options_with_lifetime(0.001));
  EXPECT_EQ(new_plan.copies, 0U);
  EXPECT_FALSE(new_plan.worthwhile);
}

// Guards against a plan that breaks the rules of a map, is worse than the current map or miscounts its bytes,
// for any loads.
TEST(planner, any_plan_is_a_valid_map_and_no_worse) {
  EXPECT_TRUE(rc::check("valid and no worse", [] {
    group_shape shape;
    shape.ranks = *rc::gen::inRange(2U, 9U);
    shape.layers = *rc::gen::inRange(1U, 3U);
    shape.experts = shape.ranks * *rc::gen::inRange(1U, 9U);
    shape.slots_per_rank = shape.experts / shape.ranks + *rc::gen::inRange(0U, 4U);
    expert_loads loads(shape.layers, std::vector<float>(shape.experts));
    for (auto& layer : loads) {
      for (auto& load : layer) {
        load = static_cast<float>(*rc::gen::inRange(0, 1000));
      }
    }
    std::vector<float> speeds(shape.ranks);
    for (auto& speed : speeds) {
      speed = static_cast<float>(*rc::gen::inRange(1, 20)) / 10.0F;
    }
    const auto current = contiguous_map(shape);
    const auto new_plan = make_plan(shape, current, loads, speeds, options_with_lifetime(600));
    RC_ASSERT(check(new_plan.map, shape).has_value());
    RC_ASSERT(new_plan.bytes == copies_needed(current, new_plan.map) * k_expert_bytes);
    RC_ASSERT(new_plan.gain_s >= -1e-6);
    const auto second_plan = make_plan(shape, new_plan.map, loads, speeds, options_with_lifetime(600));
    RC_ASSERT(check(second_plan.map, shape).has_value());
    RC_ASSERT(check(full_rebalance(shape, loads, speeds), shape).has_value());
  }));
}

// Guards against a map that the ranks refuse: rounding errors of successive plans once accumulated to a share
// of 10001/10000.
TEST(planner, successive_plans_survive_their_json_form) {
  const group_shape shape{.ranks = 2, .layers = 2, .experts = 8, .slots_per_rank = 5};
  const std::vector<float> speeds{1.0F, 1.0F};
  std::mt19937_64 random(1);
  for (int run = 0; run < 300; ++run) {
    auto current = contiguous_map(shape);
    for (int round = 0; round < 6; ++round) {
      expert_loads loads(shape.layers, std::vector<float>(shape.experts));
      for (auto& layer : loads) {
        for (auto& load : layer) {
          load = static_cast<float>(random() % (random() % 2 == 0 ? 1000 : 3));
        }
      }
      const auto new_plan = make_plan(shape, current, loads, speeds, options_with_lifetime(600));
      const auto parsed = from_json(to_json(new_plan.map));
      ASSERT_TRUE(parsed.has_value()) << "run " << run << " round " << round;
      ASSERT_EQ(digest(parsed.value()), digest(new_plan.map));
      ASSERT_TRUE(check(parsed.value(), shape).has_value());
      current = parsed.value();
    }
  }
}

// Guards against counting noise that is mistaken for drift, and against a real change that is not detected.
TEST(drift_estimator, distinguishes_noise_from_drift) {
  std::mt19937_64 random(7);
  const auto sample = [&](double first_expert_mean) {
    expert_loads counts(1, std::vector<float>(64));
    for (std::size_t expert = 0; expert < 64; ++expert) {
      std::poisson_distribution<int> tokens(expert == 0 ? first_expert_mean : 1000.0);
      counts[0][expert] = static_cast<float>(tokens(random));
    }
    return counts;
  };
  drift_estimator steady;
  drift_estimator drifting;
  for (int minute = 0; minute < 20; ++minute) {
    const time_point now{std::chrono::minutes(minute)};
    steady.add(now, sample(1000));
    drifting.add(now, sample(minute % 2 == 0 ? 1000 : 30000));
  }
  EXPECT_GT(steady.expected_lifetime_s(), 1800);
  EXPECT_LT(drifting.expected_lifetime_s(), 120);
}

}  // namespace
}  // namespace cuminpath::placement
