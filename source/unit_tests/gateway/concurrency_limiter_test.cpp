// Simulates load spikes and shifts of expert popularity on engines that follow the published cost model, in
// virtual time, and compares the results for callers with and without the limit.
#include "core/gateway/concurrency_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

#include "core/common/random.h"
#include "core/gateway/admission.h"

namespace cuminpath::gateway {
namespace {

constexpr time_point k_start{seconds{100}};
constexpr engine_cost k_cost{.step_ms = 4.84, .per_sequence_ms = 0.797, .steps_per_pass = 9};
constexpr milliseconds k_max_gap{150};
constexpr std::uint32_t k_slots = 6;
constexpr double k_even_skew = 1.2;    // Skew of an expert map that fits the popularity.
constexpr double k_uneven_skew = 3.6;  // Skew right after a shift.

double pass_ms(double running, double skew) {
  constexpr double k_expert_share = 0.85;
  return k_cost.steps_per_pass *
         (k_cost.step_ms + k_cost.per_sequence_ms * running * (1 - k_expert_share + k_expert_share * skew));
}

TEST(concurrency_limiter, the_limit_is_unknown_without_events) {
  concurrency_limiter limiter;
  EXPECT_FALSE(limiter.max_requests(k_max_gap, k_cost, k_start));
  limiter.observe(milliseconds{80}, 4, k_cost, k_start);
  EXPECT_TRUE(limiter.max_requests(k_max_gap, k_cost, k_start));
  EXPECT_FALSE(limiter.max_requests(milliseconds{0}, k_cost, k_start));
  EXPECT_FALSE(limiter.max_requests(k_max_gap, k_cost, k_start + milliseconds{1001}));
}

TEST(concurrency_limiter, follows_a_shift_and_settles_without_oscillation) {
  concurrency_limiter limiter;
  time_point now = k_start;
  const auto simulate = [&](double skew, int events) {
    std::vector<double> limits;
    for (int i = 0; i < events; ++i) {
      now += milliseconds{16};
      limiter.observe(duration(microseconds(static_cast<std::int64_t>(1000 * pass_ms(4, skew)))), 4, k_cost,
                      now);
      limits.push_back(*limiter.max_requests(k_max_gap, k_cost, now));
    }
    return limits;
  };
  const auto even_limits = simulate(k_even_skew, 100);
  EXPECT_GT(even_limits.back(), k_slots);
  const auto uneven_limits = simulate(k_uneven_skew, 60);
  EXPECT_LT(uneven_limits[20], k_slots);  // A third of a second after the shift.
  EXPECT_TRUE(std::is_sorted(uneven_limits.rbegin(), uneven_limits.rend()));
  EXPECT_NEAR(pass_ms(uneven_limits.back(), k_uneven_skew), 0.9 * 150, 5);
  // The limit stays low while the next shift may be close, and rises afterwards.
  const auto even_again_limits = simulate(k_even_skew, 1500);
  EXPECT_LT(even_again_limits[200], k_slots);
  EXPECT_TRUE(std::is_sorted(even_again_limits.begin(), even_again_limits.end()));
  EXPECT_GT(even_again_limits.back(), k_slots);
}

TEST(concurrency_limiter, ignores_the_gap_of_a_single_delayed_stream) {
  concurrency_limiter limiter;
  for (int i = 0; i < 50; ++i) {
    limiter.observe(milliseconds{80}, 4, k_cost, k_start);
  }
  const double before = *limiter.max_requests(k_max_gap, k_cost, k_start);
  limiter.observe(milliseconds{900}, 4, k_cost, k_start);
  EXPECT_EQ(limiter.max_requests(k_max_gap, k_cost, k_start), before);
}

struct outcome {
  std::array<std::uint32_t, 3> requested{};
  std::array<std::uint32_t, 3> on_time{};
  std::array<std::uint32_t, 3> refused{};

  [[nodiscard]] double share(std::size_t priority) const {
    return static_cast<double>(on_time.at(priority)) / requested.at(priority);
  }
  // Worth by priority as configured for the large fleet; a late stream earns a part of it.
  [[nodiscard]] double worth() const {
    constexpr std::array<double, 3> k_worth{2.9, 1.5, 0.77};
    constexpr std::array<double, 3> k_late{0.29, 0.38, 0.29};
    double earned = 0;
    double maximum = 0;
    for (std::size_t priority = 0; priority < 3; ++priority) {
      const double late = requested.at(priority) - on_time.at(priority) - refused.at(priority);
      maximum += k_worth.at(priority) * requested.at(priority);
      earned += k_worth.at(priority) * on_time.at(priority) + k_late.at(priority) * late;
    }
    return earned / maximum;
  }
};

// Simulates one group of engines for 20 s; refused callers do not retry. `arrivals` holds the requests per
// second for each engine, by priority.
outcome simulate(const std::array<double, 3>& arrivals, bool shifts, bool limited, std::uint64_t seed) {
  constexpr std::size_t k_engines = 96;
  constexpr int k_events_per_stream = 17;
  constexpr double k_shift_interval_ms = 3200;
  constexpr double k_uneven_duration_ms = 900;
  struct stream {
    std::size_t priority = 0;
    int left = k_events_per_stream;
    bool late = false;
  };
  random_source random(seed);
  std::vector<std::vector<stream>> engines(k_engines);
  concurrency_limiter limiter;
  outcome out;
  for (double now_ms = 0; now_ms < 20'000;) {
    std::size_t max_size = 0;
    std::size_t total = 0;
    for (const auto& engine : engines) {
      max_size = std::max(max_size, engine.size());
      total += engine.size();
    }
    const double mean = static_cast<double>(total) / k_engines;
    const bool uneven = shifts && std::fmod(now_ms, k_shift_interval_ms) < k_uneven_duration_ms;
    const double pass_length_ms = pass_ms(std::max(mean, 0.5 * (mean + static_cast<double>(max_size))),
                                          uneven ? k_uneven_skew : k_even_skew);
    now_ms += pass_length_ms;
    const time_point now = k_start + milliseconds(static_cast<std::int64_t>(now_ms));
    for (auto& engine : engines) {
      for (stream& each : engine) {
        each.late = each.late || pass_length_ms > static_cast<double>(k_max_gap.count());
        --each.left;
        out.on_time.at(each.priority) += each.left == 0 && !each.late ? 1 : 0;
      }
      std::erase_if(engine, [](const stream& each) { return each.left == 0; });
    }
    // A gateway has about five streams and receives an event of each of them in each pass.
    for (int received = 0; received < 5 && total > 0; ++received) {
      limiter.observe(duration(microseconds(static_cast<std::int64_t>(1000 * pass_length_ms))), mean, k_cost,
                      now);
    }
    const auto max_requests = limited ? limiter.max_requests(k_max_gap, k_cost, now) : std::nullopt;
    for (std::size_t priority = 0; priority < 3; ++priority) {
      const admission_request request{
          .priority = static_cast<std::uint32_t>(priority),
          .engine = true,
          .max_pass_utilization = max_requests ? std::optional(*max_requests / k_slots) : std::nullopt,
          .slot_share = 1.0 / k_slots};
      const double utilization_limit = max_utilization(request);
      const auto count = std::poisson_distribution<std::uint32_t>(arrivals.at(priority) * k_engines *
                                                                  pass_length_ms / 1000)(random);
      for (std::uint32_t i = 0; i < count; ++i) {
        ++out.requested.at(priority);
        auto* best = &engines[random_index(random, k_engines)];
        for (int draw = 1; draw < 4; ++draw) {
          auto* other = &engines[random_index(random, k_engines)];
          best = other->size() < best->size() ? other : best;
        }
        const upstream_table::service_totals totals{.upstreams = k_engines,
                                                    .slots = k_engines * k_slots,
                                                    .outstanding = static_cast<std::uint32_t>(total)};
        if (static_cast<double>(best->size()) >= utilization_limit * k_slots ||
            !keeps_passes_on_time(totals, request)) {
          ++out.refused.at(priority);
        } else {
          best->push_back({.priority = priority});
          ++total;
        }
      }
    }
  }
  return out;
}

// Requests per second for each engine of the large fleet, on its quiet day, whose load is the usual one, and
// on its days of high load.
constexpr std::array<double, 3> k_usual_rates{0.89, 0.69, 0.40};
constexpr std::array<double, 3> k_high_rates{1.10, 0.85, 0.49};

// Differences of the score up to this value count as noise. Refused callers do not retry here, so the real
// loss is smaller.
constexpr double k_score_noise = 0.03;

TEST(concurrency_limiter, does_not_reduce_the_worth_under_usual_load) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const outcome before = simulate(k_usual_rates, true, false, seed);
    const outcome after = simulate(k_usual_rates, true, true, seed);
    EXPECT_GE(after.worth(), before.worth() - k_score_noise) << "seed " << seed;
    EXPECT_LT(after.refused[0], 0.01 * after.requested[0]) << "seed " << seed;
    const outcome even = simulate(k_usual_rates, false, true, seed);
    EXPECT_EQ(even.refused[0] + even.refused[1] + even.refused[2], 0U) << "seed " << seed;
  }
}

TEST(concurrency_limiter, a_spike_of_urgent_requests_is_served_on_time) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const std::array<double, 3> spike{1.8 * k_high_rates[0], k_high_rates[1], k_high_rates[2]};
    EXPECT_GT(simulate(spike, true, true, seed).worth(), 1.1 * simulate(spike, true, false, seed).worth())
        << "seed " << seed;
  }
}

TEST(concurrency_limiter, a_spike_of_the_lowest_priority_during_shifts_barely_affects_urgent_requests) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const std::array<double, 3> spike{k_high_rates[0], k_high_rates[1], 2.4 * k_high_rates[2]};
    const outcome before = simulate(spike, true, false, seed);
    const outcome after = simulate(spike, true, true, seed);
    RecordProperty("worth_" + std::to_string(seed),
                   std::to_string(before.worth()) + " " + std::to_string(after.worth()));
    EXPECT_GT(after.worth(), 1.1 * before.worth()) << "seed " << seed;
    EXPECT_GT(after.share(0), before.share(0)) << "seed " << seed;
    // Less urgent requests are refused first.
    EXPECT_LE(after.refused[0] * after.requested[2], after.refused[2] * after.requested[0])
        << "seed " << seed;
  }
}

}  // namespace
}  // namespace cuminpath::gateway
