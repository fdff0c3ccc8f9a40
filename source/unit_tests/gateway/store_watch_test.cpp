#include "core/gateway/store_watch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/common/random.h"

namespace cuminpath::gateway {
namespace {

constexpr milliseconds k_step{50};
constexpr milliseconds k_report_interval{200};
constexpr milliseconds k_silent_after{800};
// A call to a store that has gone silent fails after this time.
constexpr milliseconds k_silent_call{3400};
// Time within which a change has to be known: upstreams that leave may get nothing 2 s after the store says
// so, and a gateway needs a part of that to act on it.
constexpr milliseconds k_known_within{1700};
// What a gateway must have had before the bound holds for it: the platform's time to be steady.
constexpr milliseconds k_steady{3000};
constexpr double k_report_loss = 0.03;

struct virtual_gateway {
  member_report self;
  member_list members{{.silent_after = k_silent_after}};
  store_watch watch;
  bool runs = true;
  bool store_open = true;                 // Calls of this gateway reach the store.
  bool cut_off = false;                   // From all other gateways.
  std::optional<time_point> store_fails;  // When calls that hang are given up.
  time_point steady_since{};
  time_point reported{};
};

// Gateways in three zones, a store whose content changes, and faults.
class fleet {
public:
  fleet(std::size_t gateways, std::uint64_t seed) : m_random(seed), m_gateways(gateways) {
    for (std::size_t i = 0; i < gateways; ++i) {
      restart(i);
    }
  }

  void step() {
    m_now += k_step;
    if (chance(0.1)) {
      m_changes.push_back(m_now);
    }
    for (virtual_gateway& each : m_gateways) {
      if (each.runs) {
        act(each);
      }
    }
  }

  void run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += k_step) {
      step();
    }
  }

  void disturb() {
    auto& target = m_gateways[random_index(m_random, m_gateways.size())];
    switch (random_index(m_random, 6)) {
      case 0:
        target.runs = false;
        return;
      case 1:
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
          if (!m_gateways[i].runs) {
            restart(i);
          }
        }
        return;
      case 2:
        turn_away(0.35);
        return;
      case 3:
        turn_away(0);
        return;
      case 4:
        target.cut_off = !target.cut_off;
        target.steady_since = m_now;
        return;
      default:
        // A process that is lost beside others in the same moment.
        for (auto& each : m_gateways) {
          each.runs = each.runs && !chance(0.3);
        }
        return;
    }
  }

  // The longest time for which a steady gateway that the store serves did not know of a change.
  [[nodiscard]] milliseconds worst_lag() const { return m_worst_lag; }
  [[nodiscard]] std::size_t readers(std::string_view zone) const {
    return static_cast<std::size_t>(
        std::count_if(m_gateways.begin(), m_gateways.end(), [&](const virtual_gateway& each) {
          return each.runs && each.self.availability_zone == zone && each.watch.reads_store();
        }));
  }

private:
  bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }

  void restart(std::size_t index) {
    virtual_gateway fresh;
    fresh.self = {.name = "gateway" + std::to_string(index),
                  .incarnation = m_random(),
                  .availability_zone = "zone" + std::to_string(index % 3),
                  .state = member_state::ready};
    fresh.store_open = m_gateways[index].store_open;
    fresh.cut_off = m_gateways[index].cut_off;
    fresh.steady_since = m_now;
    m_gateways[index] = std::move(fresh);
  }

  void turn_away(double share) {
    for (auto& each : m_gateways) {
      const bool open = !chance(share);
      if (open != each.store_open) {
        each.store_open = open;
        each.steady_since = m_now;
        each.store_fails.reset();
      }
    }
  }

  void act(virtual_gateway& each) {
    each.watch.update(each.self, each.members, m_now);
    if (each.watch.reads_store()) {
      read_store(each);
    } else {
      each.self.reads_store = false;
      each.store_fails.reset();
    }
    take_changes(each);
    if (m_now - each.reported >= k_report_interval) {
      report(each);
    }
    const auto known = static_cast<std::size_t>(each.self.mirror_version);
    if (each.store_open && m_now - each.steady_since >= k_steady && known < m_changes.size()) {
      m_worst_lag =
          std::max(m_worst_lag, std::chrono::duration_cast<milliseconds>(
                                    m_now - std::max(m_changes[known], each.steady_since + k_steady)));
    }
  }

  void read_store(virtual_gateway& each) {
    if (each.store_open) {
      each.store_fails.reset();
      each.self.reads_store = true;
      each.self.mirror_version = m_changes.size();
    } else if (!each.store_fails) {
      each.store_fails = m_now + random_index(m_random, k_silent_call.count()) * milliseconds{1};
    } else if (m_now >= *each.store_fails) {
      each.self.reads_store = false;
    }
  }

  void take_changes(virtual_gateway& each) {
    const auto* newer =
        each.members.newer_mirror(each.self.mirror_version, each.self.availability_zone, m_now, m_random);
    each.watch.on_compared(newer != nullptr, m_now);
    if (newer != nullptr && !each.cut_off && !source_of(*newer).cut_off && source_of(*newer).runs) {
      each.self.mirror_version = std::max(each.self.mirror_version, source_of(*newer).self.mirror_version);
      each.watch.on_changes_taken(m_now);
    }
  }

  [[nodiscard]] const virtual_gateway& source_of(const member_list::member& member) const {
    return *std::find_if(m_gateways.begin(), m_gateways.end(),
                         [&](const virtual_gateway& each) { return each.self.name == member.report.name; });
  }

  void report(virtual_gateway& each) {
    each.reported = m_now;
    ++each.self.sequence;
    for (auto& other : m_gateways) {
      if (&other != &each && other.runs && !other.cut_off && !each.cut_off && !chance(k_report_loss)) {
        other.members.on_report(each.self, m_now);
      }
    }
  }

  random_source m_random;
  time_point m_now{seconds{100}};
  std::vector<virtual_gateway> m_gateways;
  std::vector<time_point> m_changes;  // Of the store; a mirror's version is how many of them it holds.
  milliseconds m_worst_lag{0};
};

TEST(store_watch, leaves_the_store_to_two_readers_in_each_zone) {
  fleet all(48, 1);
  all.run(seconds{10});
  for (const auto* zone : {"zone0", "zone1", "zone2"}) {
    EXPECT_EQ(all.readers(zone), 2U) << zone;
  }
}

TEST(store_watch, every_gateway_of_a_small_zone_reads) {
  fleet all(4, 1);
  all.run(seconds{10});
  EXPECT_EQ(all.readers("zone0"), 2U);
  EXPECT_EQ(all.readers("zone1"), 1U);
}

TEST(store_watch, steady_gateways_know_of_changes_in_time_whatever_happens_to_others) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    fleet all(seed % 2 == 0 ? 18 : 48, seed);
    all.run(seconds{6});
    for (int i = 0; i < 40; ++i) {
      all.disturb();
      all.run(milliseconds{700});
    }
    EXPECT_LE(all.worst_lag().count(), k_known_within.count()) << "seed " << seed;
  }
}

member_report reader(std::string name) {
  return {.name = std::move(name),
          .incarnation = 1,
          .sequence = 1,
          .availability_zone = "z",
          .state = member_state::ready,
          .reads_store = true};
}

// The members that `own` hears at each of these times; all of them read the store.
member_list heard(const std::vector<std::string>& names, std::string_view own, time_point now,
                  std::uint64_t sequence, member_list members) {
  for (const auto& name : names) {
    member_report report = reader(name);
    report.sequence = sequence;
    if (name != own) {
      members.on_report(std::move(report), now);
    }
  }
  return members;
}

// A fleet that starts: everybody hears of the others, and of who reads, with its reports only.
TEST(store_watch, gateways_that_start_together_leave_the_store_to_few) {
  for (const std::size_t size : {30U, 148U, 300U}) {
    constexpr milliseconds k_ask_others{1200};
    constexpr std::size_t k_all_zones = 5;
    const time_point start{seconds{100}};
    std::vector<virtual_gateway> gateways(size);
    for (std::size_t i = 0; i < size; ++i) {
      gateways[i].self = {.name = "gateway" + std::to_string(i),
                          .incarnation = 1,
                          .availability_zone = "zone" + std::to_string(i % k_all_zones)};
      if (i >= 3) {  // The first three are seeds.
        gateways[i].watch.ask_others_first(start + k_ask_others);
      }
    }
    std::vector<bool> has_read(size, false);
    for (time_point now = start; now < start + seconds{8}; now += k_step) {
      for (std::size_t i = 0; i < size; ++i) {
        virtual_gateway& each = gateways[i];
        // What a call to the store takes passes before it counts as a reader.
        const bool reads = each.watch.update(each.self, each.members, now);
        each.self.reads_store = reads && has_read[i];
        has_read[i] = has_read[i] || reads;
        if (now - each.reported >= k_report_interval) {
          each.reported = now;
          ++each.self.sequence;
          for (virtual_gateway& other : gateways) {
            if (&other != &each) {
              other.members.on_report(each.self, now);
            }
          }
        }
      }
    }
    const auto readers = std::count(has_read.begin(), has_read.end(), true);
    // Three seeds, two of each zone, and those whose turn came before the first report of a reader.
    EXPECT_LE(readers, 3 + 5 * (2 + 2)) << size;
    for (std::size_t zone = 0; zone < k_all_zones; ++zone) {
      const auto left = std::count_if(gateways.begin(), gateways.end(), [&](const virtual_gateway& each) {
        return each.self.availability_zone == "zone" + std::to_string(zone) && each.watch.reads_store();
      });
      EXPECT_EQ(left, 2) << size;
    }
  }
}

TEST(store_watch, gateways_whose_seeds_are_gone_read_by_themselves) {
  store_watch watch;
  const member_list members({.silent_after = k_silent_after});
  const time_point now{seconds{100}};
  watch.ask_others_first(now + milliseconds{1200});
  EXPECT_FALSE(watch.update(reader("a"), members, now));
  EXPECT_FALSE(watch.update(reader("a"), members, now + milliseconds{1199}));
  EXPECT_TRUE(watch.update(reader("a"), members, now + milliseconds{1200}));
}

TEST(store_watch, reads_again_at_once_when_the_readers_fall_silent) {
  const std::vector<std::string> names{"a", "b", "c"};
  std::size_t relieved = 0;
  for (const auto& own : names) {
    store_watch watch;
    member_list members({.silent_after = k_silent_after});
    time_point now{seconds{100}};
    for (std::uint64_t sequence = 1; sequence <= 12; ++sequence) {
      now += k_report_interval;
      members = heard(names, own, now, sequence, std::move(members));
      watch.update(reader(own), members, now);
    }
    if (!watch.reads_store()) {
      ++relieved;
      EXPECT_FALSE(watch.update(reader(own), members, now + k_silent_after));
      EXPECT_TRUE(watch.update(reader(own), members, now + k_silent_after + milliseconds{1}));
    }
  }
  EXPECT_EQ(relieved, 1U);
}

// Guards against gateways that all read the store because changes come faster than they can be taken.
TEST(store_watch, one_that_takes_changes_again_and_again_does_not_lag) {
  const std::vector<std::string> names{"a", "b", "c", "d", "e"};
  std::size_t relieved = 0;
  for (const auto& own : names) {
    store_watch watch({.settle_time = milliseconds{0}});
    const auto update = [&](time_point now) {
      const auto members = heard(names, own, now, 1, member_list({.silent_after = k_silent_after}));
      return watch.update(reader(own), members, now);
    };
    time_point now{seconds{100}};
    update(now);
    if (update(now)) {
      continue;
    }
    ++relieved;
    for (int i = 0; i < 20; ++i) {
      now += milliseconds{300};
      watch.on_compared(true, now);
      EXPECT_FALSE(update(now));
      watch.on_changes_taken(now);
    }
    watch.on_compared(true, now + milliseconds{500});
    EXPECT_TRUE(update(now + milliseconds{500}));
  }
  EXPECT_EQ(relieved, 3U);
}

TEST(store_watch, reads_for_a_while_when_changes_could_not_be_taken) {
  const std::vector<std::string> names{"a", "b", "c", "d", "e"};
  std::size_t relieved = 0;
  for (const auto& own : names) {
    store_watch watch({.settle_time = milliseconds{0}, .distrust_time = milliseconds{500}});
    const time_point now{seconds{100}};
    const member_list members = heard(names, own, now, 1, member_list({.silent_after = k_silent_after}));
    watch.update(reader(own), members, now);
    if (!watch.update(reader(own), members, now)) {
      ++relieved;
      watch.distrust_others(now);
      EXPECT_TRUE(watch.update(reader(own), members, now + milliseconds{499}));
      watch.update(reader(own), members, now + milliseconds{500});
      EXPECT_FALSE(watch.update(reader(own), members, now + milliseconds{500}));
    }
  }
  EXPECT_EQ(relieved, 3U);
}

TEST(store_watch, gateways_that_the_store_does_not_answer_are_no_readers) {
  member_list members({.silent_after = k_silent_after});
  const time_point now{seconds{100}};
  for (const auto* name : {"a", "b", "c", "d"}) {
    member_report turned_away = reader(name);
    turned_away.reads_store = false;
    members.on_report(turned_away, now);
  }
  for (const auto* own : {"e", "f", "g"}) {
    store_watch watch({.settle_time = milliseconds{0}});
    watch.update(reader(own), members, now);
    EXPECT_TRUE(watch.update(reader(own), members, now)) << own;
  }
}

TEST(store_watch, a_gateway_that_leaves_is_no_reader_for_others) {
  member_list members({.silent_after = k_silent_after});
  const time_point now{seconds{100}};
  for (const auto* name : {"a", "b", "c", "d"}) {
    member_report leaving = reader(name);
    leaving.state = member_state::leaving;
    members.on_report(leaving, now);
  }
  for (const auto* own : {"e", "f", "g"}) {
    store_watch watch({.settle_time = milliseconds{0}});
    watch.update(reader(own), members, now);
    EXPECT_TRUE(watch.update(reader(own), members, now)) << own;
  }
}

}  // namespace
}  // namespace cuminpath::gateway
