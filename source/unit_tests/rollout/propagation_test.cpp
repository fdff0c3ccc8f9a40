#include <gtest/gtest.h>

#include "unit_tests/rollout/simulation.h"

namespace cuminpath::rollout {
namespace {

constexpr milliseconds k_propagation_limit{5000};
constexpr std::uint64_t k_seeds = 20;
constexpr std::uint64_t k_burst_seeds = 3;

// Guards against a version that does not reach every process in time when messages are lost and all store
// readers of every availability zone fail while the change propagates.
TEST(propagation, in_force_everywhere_within_5_s_with_losses_and_failed_store_readers) {
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed) {
    simulation sim({.loss = 0.1}, seed);
    sim.apply(make_manifest(20, 1));
    ASSERT_LT(sim.run_until_all_up_to_date(seconds(30)), seconds(30)) << "seed " << seed;
    sim.apply(make_manifest(20, 2));
    sim.run_for(milliseconds(100));
    for (std::size_t i = 0; i < sim.processes.size(); ++i) {
      std::vector<std::string> entries;
      for (const auto& other : sim.processes) {
        if (other.entry && other.availability_zone == sim.processes[i].availability_zone) {
          entries.push_back(other.name);
        }
      }
      const auto readers = select_store_readers(sim.processes[i].availability_zone, entries);
      sim.processes[i].alive =
          std::find(readers.begin(), readers.end(), sim.processes[i].name) == readers.end();
    }
    // Membership suspects a member after 2 s without a report.
    sim.run_for(milliseconds(2000));
    for (std::size_t i = 0; i < sim.processes.size(); ++i) {
      sim.update_local_entries(i);
    }
    const milliseconds total = milliseconds(2100) + sim.run_until_all_up_to_date(k_propagation_limit);
    std::printf("seed %llu: everywhere after %lld ms\n", static_cast<unsigned long long>(seed),
                static_cast<long long>(total.count()));
    EXPECT_LE(total, k_propagation_limit) << "seed " << seed;
  }
}

// Guards against a process that stays at an old version or returns to one when changes follow each other
// faster than they propagate.
TEST(propagation, a_burst_of_changes_ends_with_the_last_everywhere) {
  for (std::uint64_t seed = 1; seed <= k_burst_seeds; ++seed) {
    simulation sim({.loss = 0.05}, seed);
    for (std::uint32_t change = 1; change <= 60; ++change) {
      sim.apply(make_manifest(20, change));
      sim.run_for(milliseconds(70));
    }
    EXPECT_LT(sim.run_until_all_up_to_date(k_propagation_limit), k_propagation_limit) << "seed " << seed;
  }
}

// Guards against a process that cannot start, or starts with an older version than its peers, while the table
// and the object store are unavailable.
TEST(propagation, a_process_starts_from_its_peers_while_the_platform_is_unavailable) {
  for (std::uint64_t seed = 1; seed <= k_seeds; ++seed) {
    simulation sim({.loss = 0.05}, seed);
    sim.apply(make_manifest(20, 1));
    sim.run_until_all_up_to_date(seconds(30));
    sim.apply(make_manifest(20, 2));
    ASSERT_LT(sim.run_until_all_up_to_date(k_propagation_limit), k_propagation_limit);
    sim.table_available = false;
    sim.object_store_available = false;
    for (const std::size_t index : {std::size_t{0}, std::size_t{8}, std::size_t{20}}) {
      sim.restart(index);
      sim.reset_last_version(index);
    }
    EXPECT_LT(sim.run_until_all_up_to_date(k_propagation_limit), k_propagation_limit) << "seed " << seed;
  }
}

// Guards against a process without peers that reports a version although it has no configuration.
TEST(propagation, a_process_without_any_peer_stays_without_configuration) {
  simulation sim({.availability_zones = 1, .entries = 1, .agents = 0}, 1);
  sim.apply(make_manifest(1, 1));
  sim.table_available = false;
  sim.run_for(seconds(10));
  EXPECT_EQ(sim.processes[0].core.version(), configuration_version{});
  sim.table_available = true;
  EXPECT_LT(sim.run_until_all_up_to_date(k_propagation_limit), k_propagation_limit);
}

// Guards against a region that stays at an old version after it could not reach the others, and against an
// availability zone that needs the others to learn of a change: its store readers have to read the table.
TEST(propagation, disconnected_availability_zones_learn_from_the_table) {
  simulation sim({}, 1);
  sim.apply(make_manifest(20, 1));
  sim.run_until_all_up_to_date(seconds(30));
  sim.availability_zones_connected = false;
  sim.apply(make_manifest(20, 2));
  EXPECT_LT(sim.run_until_all_up_to_date(k_propagation_limit), k_propagation_limit);
}

// Guards against corrupted sections that come into force or that block later changes.
TEST(propagation, corrupted_messages_are_dropped_and_the_object_store_is_the_fallback) {
  simulation sim({}, 1);
  sim.corrupt_message = [](wire::message& message) {
    if (auto* sections = std::get_if<wire::configuration_sections>(&message)) {
      for (auto& section : sections->sections) {
        section.second += " ";
      }
      if (sections->sections.empty()) {
        sections->index = "{}";
      }
    }
  };
  sim.apply(make_manifest(20, 1));
  EXPECT_LT(sim.run_until_all_up_to_date(seconds(60)), seconds(60));
  sim.corrupt_message = nullptr;
  sim.apply(make_manifest(20, 2));
  EXPECT_LT(sim.run_until_all_up_to_date(k_propagation_limit), k_propagation_limit);
}

// Guards against control traffic that grows with the fleet, here with the number of its upstreams: the limit
// for a node is 10 KB a second at 16,000 changes a day.
TEST(propagation, a_change_of_one_upstream_of_12000_costs_few_bytes) {
  constexpr std::size_t k_upstreams = 12000;
  constexpr int k_changes = 2;
  simulation sim({.availability_zones = 2, .entries = 4, .agents = 40, .agent_links = 2}, 1);
  sim.apply(make_manifest(k_upstreams, 1));
  ASSERT_LT(sim.run_until_all_up_to_date(seconds(60)), seconds(60));
  for (auto& process : sim.processes) {
    process.rollout_traffic = {};
  }
  milliseconds max_time{0};
  for (int change = 0; change < k_changes; ++change) {
    sim.apply(make_manifest(k_upstreams, 2 + static_cast<std::uint32_t>(change)));
    max_time = std::max(max_time, sim.run_until_all_up_to_date(k_propagation_limit));
  }
  EXPECT_LT(max_time, k_propagation_limit);
  traffic sum;
  std::uint64_t max_bytes = 0;
  for (const auto& process : sim.processes) {
    sum.messages += process.rollout_traffic.messages;
    sum.bytes += process.rollout_traffic.bytes;
    max_bytes = std::max(max_bytes, process.rollout_traffic.bytes);
  }
  constexpr double k_changes_per_second = 16000.0 / 86400;
  const double mean = static_cast<double>(sum.bytes) / k_changes / static_cast<double>(sim.processes.size());
  const double max_mean = static_cast<double>(max_bytes) / k_changes;
  std::printf(
      "for one change: mean %.0f bytes and %.1f messages a process (%.0f B/s), most %.0f bytes (%.0f B/s); "
      "longest %lld ms\n",
      mean, static_cast<double>(sum.messages) / k_changes / static_cast<double>(sim.processes.size()),
      mean * k_changes_per_second, max_mean, max_mean * k_changes_per_second,
      static_cast<long long>(max_time.count()));
  EXPECT_LT(max_mean * k_changes_per_second, 10'000);
}

}  // namespace
}  // namespace cuminpath::rollout
