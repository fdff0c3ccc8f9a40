// Membership against the size of the fleet: the state of an entry that knows all members, its heartbeats on
// virtual time, and the loss of a rack.
#include "bench/capacity/measure.h"
#include "bench/capacity/sample_fleet.h"
#include "core/common/random.h"
#include "core/membership/member_table.h"
#include "core/wire/codec.h"

namespace cuminpath::bench {
namespace {

constexpr incarnation k_peer_incarnation{7};
constexpr int k_ticks_per_second = 100;
constexpr int k_seconds = 5;
// Number of members that send heartbeats to an entry. About 13 other entries have it among their peers. There
// are ten agents per entry and each of them chooses two entries, so 20 agents send to each entry.
constexpr std::uint32_t k_entry_senders = 13;
constexpr std::uint32_t k_agent_senders = 2 * k_agents_per_entry;
constexpr std::uint32_t k_rack_hosts = 40;

struct heartbeat_traffic {
  double sent_heartbeats = 0;
  double sent_bytes = 0;  // Sent, with one envelope per heartbeat.
  double cpu_time_us = 0;
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

// Runs the table for k_seconds and returns the traffic per second. All peers answer, and the expected number
// of other members send heartbeats.
heartbeat_traffic run_seconds(membership::member_table& table, time_point& now, std::uint32_t entries,
                              random_source& random) {
  heartbeat_traffic sum;
  std::vector<membership::send_heartbeat> heartbeats;
  for (int i = 0; i < k_seconds * k_ticks_per_second; ++i) {
    now += milliseconds(1000 / k_ticks_per_second);
    heartbeats.clear();
    sum.cpu_time_us += cpu_us_of([&] {
      if (i % k_ticks_per_second == 0) {
        for (std::uint32_t peer = 1; peer <= std::min(k_entry_senders, entries - 1); ++peer) {
          table.on_message(now, peer_address(peer), k_peer_incarnation);
          table.on_heartbeat(now, peer_address(peer), k_peer_incarnation, {});
        }
        for (std::uint32_t peer = 0; peer < k_agent_senders; ++peer) {
          table.on_message(now, peer_address(entries + peer), k_peer_incarnation);
          table.on_heartbeat(now, peer_address(entries + peer), k_peer_incarnation, {});
        }
      }
      table.tick(now, random, heartbeats);
      for (const auto& heartbeat : heartbeats) {
        table.on_message(now, heartbeat.peer_address, k_peer_incarnation);
      }
    });
    for (const auto& heartbeat : heartbeats) {
      sum.sent_heartbeats += 1;
      sum.sent_bytes += envelope_bytes(heartbeat.message);
    }
  }
  return {sum.sent_heartbeats / k_seconds, sum.sent_bytes / k_seconds, sum.cpu_time_us / k_seconds};
}

void measure(std::uint32_t entries) {
  const std::uint32_t agents = entries * k_agents_per_entry;
  auto hosts = sample_hosts(entries, agents);
  random_source random(1);
  time_point now = k_start;
  const double heap_before = heap_bytes();
  membership::member_table table({.name = "entry-00000",
                                  .role = storage::host_role::entry,
                                  .availability_zone = zone_name(0),
                                  .local_incarnation = incarnation{1}});
  const double first_us = cpu_us_of([&] { table.on_host_list(now, hosts); });
  const double state_bytes = heap_bytes() - heap_before;
  ++hosts.generation;
  const double repeated_us = cpu_us_of([&] { table.on_host_list(now, hosts); });
  run_seconds(table, now, entries, random);
  const heartbeat_traffic idle = run_seconds(table, now, entries, random);
  const double copy_us = cpu_us_of([&] { static_cast<void>(table.members(storage::host_role::agent)); });
  wire::heartbeat rack_loss;
  for (std::uint32_t i = 0; i < k_rack_hosts; ++i) {
    rack_loss.events.push_back(
        {hosts.hosts[entries + agents / 2 + i].name, {}, wire::member_state::suspected});
  }
  table.on_heartbeat(now, peer_address(1), k_peer_incarnation, rack_loss);
  const heartbeat_traffic rack = run_seconds(table, now, entries, random);
  print_point("membership", "members", entries + agents,
              {{"state_bytes", state_bytes},
               {"first_list_us", first_us},
               {"same_list_us", repeated_us},
               {"members_copy_us", copy_us},
               {"heartbeats_sent_per_s", idle.sent_heartbeats},
               {"heartbeat_bytes_sent_per_s", idle.sent_bytes},
               {"tick_cpu_us_per_s", idle.cpu_time_us},
               {"rack_lost_bytes_sent_per_s", rack.sent_bytes},
               {"rack_lost_cpu_us_per_s", rack.cpu_time_us}});
}

}  // namespace

void membership_slope() {
  for (const std::uint32_t entries : {120U, 300U, 600U, 1200U}) {
    measure(entries);
  }
}

}  // namespace cuminpath::bench
