#include "core/membership/member_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "core/wire/codec.h"

namespace cuminpath::membership {
namespace {

constexpr milliseconds k_tick{100};
constexpr std::size_t k_no_limit = 100000;

std::string name_of(std::size_t i) {
  return "entry-" + std::to_string(10000 + i);
}
std::string peer_address_of(std::size_t i) {
  return "10.0.0.1:" + std::to_string(10000 + i);
}

storage::host_entry make_entry(std::size_t i, std::size_t availability_zones = 3) {
  return {.name = name_of(i),
          .role = storage::host_role::entry,
          .availability_zone = "zone-" + std::to_string(i % availability_zones),
          .region = "r",
          .address = "10.1.0.1:" + std::to_string(10000 + i),
          .peer_address = peer_address_of(i),
          .admin_address = {}};
}

storage::host_list make_host_list(std::size_t count, std::uint64_t generation = 1) {
  storage::host_list list{.generation = generation, .hosts = {}};
  for (std::size_t i = 0; i < count; ++i) {
    list.hosts.push_back(make_entry(i));
  }
  return list;
}

member_table make_table(std::size_t i, std::uint64_t incarnation_number = 1) {
  return member_table({.name = name_of(i),
                       .role = storage::host_role::entry,
                       .availability_zone = make_entry(i).availability_zone,
                       .local_incarnation = incarnation{incarnation_number}});
}

bool offers_entry(const member_table& table, std::size_t i) {
  const auto entries = table.entries_for_callers(k_no_limit);
  return std::any_of(entries.begin(), entries.end(),
                     [i](const auto& item) { return item.address == make_entry(i).address; });
}

// Entries on virtual time that exchange their heartbeats with a delay of one tick.
struct fleet {
  time_point now = time_point() + std::chrono::hours(1);
  random_source random{20261204};
  std::vector<std::unique_ptr<member_table>> tables;  // Null if the entry has failed.
  std::vector<std::uint64_t> incarnations;
  std::size_t sent = 0;

  explicit fleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      incarnations.push_back(100 + i);
      start(i);
    }
  }
  void start(std::size_t i) {
    tables.resize(std::max(tables.size(), i + 1));
    tables[i] = std::make_unique<member_table>(make_table(i, incarnations[i]));
  }
  void apply_host_list(const storage::host_list& hosts) {
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
        tables[to]->on_heartbeat(now, peer_address_of(from), incarnation{incarnations[from]},
                                 heartbeat.message);
      }
    }
  }
  void run(duration time) {
    for (const auto end = now + time; now < end;) {
      step();
    }
  }
  // Returns the seconds until all other entries that are alive offer the entry to callers (or no longer offer
  // it), or nothing if that does not happen within the timeout.
  std::optional<double> time_until_offered(std::size_t i, bool offered, duration timeout) {
    const auto start_time = now;
    while (now < start_time + timeout) {
      step();
      bool all = true;
      for (std::size_t other = 0; other < tables.size() && all; ++other) {
        all = other == i || tables[other] == nullptr || offers_entry(*tables[other], i) == offered;
      }
      if (all) {
        return std::chrono::duration<double>(now - start_time).count();
      }
    }
    return std::nullopt;
  }
};

// Guards against a membership cost per process that grows with the fleet. Measures the number and size of
// heartbeats in 20 s, while every peer keeps reporting changes.
TEST(member_table, cost_does_not_grow_with_the_fleet) {
  std::map<std::size_t, std::pair<std::size_t, std::size_t>> costs;
  for (const std::size_t size : {20, 2000}) {
    random_source random(1);
    auto table = make_table(0);
    auto now = time_point() + seconds(100);
    table.on_host_list(now, make_host_list(size));
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
          // A new event each time: a process has restarted.
          const auto subject = 1 + ++changes % 19;
          answer.events.push_back({.name = name_of(subject),
                                   .incarnation_number = incarnation{changes},
                                   .state = wire::member_state::alive});
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

// Guards against callers that are sent to a failed, leaving or restarted entry, or that are never again sent
// to an entry that has recovered.
TEST(member_table, every_entry_learns_of_failure_recovery_and_leaving) {
  constexpr std::size_t k_size = 120;
  constexpr std::size_t k_subject = 17;
  fleet entries(k_size);
  entries.apply_host_list(make_host_list(k_size));
  entries.run(seconds(5));
  for (const auto& table : entries.tables) {
    ASSERT_EQ(table->entries_for_callers(k_no_limit).size(), k_size);
  }
  entries.tables[k_subject] = nullptr;
  const auto failure = entries.time_until_offered(k_subject, false, seconds(10));
  ASSERT_TRUE(failure);
  entries.run(seconds(30));
  // The suspicion is renewed while no message arrives.
  EXPECT_FALSE(offers_entry(*entries.tables[0], k_subject));

  entries.incarnations[k_subject] = 999;
  entries.start(k_subject);
  entries.tables[k_subject]->on_host_list(entries.now, make_host_list(k_size));
  const auto recovery = entries.time_until_offered(k_subject, true, seconds(15));
  ASSERT_TRUE(recovery);

  entries.tables[k_subject]->leave(entries.now);
  const auto leaving = entries.time_until_offered(k_subject, false, seconds(10));
  ASSERT_TRUE(leaving);
  EXPECT_FALSE(entries.tables[0]->find(name_of(k_subject)));
  std::cout << "120 entries detect a failure after " << *failure << " s, a recovery after " << *recovery
            << " s, leaving after " << *leaving << " s\n";
}

// Guards against endless answers to answers between processes that are not heartbeat peers of each other.
TEST(member_table, answers_do_not_cause_endless_traffic) {
  constexpr std::size_t k_size = 60;
  fleet entries(k_size);
  entries.apply_host_list(make_host_list(k_size));
  entries.run(seconds(5));
  wire::heartbeat stray;
  entries.tables[3]->on_heartbeat(entries.now, peer_address_of(40), incarnation{140}, stray);
  entries.sent = 0;
  entries.run(seconds(10));
  // Three peers in the local and one in each of two other availability zones; each heartbeat is answered.
  EXPECT_LE(entries.sent, k_size * 5 * 2 * 10 + k_size * 10);
}

// Guards against offering an entry that is in the lagging host list but has never been alive.
TEST(member_table, suspects_a_listed_entry_that_never_sends_a_message) {
  constexpr std::size_t k_size = 12;
  fleet entries(k_size);
  entries.tables[5] = nullptr;
  entries.apply_host_list(make_host_list(k_size));
  EXPECT_TRUE(entries.time_until_offered(5, false, seconds(6)));
}

// Guards against a failed store reader that is replaced only when the host list drops it.
TEST(member_table, alive_local_entries_exclude_the_suspected_and_other_availability_zones) {
  auto table = make_table(0);
  const auto start = time_point() + std::chrono::hours(1);
  table.on_host_list(start, make_host_list(6));
  EXPECT_EQ(table.alive_local_entries().size(), 2U);  // Entries 0 and 3.
  random_source random{20261204};
  std::vector<send_heartbeat> heartbeats;
  for (auto now = start; now < start + seconds(5); now += k_tick) {
    table.tick(now, random, heartbeats);
  }
  EXPECT_EQ(table.alive_local_entries(), std::vector<std::string>{name_of(0)});
}

// Guards against an entry that is alive before it is listed and is then mistaken for another process or for a
// failed one.
TEST(member_table, knows_an_entry_that_sent_a_message_before_it_was_listed) {
  random_source random(3);
  auto table = make_table(0);
  auto now = time_point() + seconds(100);
  table.on_host_list(now, make_host_list(2, 1));
  table.on_message(now, peer_address_of(2), incarnation{42});
  EXPECT_FALSE(table.find(name_of(2)));
  now += milliseconds(500);
  table.on_host_list(now, make_host_list(3, 2));
  ASSERT_TRUE(table.find(name_of(2)));
  // Messages received directly from it take precedence over what others report about it.
  wire::heartbeat indirect;
  indirect.events = {
      {.name = name_of(2), .incarnation_number = incarnation{42}, .state = wire::member_state::suspected},
      {.name = name_of(2), .incarnation_number = incarnation{41}, .state = wire::member_state::leaving}};
  table.on_heartbeat(now, peer_address_of(1), incarnation{1}, indirect);
  EXPECT_TRUE(offers_entry(table, 2));
}

// Guards against removing the whole fleet because a replica of the list service lags behind or has just
// started.
TEST(member_table, ignores_an_empty_or_older_list) {
  auto table = make_table(0);
  const auto now = time_point() + seconds(100);
  table.on_host_list(now, make_host_list(10, 5));
  const auto generation = table.generation();
  table.on_host_list(now + seconds(1), {.generation = 6, .hosts = {}});
  table.on_host_list(now + seconds(2), make_host_list(4, 3));
  EXPECT_EQ(table.members(storage::host_role::entry).size(), 10U);
  EXPECT_EQ(table.generation(), generation);
  // A restarted list service counts its generations from the beginning.
  table.on_host_list(now + seconds(90), make_host_list(4, 1));
  EXPECT_EQ(table.members(storage::host_role::entry).size(), 4U);
}

// Guards against a process that suspects all its peers after it was suspended itself.
TEST(member_table, a_suspension_of_the_local_process_does_not_make_peers_suspected) {
  random_source random(4);
  auto table = make_table(0);
  auto now = time_point() + seconds(100);
  table.on_host_list(now, make_host_list(5));
  std::vector<send_heartbeat> heartbeats;
  table.tick(now, random, heartbeats);
  now += seconds(30);
  table.tick(now, random, heartbeats);
  EXPECT_EQ(table.entries_for_callers(k_no_limit).size(), 5U);
  now += milliseconds(400);
  table.tick(now, random, heartbeats);
  for (int i = 0; i < 6; ++i) {
    now += milliseconds(400);
    table.tick(now, random, heartbeats);
  }
  // Peers that send no messages afterwards are still suspected; one entry is not a heartbeat peer.
  EXPECT_EQ(table.entries_for_callers(k_no_limit).size(), 2U);
}

// Guards against late events about an earlier incarnation that remove a restarted process.
TEST(member_table, ignores_events_about_an_earlier_incarnation) {
  auto table = make_table(0);
  const auto now = time_point() + seconds(100);
  table.on_host_list(now, make_host_list(5));
  table.on_message(now, peer_address_of(2), incarnation{50});
  table.on_message(now + seconds(1), peer_address_of(2), incarnation{51});
  wire::heartbeat late;
  late.events = {
      {.name = name_of(2), .incarnation_number = incarnation{50}, .state = wire::member_state::leaving}};
  table.on_heartbeat(now + seconds(20), peer_address_of(1), incarnation{1}, late);
  EXPECT_TRUE(table.find(name_of(2)));
  late.events.front().incarnation_number = incarnation{51};
  table.on_heartbeat(now + seconds(20), peer_address_of(1), incarnation{1}, late);
  EXPECT_FALSE(table.find(name_of(2)));
}

}  // namespace
}  // namespace cuminpath::membership
