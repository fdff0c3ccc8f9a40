// Gateways that read a store, which comes back from older copies, and pass its changes on to each other.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

#include "core/common/random.h"
#include "core/gateway/member_list.h"
#include "core/gateway/mirror.h"

namespace cuminpath::gateway {
namespace {

constexpr std::array<const char*, 3> k_tables{"op", "servers", "gateways"};
constexpr std::size_t k_gateways = 12;
constexpr std::size_t k_readers = 4;

using table_content = std::array<mirror::documents, k_tables.size()>;

// A store with all that it ever held, so that each version can be looked up.
class emulated_store {
public:
  void write(random_source& random) {
    const std::size_t table = random_index(random, k_tables.size());
    const std::string key = "k" + std::to_string(random_index(random, 5));
    table_content next = content();
    const store_version version{m_era, m_history[m_era].size()};
    if (next[table].contains(key) && random_index(random, 3) == 0) {
      next[table].erase(key);
    } else {
      next[table].insert_or_assign(key, document{version, std::to_string(random())});
    }
    m_history[m_era].push_back(std::move(next));
  }

  void restore(random_source& random) {
    const std::size_t lost = random_index(random, std::min<std::size_t>(m_history[m_era].size(), 30));
    std::vector<table_content> copy(m_history[m_era].begin(),
                                    m_history[m_era].end() - static_cast<std::ptrdiff_t>(lost));
    ++m_era;
    for (table_content& state : copy) {
      for (mirror::documents& rows : state) {
        for (auto& [key, row] : rows) {
          row.version.era = m_era;
        }
      }
    }
    m_history.push_back(std::move(copy));
  }

  [[nodiscard]] store_version version() const { return {m_era, m_history[m_era].size() - 1}; }
  [[nodiscard]] const table_content& content() const { return m_history[m_era].back(); }
  [[nodiscard]] const mirror::documents& content_at(std::size_t table, store_version version) const {
    return m_history[version.era][version.number][table];
  }

private:
  std::uint64_t m_era = 1;
  // The content of all tables by era and number.
  std::vector<std::vector<table_content>> m_history{{{}}, {{}}};
};

struct virtual_gateway {
  mirror content;
  member_report report;
  collection_versions highest;  // Newest changes so far.
};

class fleet {
public:
  explicit fleet(std::uint64_t seed) : m_random(seed), m_gateways(k_gateways) {
    for (std::size_t i = 0; i < k_gateways; ++i) {
      m_gateways[i].report = {.name = "gateway" + std::to_string(i), .reads_store = i < k_readers};
      describe(m_gateways[i]);
    }
  }

  void change() {
    for (int step = 0; step < 400; ++step) {
      switch (random_index(m_random, 16)) {
        case 0:
          if (random_index(m_random, 8) == 0) {
            m_store.restore(m_random);
          }
          break;
        case 1:
        case 2:
        case 3:
          m_store.write(m_random);
          break;
        case 4:
        case 5:
          read(m_gateways[random_index(m_random, k_readers)], random_index(m_random, k_tables.size()));
          break;
        default:
          // Store readers fetch only if they lag.
          report(random_index(m_random, k_gateways), random_index(m_random, k_gateways),
                 random_index(m_random, 4) == 0);
      }
    }
  }

  // One reader reads each table; the others hear nothing from the store.
  void read_once() {
    for (std::size_t table = 0; table < k_tables.size(); ++table) {
      read(m_gateways[random_index(m_random, k_readers)], table);
    }
  }

  std::size_t report_to_all() {
    const std::size_t before = m_fetches;
    for (std::size_t from = 0; from < k_gateways; ++from) {
      for (std::size_t to = 0; to < k_gateways; ++to) {
        report(from, to, true);
      }
    }
    return m_fetches - before;
  }

  [[nodiscard]] std::size_t count_newest() const {
    return static_cast<std::size_t>(
        std::count_if(m_gateways.begin(), m_gateways.end(), [&](const virtual_gateway& each) {
          for (std::size_t table = 0; table < k_tables.size(); ++table) {
            if (each.content.collection(k_tables[table]) != m_store.content()[table]) {
              return false;
            }
          }
          return true;
        }));
  }
  [[nodiscard]] std::size_t fetches_without_progress() const { return m_fetches_without_progress; }
  [[nodiscard]] std::size_t wrong_contents() const { return m_wrong_contents; }
  [[nodiscard]] std::size_t steps_back() const { return m_steps_back; }

private:
  void read(virtual_gateway& reader, std::size_t table) {
    const store_version known = reader.content.version(k_tables[table]);
    const store_version version = m_store.version();
    const mirror::documents& rows = m_store.content()[table];
    if (known.number == 0 || known.era != version.era) {
      reader.content.replace(k_tables[table], rows, version);
    } else {
      for (std::uint64_t number = known.number + 1; number <= version.number; ++number) {
        apply(reader.content, table, {version.era, number});
      }
      reader.content.advance(k_tables[table], version);
    }
    describe(reader);
  }

  void apply(mirror& target, std::size_t table, store_version at) const {
    const mirror::documents& before = m_store.content_at(table, {at.era, at.number - 1});
    const mirror::documents& after = m_store.content_at(table, at);
    for (const auto& [key, row] : before) {
      if (!after.contains(key)) {
        target.remove(k_tables[table], key, at);
      }
    }
    for (const auto& [key, row] : after) {
      if (row.version == at) {
        target.put(k_tables[table], key, row);
      }
    }
  }

  void report(std::size_t from, std::size_t to, bool lags) {
    if (from == to) {
      return;
    }
    const auto received = decode_report(encode_report(m_gateways[from].report));
    ASSERT_TRUE(received);
    virtual_gateway& receiver = m_gateways[to];
    if ((receiver.report.reads_store && !lags) ||
        compare_mirrors(received.value(), receiver.report) != mirror_relation::newer) {
      return;
    }
    ++m_fetches;
    const auto known = decode_versions(encode_versions(receiver.content.known_versions()));
    ASSERT_TRUE(known);
    const auto before = receiver.content.newest_changes();
    ASSERT_TRUE(receiver.content.merge(m_gateways[from].content.changes_since(known.value())));
    m_fetches_without_progress += receiver.content.newest_changes() == before ? 1 : 0;
    describe(receiver);
  }

  void describe(virtual_gateway& each) {
    each.report.mirror_version = each.content.content_version();
    each.report.newest_changes = each.content.newest_changes();
    m_steps_back += lacks_changes(*each.report.newest_changes, each.highest) ? 1 : 0;
    each.highest = *each.report.newest_changes;
    for (std::size_t table = 0; table < k_tables.size(); ++table) {
      const store_version version = each.content.version(k_tables[table]);
      if (each.content.collection(k_tables[table]) != m_store.content_at(table, version)) {
        ++m_wrong_contents;
      }
    }
  }

  random_source m_random;
  emulated_store m_store;
  std::vector<virtual_gateway> m_gateways;
  std::size_t m_fetches = 0;
  std::size_t m_fetches_without_progress = 0;
  std::size_t m_wrong_contents = 0;
  std::size_t m_steps_back = 0;
};

// Guards against newer rows of one table that a sum over all tables hides.
TEST(mirror_exchange, all_gateways_get_the_newest_content_of_every_table) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    fleet all(seed);
    for (int round = 0; round < 4; ++round) {
      all.change();
      all.read_once();
      EXPECT_LE(all.report_to_all(), 2 * k_tables.size() * k_gateways) << seed;
      EXPECT_EQ(all.report_to_all(), 0U) << seed;
      EXPECT_EQ(all.count_newest(), k_gateways) << seed;
    }
    EXPECT_EQ(all.fetches_without_progress(), 0U) << seed;
    EXPECT_EQ(all.steps_back(), 0U) << seed;
    EXPECT_EQ(all.wrong_contents(), 0U) << seed;
  }
}

// Guards against gateways that count as behind while a table is quiet, and all read the store.
TEST(mirror_exchange, a_mirror_that_is_complete_up_to_a_change_does_not_lack_it) {
  const auto report = [](const mirror& described) {
    return member_report{.mirror_version = described.content_version(),
                         .newest_changes = described.newest_changes()};
  };
  const mirror::documents copy{{"k", document{{1, 40}, "row"}}};
  mirror one;
  mirror other;
  for (mirror* each : {&one, &other}) {
    ASSERT_TRUE(each->replace("op", {{"k", document{{0, 40}, "row"}}}, {0, 60}));
  }
  // Both read the copy; `other` two transactions later, which are of another table.
  ASSERT_TRUE(one.replace("op", copy, {1, 50}));
  ASSERT_TRUE(other.replace("op", copy, {1, 52}));
  one.advance("op", {1, 90});
  EXPECT_EQ(one.collection("op"), other.collection("op"));
  EXPECT_TRUE(one.learn_newest_changes(other.newest_changes()));
  EXPECT_FALSE(one.learn_newest_changes(other.newest_changes()));
  EXPECT_EQ(compare_mirrors(report(other), report(one)), mirror_relation::equal);
  ASSERT_TRUE(one.replace("op", copy, {1, 95}));
  EXPECT_EQ(compare_mirrors(report(other), report(one)), mirror_relation::equal);
  // It does lack a change after the version up to which it is complete.
  other.put("op", "k", {{1, 96}, "new"});
  EXPECT_FALSE(one.learn_newest_changes(other.newest_changes()));
  EXPECT_EQ(compare_mirrors(report(other), report(one)), mirror_relation::newer);
}

}  // namespace
}  // namespace cuminpath::gateway
