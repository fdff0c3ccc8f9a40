// Membership: an entry that knows the whole fleet, its heartbeats on virtual time, and a lost rack.
#include "bench/capacity/measure.h"
#include "bench/capacity/sample_fleet.h"
#include "core/common/random.h"
#include "core/membership/member_table.h"
#include "core/wire/codec.h"

namespace cuminpath::bench {
namespace {

constexpr incarnation k_number{7};
constexpr int k_ticks_per_second = 100;
constexpr int k_seconds = 5;
// Each entry is among the peers of about 13 others, and of two agents' choices for each of its ten hosts.
constexpr std::uint32_t k_entries_in = 13;
constexpr std::uint32_t k_agents_in = 2 * k_agents_per_entry;
constexpr std::uint32_t k_rack = 40;

struct traffic {
  double sent = 0;
  double bytes = 0;  // Sent; each heartbeat is an envelope of its own.
  double cpu = 0;
};

double envelope_bytes(const wire::heartbeat& message) {
  return static_cast<double>(wire::encode({.sender = "entry-00000",
                                           .sender_address = peer_address(0),
                                           .sender_incarnation = incarnation{0x123456789abcdef0},
                                           .sequence = 100000,
                                           .version = configuration_version{1000000},
                                           .logical_time = 0x0193000000000000,
                                           .messages = {message}})
                                 .size());
}

// All peers answer, and the expected number of others send heartbeats of their own.
traffic run_seconds(membership::member_table& table, time_point& now, std::uint32_t entries,
                    random_source& random) {
  traffic sum;
  std::vector<membership::send_heartbeat> heartbeats;
  for (int i = 0; i < k_seconds * k_ticks_per_second; ++i) {
    now += milliseconds(1000 / k_ticks_per_second);
    heartbeats.clear();
    sum.cpu += cpu_us_of([&] {
      if (i % k_ticks_per_second == 0) {
        for (std::uint32_t peer = 1; peer <= std::min(k_entries_in, entries - 1); ++peer) {
          table.on_message(now, peer_address(peer), k_number);
          table.on_heartbeat(now, peer_address(peer), k_number, {});
        }
        for (std::uint32_t peer = 0; peer < k_agents_in; ++peer) {
          table.on_message(now, peer_address(entries + peer), k_number);
          table.on_heartbeat(now, peer_address(entries + peer), k_number, {});
        }
      }
      table.tick(now, random, heartbeats);
      for (const auto& heartbeat : heartbeats) {
        table.on_message(now, heartbeat.peer_address, k_number);
      }
    });
    for (const auto& heartbeat : heartbeats) {
      sum.sent += 1;
      sum.bytes += envelope_bytes(heartbeat.message);
    }
  }
  return {sum.sent / k_seconds, sum.bytes / k_seconds, sum.cpu / k_seconds};
}

void measure(std::uint32_t entries) {
  const std::uint32_t agents = entries * k_agents_per_entry;
  auto hosts = sample_hosts(entries, agents);
  random_source random(1);
  time_point now = k_start;
  const double before = heap_bytes();
  membership::member_table table({.name = "entry-00000",
                                  .role = storage::host_role::entry,
                                  .availability_zone = zone_name(0),
                                  .local_incarnation = incarnation{1}});
  const double first_us = cpu_us_of([&] { table.on_host_list(now, hosts); });
  const double state = heap_bytes() - before;
  ++hosts.generation;
  const double again_us = cpu_us_of([&] { table.on_host_list(now, hosts); });
  run_seconds(table, now, entries, random);
  const traffic idle = run_seconds(table, now, entries, random);
  const double copy_us = cpu_us_of([&] { static_cast<void>(table.members(storage::host_role::agent)); });
  wire::heartbeat news;
  for (std::uint32_t i = 0; i < k_rack; ++i) {
    news.events.push_back({hosts.hosts[entries + agents / 2 + i].name, {}, wire::member_state::suspected});
  }
  table.on_heartbeat(now, peer_address(1), k_number, news);
  const traffic rack = run_seconds(table, now, entries, random);
  print_point("membership", "members", entries + agents,
              {{"state_bytes", state},
               {"first_list_us", first_us},
               {"same_list_us", again_us},
               {"members_copy_us", copy_us},
               {"heartbeats_sent_per_s", idle.sent},
               {"heartbeat_bytes_sent_per_s", idle.bytes},
               {"tick_cpu_us_per_s", idle.cpu},
               {"rack_lost_bytes_sent_per_s", rack.bytes},
               {"rack_lost_cpu_us_per_s", rack.cpu}});
}

}  // namespace

void membership_slope() {
  for (const std::uint32_t entries : {120U, 300U, 600U, 1200U}) {
    measure(entries);
  }
}

}  // namespace cuminpath::bench
