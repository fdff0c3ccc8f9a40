#include "core/membership/member_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "core/wire/codec.h"

namespace cuminpath::membership {
namespace {

constexpr milliseconds k_tick{100};
constexpr std::size_t k_all = 100000;

std::string name_of(std::size_t i) {
  return "entry-" + std::to_string(10000 + i);
}
std::string peer_address_of(std::size_t i) {
  return "10.0.0.1:" + std::to_string(10000 + i);
}

storage::host_entry entry(std::size_t i, std::size_t zones = 3) {
  return {.name = name_of(i),
          .role = storage::host_role::entry,
          .availability_zone = "zone-" + std::to_string(i % zones),
          .region = "r",
          .address = "10.1.0.1:" + std::to_string(10000 + i),
          .peer_address = peer_address_of(i),
          .admin_address = {}};
}

storage::host_list list_of(std::size_t count, std::uint64_t generation = 1) {
  storage::host_list list{.generation = generation, .hosts = {}};
  for (std::size_t i = 0; i < count; ++i) {
    list.hosts.push_back(entry(i));
  }
  return list;
}

member_table table_of(std::size_t i, std::uint64_t number = 1) {
  return member_table({.name = name_of(i),
                       .role = storage::host_role::entry,
                       .availability_zone = entry(i).availability_zone,
                       .number = incarnation{number}});
}

bool offers(const member_table& table, std::size_t i) {
  const auto entries = table.entries_for_callers(k_all);
  return std::any_of(entries.begin(), entries.end(),
                     [i](const auto& item) { return item.address == entry(i).address; });
}

// Entries on virtual time that exchange their heartbeats with a delay of one tick.
struct fleet {
  time_point now = time_point() + std::chrono::hours(1);
  random_source random{20261204};
  std::vector<std::unique_ptr<member_table>> tables;  // Null: dead.
  std::vector<std::uint64_t> numbers;
  std::size_t sent = 0;

  explicit fleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      numbers.push_back(100 + i);
      start(i);
    }
  }
  void start(std::size_t i) {
    tables.resize(std::max(tables.size(), i + 1));
    tables[i] = std::make_unique<member_table>(table_of(i, numbers[i]));
  }
  void list(const storage::host_list& hosts) {
    for (auto& table : tables) {
      if (table != nullptr) {
        table->on_host_list(now, hosts);
      }
    }
  }
  void step() {
    now += k_tick;
    std::vector<std::pair<std::size_t, send_heartbeat>> round;
    for (std::size_t i = 0; i < tables.size(); ++i) {
      std::vector<send_heartbeat> heartbeats;
      if (tables[i] != nullptr) {
        tables[i]->tick(now, random, heartbeats);
      }
      for (auto& heartbeat : heartbeats) {
        round.emplace_back(i, std::move(heartbeat));
      }
    }
    sent += round.size();
    for (const auto& [from, heartbeat] : round) {
      const auto to = std::stoul(heartbeat.peer_address.substr(heartbeat.peer_address.find(':') + 1)) - 10000;
      if (to < tables.size() && tables[to] != nullptr) {
        tables[to]->on_heartbeat(now, peer_address_of(from), incarnation{numbers[from]}, heartbeat.message);
      }
    }
  }
  void run(duration time) {
    for (const auto end = now + time; now < end;) {
      step();
    }
  }
  // Seconds until all other living entries (do not) offer the entry, or absent after the bound.
  std::optional<double> time_until_offered(std::size_t i, bool offered, duration bound) {
    const auto start_time = now;
    while (now < start_time + bound) {
      step();
      bool all = true;
      for (std::size_t other = 0; other < tables.size() && all; ++other) {
        all = other == i || tables[other] == nullptr || offers(*tables[other], i) == offered;
      }
      if (all) {
        return std::chrono::duration<double>(now - start_time).count();
      }
    }
    return std::nullopt;
  }
};

// Guards against a cost of membership for each process that grows with the fleet: the number and the size of
// heartbeats in 20 s, while every peer keeps reporting changes.
TEST(member_table, cost_does_not_grow_with_the_fleet) {
  std::map<std::size_t, std::pair<std::size_t, std::size_t>> costs;
  for (const std::size_t size : {20, 2000}) {
    random_source random(1);
    auto table = table_of(0);
    auto now = time_point() + seconds(100);
    table.on_host_list(now, list_of(size));
    std::size_t messages = 0;
    std::size_t bytes = 0;
    std::uint64_t changes = 0;
    for (const auto end = now + seconds(20); now < end; now += k_tick) {
      std::vector<send_heartbeat> heartbeats;
      table.tick(now, random, heartbeats);
      for (const auto& sent : heartbeats) {
        ++messages;
        bytes += wire::encode({.sender = "entry", .sender_address = "", .messages = {sent.message}}).size();
        wire::heartbeat answer;
        for (std::uint64_t i = 0; i < k_max_events; ++i) {
          // News each time, of a restarted process.
          const auto about = 1 + ++changes % 19;
          answer.events.push_back(
              {.name = name_of(about), .number = incarnation{changes}, .state = wire::member_state::alive});
        }
        table.on_heartbeat(now, sent.peer_address, incarnation{7}, answer);
      }
    }
    costs[size] = {messages, bytes};
    RecordProperty("messages_" + std::to_string(size), static_cast<int>(messages));
    RecordProperty("bytes_" + std::to_string(size), static_cast<int>(bytes));
  }
  EXPECT_GE(costs[20].first, 5U * 19);
  EXPECT_LE(costs[2000].first, costs[20].first + 5);
  EXPECT_LE(costs[2000].second, costs[20].second * 12 / 10);
}

// Guards against callers that are sent to a dead, leaving or restarted entry, or never again to one that is
// back.
TEST(member_table, every_entry_learns_of_death_return_and_leaving) {
  constexpr std::size_t k_size = 120;
  constexpr std::size_t k_subject = 17;
  fleet all(k_size);
  all.list(list_of(k_size));
  all.run(seconds(5));
  for (const auto& table : all.tables) {
    ASSERT_EQ(table->entries_for_callers(k_all).size(), k_size);
  }
  all.tables[k_subject] = nullptr;
  const auto death = all.time_until_offered(k_subject, false, seconds(10));
  ASSERT_TRUE(death);
  all.run(seconds(30));
  EXPECT_FALSE(offers(*all.tables[0], k_subject));  // The suspicion is renewed while it is silent.

  all.numbers[k_subject] = 999;
  all.start(k_subject);
  all.tables[k_subject]->on_host_list(all.now, list_of(k_size));
  const auto back = all.time_until_offered(k_subject, true, seconds(15));
  ASSERT_TRUE(back);

  all.tables[k_subject]->leave(all.now);
  const auto leaving = all.time_until_offered(k_subject, false, seconds(10));
  ASSERT_TRUE(leaving);
  EXPECT_FALSE(all.tables[0]->find(name_of(k_subject)));
  std::cout << "120 entries know of a death after " << *death << " s, of a return after " << *back
            << " s, of leaving after " << *leaving << " s\n";
}

// Guards against answers that are answered for ever by processes that do not have each other as peers.
TEST(member_table, answers_do_not_cause_endless_traffic) {
  constexpr std::size_t k_size = 60;
  fleet all(k_size);
  all.list(list_of(k_size));
  all.run(seconds(5));
  wire::heartbeat stray;
  all.tables[3]->on_heartbeat(all.now, peer_address_of(40), incarnation{140}, stray);
  all.sent = 0;
  all.run(seconds(10));
  // Three peers in the own and one in each of two other availability zones; each heartbeat is answered.
  EXPECT_LE(all.sent, k_size * 5 * 2 * 10 + k_size * 10);
}

// Guards against an entry that is in the lagging list but dead from the start and stays on offer.
TEST(member_table, suspects_a_listed_entry_that_never_speaks) {
  constexpr std::size_t k_size = 12;
  fleet all(k_size);
  all.tables[5] = nullptr;
  all.list(list_of(k_size));
  EXPECT_TRUE(all.time_until_offered(5, false, seconds(6)));
}

// Guards against a dead poller of the configuration that is replaced only when the host list drops it.
TEST(member_table, live_zone_entries_exclude_the_suspected_and_other_zones) {
  auto table = table_of(0);
  const auto start = time_point() + std::chrono::hours(1);
  table.on_host_list(start, list_of(6));
  EXPECT_EQ(table.live_zone_entries().size(), 2U);  // Entries 0 and 3.
  random_source random{20261204};
  std::vector<send_heartbeat> heartbeats;
  for (auto now = start; now < start + seconds(5); now += k_tick) {
    table.tick(now, random, heartbeats);
  }
  EXPECT_EQ(table.live_zone_entries(), std::vector<std::string>{name_of(0)});
}

// Guards against an entry that is alive before the list shows it and is then taken for another or for dead.
TEST(member_table, knows_an_entry_that_spoke_before_it_was_listed) {
  random_source random(3);
  auto table = table_of(0);
  auto now = time_point() + seconds(100);
  table.on_host_list(now, list_of(2, 1));
  table.on_message(now, peer_address_of(2), incarnation{42});
  EXPECT_FALSE(table.find(name_of(2)));
  now += milliseconds(500);
  table.on_host_list(now, list_of(3, 2));
  ASSERT_TRUE(table.find(name_of(2)));
  // What it says itself outranks what others say about it.
  wire::heartbeat rumour;
  rumour.events = {{.name = name_of(2), .number = incarnation{42}, .state = wire::member_state::suspected},
                   {.name = name_of(2), .number = incarnation{41}, .state = wire::member_state::leaving}};
  table.on_heartbeat(now, peer_address_of(1), incarnation{1}, rumour);
  EXPECT_TRUE(offers(table, 2));
}

// Guards against a fleet that vanishes because a replica of the list service is behind or has just started.
TEST(member_table, ignores_an_empty_or_older_list) {
  auto table = table_of(0);
  const auto now = time_point() + seconds(100);
  table.on_host_list(now, list_of(10, 5));
  const auto generation = table.generation();
  table.on_host_list(now + seconds(1), {.generation = 6, .hosts = {}});
  table.on_host_list(now + seconds(2), list_of(4, 3));
  EXPECT_EQ(table.members(storage::host_role::entry).size(), 10U);
  EXPECT_EQ(table.generation(), generation);
  // A list service that has started anew counts from the beginning.
  table.on_host_list(now + seconds(90), list_of(4, 1));
  EXPECT_EQ(table.members(storage::host_role::entry).size(), 4U);
}

// Guards against a process that was paused and then takes all its peers for dead.
TEST(member_table, a_pause_of_this_process_is_no_sign_of_dead_peers) {
  random_source random(4);
  auto table = table_of(0);
  auto now = time_point() + seconds(100);
  table.on_host_list(now, list_of(5));
  std::vector<send_heartbeat> heartbeats;
  table.tick(now, random, heartbeats);
  now += seconds(30);
  table.tick(now, random, heartbeats);
  EXPECT_EQ(table.entries_for_callers(k_all).size(), 5U);
  now += milliseconds(400);
  table.tick(now, random, heartbeats);
  for (int i = 0; i < 6; ++i) {
    now += milliseconds(400);
    table.tick(now, random, heartbeats);
  }
  // Real silence still counts; one entry is not among the own peers.
  EXPECT_EQ(table.entries_for_callers(k_all).size(), 2U);
}

// Guards against late news about a predecessor that removes a restarted process.
TEST(member_table, ignores_events_about_an_older_incarnation) {
  auto table = table_of(0);
  const auto now = time_point() + seconds(100);
  table.on_host_list(now, list_of(5));
  table.on_message(now, peer_address_of(2), incarnation{50});
  table.on_message(now + seconds(1), peer_address_of(2), incarnation{51});
  wire::heartbeat late;
  late.events = {{.name = name_of(2), .number = incarnation{50}, .state = wire::member_state::leaving}};
  table.on_heartbeat(now + seconds(20), peer_address_of(1), incarnation{1}, late);
  EXPECT_TRUE(table.find(name_of(2)));
  late.events.front().number = incarnation{51};
  table.on_heartbeat(now + seconds(20), peer_address_of(1), incarnation{1}, late);
  EXPECT_FALSE(table.find(name_of(2)));
}

}  // namespace
}  // namespace cuminpath::membership
