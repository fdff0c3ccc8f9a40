// Measures, in virtual time, how many responses are late and how much extra work is done with each way of
// beginning second attempts, while 1 in 9 upstreams is slow.

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <string>

#include "second_attempt_simulation.h"
#include "unit_tests/support/property.h"

namespace cuminpath::gateway {
namespace {

using variant = second_attempt_variant;

constexpr std::array k_variants{variant::off, variant::fixed_time, variant::quantile,
                                variant::quantile_with_budget};
constexpr std::array<const char*, 4> k_variant_names{"off", "fixed time", "quantile", "quantile with budget"};
// The policies have learned the usual times by then.
constexpr time_point k_fault_start = k_simulation_start + seconds{30};

// About 50 responses are late in one run, too few for a ratio of one tenth.
constexpr std::uint64_t k_seeds = 3;

// Adds up runs with the seeds from 1 to `seeds`.
second_attempt_simulation::totals run(simulation_options options, std::uint64_t seeds, time_point from) {
  second_attempt_simulation::totals sum;
  std::map<second_attempt_refusal, std::size_t> refusals;
  for (options.seed = 1; options.seed <= seeds; ++options.seed) {
    second_attempt_simulation simulation(options);
    simulation.run();
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
    const auto totals = simulation.count(from);
    sum.requests += totals.requests;
    sum.late += totals.late;
    sum.extra += totals.extra;
    sum.second += totals.second;
    for (const auto& [reason, looks] : simulation.refusals()) {
      refusals[reason] += looks;
    }
  }
  for (const auto& [reason, looks] : refusals) {
    std::printf("  refused at %zu looks: %s\n", looks, std::string(refusal_name(reason)).c_str());
  }
  return sum;
}

// Makes 4 of the 36 upstreams slow by `factor` for `length`; 0: they hang.
simulation_options with_slow_upstreams(double factor, seconds length) {
  simulation_options options;
  for (std::size_t i = 0; i < options.upstreams; i += 9) {
    options.faults.push_back(
        {.upstream = i, .from = k_fault_start, .until = k_fault_start + length, .factor = factor});
  }
  return options;
}

double share(std::size_t part, std::size_t whole) {
  return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(whole, 1));
}

std::array<second_attempt_simulation::totals, 4> compare(const char* title, simulation_options options,
                                                         time_point from, std::uint64_t seeds = 1) {
  std::array<second_attempt_simulation::totals, 4> results;
  for (std::size_t i = 0; i < k_variants.size(); ++i) {
    options.variant = k_variants.at(i);
    results.at(i) = run(options, seeds, from);
    const auto& sum = results.at(i);
    std::printf("%-24s %-21s requests %5zu  late %4zu (%.2f%%)  second attempts %4zu (%.2f%%)  extra %4zu\n",
                title, k_variant_names.at(i), sum.requests, sum.late, 100 * share(sum.late, sum.requests),
                sum.second, 100 * share(sum.second, sum.requests), sum.extra);
  }
  return results;
}

TEST(second_attempt_load, hanging_upstreams_make_a_tenth_of_the_responses_late) {
  const auto results = compare("hanging for 5 s", with_slow_upstreams(0, seconds{5}), k_fault_start, k_seeds);
  EXPECT_LE(10 * results[3].late, results[0].late);
  EXPECT_LE(share(results[3].second, results[3].requests), 0.05);
}

TEST(second_attempt_load, slow_upstreams_make_a_fourth_of_the_responses_late) {
  for (const double factor : {4.0, 8.0}) {
    const std::string title = "slow by " + std::to_string(static_cast<int>(factor)) + " for 15 s";
    const auto results =
        compare(title.c_str(), with_slow_upstreams(factor, seconds{15}), k_fault_start, k_seeds);
    EXPECT_LE(4 * results[3].late, results[0].late) << title;
    EXPECT_LE(share(results[3].second, results[3].requests), 0.05);
  }
}

// A slow upstream is known as slow after 250 ms, and half of the second attempts take more than 200 ms. More
// responses were late with second attempts than without: see k_price.
TEST(second_attempt_load, a_target_that_few_second_attempts_can_meet_gets_none) {
  for (const double factor : {0.0, 8.0}) {
    auto options = with_slow_upstreams(factor, seconds{factor > 0 ? 15 : 5});
    options.target = milliseconds{450};
    const auto results =
        compare(factor > 0 ? "slow by 8, 450 ms" : "hanging, 450 ms", options, k_fault_start);
    EXPECT_LT(200 * results[3].second, results[3].requests);
  }
}

TEST(second_attempt_load, without_slow_upstreams_there_is_hardly_any_extra_work) {
  simulation_options options;
  for (const bool long_tail : {false, true}) {
    options.long_tail = long_tail;
    const auto results =
        compare(long_tail ? "no slow one, long tail" : "no slow one", options, k_simulation_start);
    EXPECT_LT(200 * results[3].extra, results[3].requests);
  }
}

TEST(second_attempt_load, at_full_load_there_is_no_extra_work) {
  auto options = with_slow_upstreams(8, seconds{15});
  options.requests_per_second = 400;
  const auto results = compare("full load, slow by 8", options, k_fault_start);
  EXPECT_EQ(results[3].second, 0U);
}

// A stall of all upstreams would otherwise use the whole budget, and delay the group further.
TEST(second_attempt_load, a_stall_of_all_upstreams_begins_no_second_attempts) {
  simulation_options options;
  options.stall_from = k_fault_start;
  options.stall_until = k_fault_start + milliseconds{900};
  const auto results = compare("all stall for 0.9 s", options, k_fault_start - seconds{1});
  EXPECT_LT(200 * results[3].second, results[3].requests);
}

TEST(second_attempt_load, the_rules_hold_in_random_runs) {
  std::size_t second_attempts = 0;
  std::size_t requests = 0;
  EXPECT_TRUE(support::check_property(2000, [&](std::uint64_t seed) {
    random_source random(seed);
    const auto pick = [&random](double low, double high) {
      return std::uniform_real_distribution<double>(low, high)(random);
    };
    simulation_options options{.gateways = 1 + random_index(random, 3),
                               .upstreams = 2 + random_index(random, 8),
                               .slots = static_cast<std::uint32_t>(1 + random_index(random, 10)),
                               .requests_per_second = pick(5, 150),
                               .length = seconds{3},
                               .target = milliseconds(static_cast<std::int64_t>(pick(200, 900))),
                               .events = static_cast<int>(1 + random_index(random, 8)),
                               .max_attempts = static_cast<std::uint32_t>(1 + random_index(random, 3)),
                               .share_not_repeatable = pick(0, 0.5),
                               .share_leaving = pick(0, 0.5),
                               .share_quarantined = pick(0, 0.2),
                               .known_times = true,
                               .shares = {.requests = pick(0, 0.5), .tokens = pick(0, 0.5)},
                               .retries = {.retries_per_attempt = pick(0, 0.3), .capacity = 8, .initial = 5},
                               .seed = seed};
    for (std::size_t i = 0; i < options.upstreams; ++i) {
      const time_point from = k_simulation_start + milliseconds(static_cast<std::int64_t>(pick(0, 3000)));
      options.faults.push_back({.upstream = i,
                                .from = from,
                                .until = from + milliseconds(static_cast<std::int64_t>(pick(100, 2000))),
                                .factor = pick(0, 1) < 0.5 ? 0 : pick(1, 8)});
    }
    second_attempt_simulation simulation(options);
    simulation.run();
    RC_ASSERT(simulation.violations() == std::vector<std::string>{});
    second_attempts += simulation.count(k_simulation_start).second;
    requests += simulation.requests().size();
  }));
  std::printf("%zu requests, %zu second attempts\n", requests, second_attempts);
  EXPECT_GT(second_attempts, 1000U);
}

}  // namespace
}  // namespace cuminpath::gateway
