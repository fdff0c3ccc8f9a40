#include <gtest/gtest.h>

#include <map>
#include <set>

#include "core/routing/ejection.h"
#include "core/routing/retry_budget.h"
#include "core/routing/router.h"
#include "unit_tests/support/property.h"

namespace cuminpath::routing {
namespace {

std::vector<upstream_info> fleet(std::size_t size) {
  std::vector<upstream_info> list;
  for (std::size_t i = 0; i < size; ++i) {
    const std::string number = std::to_string(i);
    list.push_back({"engine-" + number, "m", "az-" + std::to_string(i % 3), "r", "peer-" + number, 4});
  }
  return list;
}

router make_router(std::uint64_t seed) {
  return router({.entry_name = "entry-" + std::to_string(seed), .availability_zone = "az-0", .region = "r"});
}

// Guards against attempts at upstreams that are draining, unhealthy, suspected, removed or already tried, and
// against a subset that grows with the fleet.
TEST(router_property, chooses_only_usable_upstreams_of_a_bounded_subset) {
  EXPECT_TRUE(support::check_property(100, [](std::uint64_t seed) {
    random_source random(seed);
    router target = make_router(seed);
    time_point now{seconds(100)};
    auto list = fleet(1 + random_index(random, 200));
    target.set_upstreams(now, list);
    std::set<std::string> unusable;
    for (int i = 0; i < 200; ++i) {
      now += milliseconds(10);
      const upstream_info& reported = list[random_index(random, list.size())];
      wire::load_report report;
      report.upstream = reported.name;
      switch (random_index(random, 4)) {
        case 0:
          report.draining = true;
          target.on_load_report(now, report);
          unusable.insert(reported.name);
          break;
        case 1:
          report.upstream_healthy = false;
          target.on_load_report(now, report);
          unusable.insert(reported.name);
          break;
        case 2:
          target.on_load_report(now, report);
          unusable.erase(reported.name);
          break;
        default:
          target.tick(now);
      }
      const upstream_id excluded[] = {*target.find(list.front().name)};
      const auto id = target.choose(now, {"m", random_index(random, 3), excluded}, random);
      RC_ASSERT(target.subset().size() <= 48U);
      if (id) {
        RC_ASSERT(*id != excluded[0]);
        RC_ASSERT(unusable.count(target.upstream(*id).name) == 0);
      }
    }
  }));
}

// Guards against a frequent prefix that overloads its replica: no upstream receives more than 1.25 times the
// mean, rounded up, and a single prefix stays on as few upstreams as that allows.
TEST(router_property, affinity_keeps_the_load_within_its_limit) {
  EXPECT_TRUE(support::check_property(50, [](std::uint64_t seed) {
    random_source random(seed);
    router target = make_router(seed);
    const time_point now{seconds(100)};
    target.set_upstreams(now, fleet(9));
    std::map<upstream_id, int> load;
    int total = 0;
    for (int i = 0; i < 9; ++i) {
      const auto id = *target.choose(now, {"m", 1 + seed % 1000, {}}, random);
      target.on_attempt_started(now, id);
      ++load[id];
      ++total;
      RC_ASSERT(load[id] <= std::ceil(1.25 * total / 3));
    }
    const auto first = *target.choose(now, {"m", 0, {}}, random);
    target.on_attempt_started(now, first);
  }));
}

// Guards against a prefix that moves between replicas without load and so loses its cache.
TEST(router_property, idle_fleet_sends_a_prefix_to_the_same_upstream) {
  EXPECT_TRUE(support::check_property(50, [](std::uint64_t seed) {
    random_source random(seed);
    router target = make_router(seed);
    const time_point now{seconds(100)};
    target.set_upstreams(now, fleet(30));
    const auto id = target.choose(now, {"m", seed | 1U, {}}, random);
    for (int i = 0; i < 20; ++i) {
      RC_ASSERT(target.choose(now, {"m", seed | 1U, {}}, random) == id);
    }
  }));
}

// Guards against a returning upstream that receives full traffic before it has proved that it works.
TEST(router_property, ejected_upstream_returns_through_a_bounded_number_of_trials) {
  EXPECT_TRUE(support::check_property(100, [](std::uint64_t seed) {
    random_source random(seed);
    const ejection_options options;
    ejection_state target;
    time_point now{seconds(100)};
    while (!target.ejected(now)) {
      target.on_started(now);
      target.on_ended();
      target.on_failure(now, options, true);
    }
    RC_ASSERT(!target.usable(now, options));
    now += options.max_duration;
    std::uint32_t trials = 0;
    std::uint32_t successes = 0;
    for (int i = 0; i < 50 && target.on_trial(now); ++i) {
      if (target.usable(now, options)) {
        target.on_started(now);
        ++trials;
        RC_ASSERT(trials <= options.max_concurrent_trials);
      } else if (random_index(random, 4) > 0) {
        --trials;
        target.on_ended();
        target.on_success(now, options);
        ++successes;
      } else {
        --trials;
        target.on_ended();
        target.on_failure(now, options, true);
      }
    }
    RC_ASSERT(target.ejected(now) || successes >= options.trials_to_restore);
  }));
}

// Guards against a budget that can be exceeded by some order of requests and failures.
TEST(router_property, retries_never_exceed_the_budget_in_any_interval) {
  EXPECT_TRUE(support::check_property(100, [](std::uint64_t seed) {
    random_source random(seed);
    retry_budget budget;
    double requests = 0;
    double retries = 0;
    double min_excess = 0;  // Minimum of retries - 0.08 * requests so far: the worst start of an interval.
    for (int i = 0; i < 2000; ++i) {
      if (random_index(random, 3) == 0) {
        budget.on_first_attempt();
        ++requests;
      } else {
        retries += budget.try_take() ? 1 : 0;
      }
      const double excess = retries - 0.08 * requests;
      min_excess = std::min(min_excess, excess);
      RC_ASSERT(excess - min_excess <= 10 + 1e-6);
    }
  }));
}

}  // namespace
}  // namespace cuminpath::routing
