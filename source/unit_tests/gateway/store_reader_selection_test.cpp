#include "core/gateway/store_reader_selection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/common/random.h"

namespace cuminpath::gateway {
namespace {

constexpr milliseconds k_step{50};
constexpr milliseconds k_report_interval{200};
constexpr milliseconds k_suspicion_timeout{800};
// A call to a store that does not respond fails after this time.
constexpr milliseconds k_max_store_call_time{3400};
// Time within which a change has to be known: no request may be sent to a leaving upstream 2 s after the
// store says that it leaves, and a gateway needs a part of that time to act.
constexpr milliseconds k_max_change_delay{1700};
// The bound holds for a gateway only after this time without faults: the settling time of the platform.
constexpr milliseconds k_settling_time{3000};
constexpr double k_report_loss = 0.03;

struct virtual_gateway {
  member_report self;
  member_list members{{.suspicion_timeout = k_suspicion_timeout}};
  store_reader_selection selection;
  bool runs = true;
  bool store_reachable = true;                    // Calls of this gateway reach the store.
  bool partitioned = false;                       // Unreachable for all other gateways.
  std::optional<time_point> store_call_fails_at;  // Time at which a hanging call fails.
  time_point settled_since{};
  time_point reported_at{};
};

// Simulates gateways in three availability zones, a store whose content changes, and faults.
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
        update_gateway(each);
      }
    }
  }

  void run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += k_step) {
      step();
    }
  }

  void inject_fault() {
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
        make_store_unreachable(0.35);
        return;
      case 3:
        make_store_unreachable(0);
        return;
      case 4:
        target.partitioned = !target.partitioned;
        target.settled_since = m_now;
        return;
      default:
        // Several processes end at the same time.
        for (auto& each : m_gateways) {
          each.runs = each.runs && !chance(0.3);
        }
        return;
    }
  }

  // Returns the longest time for which a settled gateway with access to the store did not know a change.
  [[nodiscard]] milliseconds max_lag() const { return m_max_lag; }
  [[nodiscard]] std::size_t readers(std::string_view zone) const {
    return static_cast<std::size_t>(
        std::count_if(m_gateways.begin(), m_gateways.end(), [&](const virtual_gateway& each) {
          return each.runs && each.self.availability_zone == zone && each.selection.reads_store();
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
    fresh.store_reachable = m_gateways[index].store_reachable;
    fresh.partitioned = m_gateways[index].partitioned;
    fresh.settled_since = m_now;
    m_gateways[index] = std::move(fresh);
  }

  void make_store_unreachable(double unreachable_share) {
    for (auto& each : m_gateways) {
      const bool reachable = !chance(unreachable_share);
      if (reachable != each.store_reachable) {
        each.store_reachable = reachable;
        each.settled_since = m_now;
        each.store_call_fails_at.reset();
      }
    }
  }

  void update_gateway(virtual_gateway& each) {
    each.selection.update(each.self, each.members, m_now);
    if (each.selection.reads_store()) {
      read_store(each);
    } else {
      each.self.reads_store = false;
      each.store_call_fails_at.reset();
    }
    fetch_changes(each);
    if (m_now - each.reported_at >= k_report_interval) {
      report(each);
    }
    const auto known = static_cast<std::size_t>(each.self.mirror_version);
    if (each.store_reachable && m_now - each.settled_since >= k_settling_time && known < m_changes.size()) {
      m_max_lag =
          std::max(m_max_lag, std::chrono::duration_cast<milliseconds>(
                                  m_now - std::max(m_changes[known], each.settled_since + k_settling_time)));
    }
  }

  void read_store(virtual_gateway& each) {
    if (each.store_reachable) {
      each.store_call_fails_at.reset();
      each.self.reads_store = true;
      set_known_changes(each.self, m_changes.size());
    } else if (!each.store_call_fails_at) {
      each.store_call_fails_at =
          m_now + random_index(m_random, k_max_store_call_time.count()) * milliseconds{1};
    } else if (m_now >= *each.store_call_fails_at) {
      each.self.reads_store = false;
    }
  }

  void fetch_changes(virtual_gateway& each) {
    const auto* newer = each.members.find_newer_mirror(each.self, m_now, m_random);
    each.selection.on_versions_compared(newer != nullptr, m_now);
    if (newer != nullptr && !each.partitioned && !source_of(*newer).partitioned && source_of(*newer).runs) {
      set_known_changes(each.self, std::max(each.self.mirror_version, source_of(*newer).self.mirror_version));
      each.selection.on_changes_applied(m_now);
    }
  }

  static void set_known_changes(member_report& report, std::uint64_t count) {
    report.mirror_version = count;
    report.newest_changes = {{"rows", store_version{.number = count}}};
  }

  [[nodiscard]] const virtual_gateway& source_of(const member_list::member& member) const {
    return *std::find_if(m_gateways.begin(), m_gateways.end(),
                         [&](const virtual_gateway& each) { return each.self.name == member.report.name; });
  }

  void report(virtual_gateway& each) {
    each.reported_at = m_now;
    ++each.self.sequence;
    for (auto& other : m_gateways) {
      if (&other != &each && other.runs && !other.partitioned && !each.partitioned &&
          !chance(k_report_loss)) {
        other.members.on_report(each.self, m_now);
      }
    }
  }

  random_source m_random;
  time_point m_now{seconds{100}};
  std::vector<virtual_gateway> m_gateways;
  // Changes of the store; the version of a mirror is the number of changes that it contains.
  std::vector<time_point> m_changes;
  milliseconds m_max_lag{0};
};

TEST(store_reader_selection, two_gateways_read_the_store_in_each_availability_zone) {
  fleet all(48, 1);
  all.run(seconds{10});
  for (const auto* zone : {"zone0", "zone1", "zone2"}) {
    EXPECT_EQ(all.readers(zone), 2U) << zone;
  }
}

TEST(store_reader_selection, every_gateway_of_a_small_availability_zone_reads_the_store) {
  fleet all(4, 1);
  all.run(seconds{10});
  EXPECT_EQ(all.readers("zone0"), 2U);
  EXPECT_EQ(all.readers("zone1"), 1U);
}

TEST(store_reader_selection, settled_gateways_know_changes_in_time_despite_faults_of_others) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    fleet all(seed % 2 == 0 ? 18 : 48, seed);
    all.run(seconds{6});
    for (int i = 0; i < 40; ++i) {
      all.inject_fault();
      all.run(milliseconds{700});
    }
    EXPECT_LE(all.max_lag().count(), k_max_change_delay.count()) << "seed " << seed;
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

// Returns the member list of `local` after a report of each other gateway at `now`; all of them read the
// store.
member_list members_after_reports(const std::vector<std::string>& names, std::string_view local,
                                  time_point now, std::uint64_t sequence, member_list members) {
  for (const auto& name : names) {
    member_report report = reader(name);
    report.sequence = sequence;
    if (name != local) {
      members.on_report(std::move(report), now);
    }
  }
  return members;
}

// Simulates a fleet that starts: gateways know the others, and the store readers among them, only from their
// reports.
TEST(store_reader_selection, few_of_the_gateways_that_start_together_read_the_store) {
  for (const std::size_t size : {30U, 148U, 300U}) {
    constexpr milliseconds k_member_wait_time{1200};
    constexpr std::size_t k_zone_count = 5;
    const time_point start{seconds{100}};
    std::vector<virtual_gateway> gateways(size);
    for (std::size_t i = 0; i < size; ++i) {
      gateways[i].self = {.name = "gateway" + std::to_string(i),
                          .incarnation = 1,
                          .availability_zone = "zone" + std::to_string(i % k_zone_count)};
      if (i >= 3) {  // The first three are seeds.
        gateways[i].selection.wait_for_members(start + k_member_wait_time);
      }
    }
    std::vector<bool> has_read(size, false);
    for (time_point now = start; now < start + seconds{8}; now += k_step) {
      for (std::size_t i = 0; i < size; ++i) {
        virtual_gateway& each = gateways[i];
        // A gateway counts as a store reader only after the duration of a call to the store.
        const bool reads = each.selection.update(each.self, each.members, now);
        each.self.reads_store = reads && has_read[i];
        has_read[i] = has_read[i] || reads;
        if (now - each.reported_at >= k_report_interval) {
          each.reported_at = now;
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
    // Three seeds, two of each availability zone, and those that started to read before the first report of a
    // reader.
    EXPECT_LE(readers, 3 + 5 * (2 + 2)) << size;
    for (std::size_t zone = 0; zone < k_zone_count; ++zone) {
      const auto left = std::count_if(gateways.begin(), gateways.end(), [&](const virtual_gateway& each) {
        return each.self.availability_zone == "zone" + std::to_string(zone) && each.selection.reads_store();
      });
      EXPECT_EQ(left, 2) << size;
    }
  }
}

TEST(store_reader_selection, gateways_without_reachable_seeds_read_the_store_themselves) {
  store_reader_selection selection;
  const member_list members({.suspicion_timeout = k_suspicion_timeout});
  const time_point now{seconds{100}};
  selection.wait_for_members(now + milliseconds{1200});
  EXPECT_FALSE(selection.update(reader("a"), members, now));
  EXPECT_FALSE(selection.update(reader("a"), members, now + milliseconds{1199}));
  EXPECT_TRUE(selection.update(reader("a"), members, now + milliseconds{1200}));
}

TEST(store_reader_selection, reads_again_at_once_when_the_readers_are_suspected) {
  const std::vector<std::string> names{"a", "b", "c"};
  std::size_t gateways_not_reading = 0;
  for (const auto& local : names) {
    store_reader_selection selection;
    member_list members({.suspicion_timeout = k_suspicion_timeout});
    time_point now{seconds{100}};
    for (std::uint64_t sequence = 1; sequence <= 12; ++sequence) {
      now += k_report_interval;
      members = members_after_reports(names, local, now, sequence, std::move(members));
      selection.update(reader(local), members, now);
    }
    if (!selection.reads_store()) {
      ++gateways_not_reading;
      EXPECT_FALSE(selection.update(reader(local), members, now + k_suspicion_timeout));
      EXPECT_TRUE(selection.update(reader(local), members, now + k_suspicion_timeout + milliseconds{1}));
    }
  }
  EXPECT_EQ(gateways_not_reading, 1U);
}

// Guards against gateways that all read the store because changes arrive faster than they can be applied.
TEST(store_reader_selection, a_gateway_that_keeps_applying_changes_does_not_lag) {
  const std::vector<std::string> names{"a", "b", "c", "d", "e"};
  std::size_t gateways_not_reading = 0;
  for (const auto& local : names) {
    store_reader_selection selection({.settle_time = milliseconds{0}});
    const auto update = [&](time_point now) {
      const auto members = members_after_reports(names, local, now, 1,
                                                 member_list({.suspicion_timeout = k_suspicion_timeout}));
      return selection.update(reader(local), members, now);
    };
    time_point now{seconds{100}};
    update(now);
    if (update(now)) {
      continue;
    }
    ++gateways_not_reading;
    for (int i = 0; i < 20; ++i) {
      now += milliseconds{300};
      selection.on_versions_compared(true, now);
      EXPECT_FALSE(update(now));
      selection.on_changes_applied(now);
    }
    selection.on_versions_compared(true, now + milliseconds{500});
    EXPECT_TRUE(update(now + milliseconds{500}));
  }
  EXPECT_EQ(gateways_not_reading, 3U);
}

TEST(store_reader_selection, reads_for_a_while_if_changes_could_not_be_applied) {
  const std::vector<std::string> names{"a", "b", "c", "d", "e"};
  std::size_t gateways_not_reading = 0;
  for (const auto& local : names) {
    store_reader_selection selection(
        {.settle_time = milliseconds{0}, .distrust_duration = milliseconds{500}});
    const time_point now{seconds{100}};
    const member_list members =
        members_after_reports(names, local, now, 1, member_list({.suspicion_timeout = k_suspicion_timeout}));
    selection.update(reader(local), members, now);
    if (!selection.update(reader(local), members, now)) {
      ++gateways_not_reading;
      selection.distrust_members(now);
      EXPECT_TRUE(selection.update(reader(local), members, now + milliseconds{499}));
      selection.update(reader(local), members, now + milliseconds{500});
      EXPECT_FALSE(selection.update(reader(local), members, now + milliseconds{500}));
    }
  }
  EXPECT_EQ(gateways_not_reading, 3U);
}

TEST(store_reader_selection, gateways_without_responses_of_the_store_are_no_readers) {
  member_list members({.suspicion_timeout = k_suspicion_timeout});
  const time_point now{seconds{100}};
  for (const auto* name : {"a", "b", "c", "d"}) {
    member_report without_store = reader(name);
    without_store.reads_store = false;
    members.on_report(without_store, now);
  }
  for (const auto* local : {"e", "f", "g"}) {
    store_reader_selection selection({.settle_time = milliseconds{0}});
    selection.update(reader(local), members, now);
    EXPECT_TRUE(selection.update(reader(local), members, now)) << local;
  }
}

// Guards against gateways of a release without eras, whose rows can't be used any more, as the only readers.
TEST(store_reader_selection, readers_that_state_no_era_do_not_count_once_one_is_known) {
  const time_point now{seconds{100}};
  const auto reading_after = [&](const std::optional<collection_versions>& stated, const char* name,
                                 std::uint64_t known_era) {
    member_list members({.suspicion_timeout = k_suspicion_timeout});
    for (const auto* other : {"a", "b", "c", "d"}) {
      member_report report = reader(other);
      report.newest_changes = stated;
      members.on_report(report, now);
    }
    store_reader_selection selection({.settle_time = milliseconds{0}});
    member_report self = reader(name);
    self.newest_changes = {{"op", {known_era, 7}}};
    selection.update(self, members, now);
    return selection.update(self, members, now);
  };
  std::size_t gateways_not_reading = 0;
  for (const auto* name : {"e", "f", "g"}) {
    const bool reads = reading_after(std::nullopt, name, 0);
    gateways_not_reading += reads ? 0 : 1;
    EXPECT_TRUE(reading_after(std::nullopt, name, 1)) << name;
    EXPECT_EQ(reading_after(collection_versions{{"op", {0, 7}}}, name, 0), reads) << name;
    EXPECT_EQ(reading_after(collection_versions{{"op", {1, 7}}}, name, 1), reads) << name;
  }
  EXPECT_GT(gateways_not_reading, 0U);
}

TEST(store_reader_selection, leaving_gateways_do_not_count_as_readers) {
  member_list members({.suspicion_timeout = k_suspicion_timeout});
  const time_point now{seconds{100}};
  for (const auto* name : {"a", "b", "c", "d"}) {
    member_report leaving = reader(name);
    leaving.state = member_state::leaving;
    members.on_report(leaving, now);
  }
  for (const auto* local : {"e", "f", "g"}) {
    store_reader_selection selection({.settle_time = milliseconds{0}});
    selection.update(reader(local), members, now);
    EXPECT_TRUE(selection.update(reader(local), members, now)) << local;
  }
}

}  // namespace
}  // namespace cuminpath::gateway
