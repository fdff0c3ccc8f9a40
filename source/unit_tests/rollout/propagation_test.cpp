#include <gtest/gtest.h>

#include "unit_tests/rollout/world.h"

namespace cuminpath::rollout {
namespace {

constexpr milliseconds k_limit{5000};
constexpr std::uint64_t k_seeds = 20;
constexpr std::uint64_t k_burst_seeds = 3;

// Guards against a version that does not reach every process in time when messages are lost and the pollers
// of every zone die while a change is on its way.
TEST(propagation, in_force_everywhere_within_5_s_with_losses_and_dying_pollers) {
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed) {
    world all({.loss = 0.1}, seed);
    all.apply(make_manifest(20, 1));
    ASSERT_LT(all.run_until_everywhere(seconds(30)), seconds(30)) << "seed " << seed;
    all.apply(make_manifest(20, 2));
    all.run_for(milliseconds(100));
    for (std::size_t i = 0; i < all.processes.size(); ++i) {
      std::vector<std::string> entries;
      for (const auto& other : all.processes) {
        if (other.entry && other.zone == all.processes[i].zone) {
          entries.push_back(other.name);
        }
      }
      const auto chosen = pollers(all.processes[i].zone, entries);
      all.processes[i].alive = std::find(chosen.begin(), chosen.end(), all.processes[i].name) == chosen.end();
    }
    // Membership suspects a silent peer after 2 s.
    all.run_for(milliseconds(2000));
    for (std::size_t i = 0; i < all.processes.size(); ++i) {
      all.update_zone(i);
    }
    const milliseconds total = milliseconds(2100) + all.run_until_everywhere(k_limit);
    std::printf("seed %llu: everywhere after %lld ms\n", static_cast<unsigned long long>(seed),
                static_cast<long long>(total.count()));
    EXPECT_LE(total, k_limit) << "seed " << seed;
  }
}

// Guards against a process that is left behind or goes backwards when changes race with each other.
TEST(propagation, a_burst_of_changes_ends_with_the_last_everywhere) {
  for (std::uint64_t seed = 1; seed <= k_burst_seeds; ++seed) {
    world all({.loss = 0.05}, seed);
    for (std::uint32_t change = 1; change <= 60; ++change) {
      all.apply(make_manifest(20, change));
      all.run_for(milliseconds(70));
    }
    EXPECT_LT(all.run_until_everywhere(k_limit), k_limit) << "seed " << seed;
  }
}

// Guards against a process that cannot start, or starts with an older version than its peers, while the whole
// platform is down.
TEST(propagation, a_process_starts_from_its_peers_while_the_platform_is_down) {
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed) {
    world all({.loss = 0.05}, seed);
    all.apply(make_manifest(20, 1));
    all.run_until_everywhere(seconds(30));
    all.apply(make_manifest(20, 2));
    ASSERT_LT(all.run_until_everywhere(k_limit), k_limit);
    all.table_up = false;
    all.store_up = false;
    for (const std::size_t index : {std::size_t{0}, std::size_t{8}, std::size_t{20}}) {
      all.restart(index);
      all.forget(index);
    }
    EXPECT_LT(all.run_until_everywhere(k_limit), k_limit) << "seed " << seed;
  }
}

// Guards against a lone process that claims to be ready without any configuration.
TEST(propagation, a_process_without_any_peer_stays_without_configuration) {
  world all({.zones = 1, .entries = 1, .agents = 0}, 1);
  all.apply(make_manifest(1, 1));
  all.table_up = false;
  all.run_for(seconds(10));
  EXPECT_EQ(all.processes[0].core.version(), configuration_version{});
  all.table_up = true;
  EXPECT_LT(all.run_until_everywhere(k_limit), k_limit);
}

// Guards against a region that stays behind after it could not reach the others, and against a zone that
// needs the others to learn of a change.
TEST(propagation, separated_zones_learn_from_the_table) {
  world all({}, 1);
  all.apply(make_manifest(20, 1));
  all.run_until_everywhere(seconds(30));
  all.zones_connected = false;
  all.apply(make_manifest(20, 2));
  EXPECT_LT(all.run_until_everywhere(k_limit), k_limit);
}

// Guards against damaged sections that come into force or that stop later changes.
TEST(propagation, damaged_messages_are_dropped_and_the_store_is_the_fallback) {
  world all({}, 1);
  all.damage = [](wire::message& message) {
    if (auto* sections = std::get_if<wire::configuration_sections>(&message)) {
      for (auto& section : sections->sections) {
        section.second += " ";
      }
      if (sections->sections.empty()) {
        sections->index = "{}";
      }
    }
  };
  all.apply(make_manifest(20, 1));
  EXPECT_LT(all.run_until_everywhere(seconds(60)), seconds(60));
  all.damage = nullptr;
  all.apply(make_manifest(20, 2));
  EXPECT_LT(all.run_until_everywhere(k_limit), k_limit);
}

// Guards against control traffic that grows with the fleet: 10 KB a second for a node at 16,000 changes a
// day.
TEST(propagation, a_change_of_one_upstream_of_12000_costs_few_bytes) {
  constexpr std::size_t k_upstreams = 12000;
  constexpr int k_changes = 2;
  world all({.zones = 2, .entries = 4, .agents = 40, .agent_links = 2}, 1);
  all.apply(make_manifest(k_upstreams, 1));
  ASSERT_LT(all.run_until_everywhere(seconds(60)), seconds(60));
  for (auto& one : all.processes) {
    one.used = {};
  }
  milliseconds longest{0};
  for (int change = 0; change < k_changes; ++change) {
    all.apply(make_manifest(k_upstreams, 2 + static_cast<std::uint32_t>(change)));
    longest = std::max(longest, all.run_until_everywhere(k_limit));
  }
  EXPECT_LT(longest, k_limit);
  traffic sum;
  std::uint64_t most = 0;
  for (const auto& one : all.processes) {
    sum.messages += one.used.messages;
    sum.bytes += one.used.bytes;
    most = std::max(most, one.used.bytes);
  }
  constexpr double k_changes_per_second = 16000.0 / 86400;
  const double mean = static_cast<double>(sum.bytes) / k_changes / static_cast<double>(all.processes.size());
  const double largest = static_cast<double>(most) / k_changes;
  std::printf(
      "for one change: mean %.0f bytes and %.1f messages a process (%.0f B/s), most %.0f bytes (%.0f B/s); "
      "longest %lld ms\n",
      mean, static_cast<double>(sum.messages) / k_changes / static_cast<double>(all.processes.size()),
      mean * k_changes_per_second, largest, largest * k_changes_per_second,
      static_cast<long long>(longest.count()));
  EXPECT_LT(largest * k_changes_per_second, 10'000);
}

}  // namespace
}  // namespace cuminpath::rollout
