// Simulates the balancers of groups of several sizes on virtual time: how many messages each host sends and
// receives, and how soon the loss of a leader is detected.
#include "core/balancer/group_roster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>

#include <fmt/format.h>

namespace cuminpath::balancer {
namespace {

constexpr time_point k_start{seconds{100}};
constexpr milliseconds k_tick{20};

std::string host_name(std::uint32_t rank) {
  return fmt::format("host-{}", rank);
}

rank_report make_report(std::uint32_t rank, std::uint32_t ranks, std::uint64_t sequence,
                        milliseconds interval) {
  rank_report report{.host = host_name(rank),
                     .incarnation = 1,
                     .sequence = sequence,
                     .report_address = host_name(rank),
                     .interval = interval};
  report.view.status = {.group = "g", .rank = rank, .ranks = ranks};
  return report;
}

class simulated_group {
public:
  explicit simulated_group(std::uint32_t ranks) : m_nodes(ranks) {
    for (std::uint32_t to = 0; to < ranks; ++to) {
      for (std::uint32_t from = 0; from < ranks; ++from) {
        if (from != to) {
          m_nodes[to].roster.on_report(make_report(from, ranks, 1, milliseconds{2000}), m_now);
        }
      }
      // The hosts start at staggered times.
      m_nodes[to].reported_at = m_now + milliseconds(to % 10 * 20);
      m_nodes[to].reported_to_others_at = m_now + milliseconds(to % 100 * 20);
    }
  }

  void kill(std::uint32_t rank) { m_nodes[rank].failed = true; }

  void run(milliseconds time) {
    for (const time_point end = m_now + time; m_now < end; m_now += k_tick) {
      for (std::uint32_t rank = 0; rank < size(); ++rank) {
        tick(rank);
      }
    }
  }

  // Returns the rank that `rank` regards as the leader.
  [[nodiscard]] std::uint32_t leader_seen_by(std::uint32_t rank) const {
    const auto* found = m_nodes[rank].roster.leader(position(rank), m_now);
    return found == nullptr ? rank : found->report.view.status.rank;
  }
  [[nodiscard]] bool all_follow(std::uint32_t leader) const {
    for (std::uint32_t rank = 0; rank < size(); ++rank) {
      if (!m_nodes[rank].failed && leader_seen_by(rank) != leader) {
        return false;
      }
    }
    return true;
  }
  void clear_counts() {
    for (node& each : m_nodes) {
      each.sent = each.received = 0;
    }
  }
  [[nodiscard]] std::uint64_t max_sent() const { return max_of(&node::sent); }
  [[nodiscard]] std::uint64_t max_received() const { return max_of(&node::received); }
  // Returns the median over the ranks of the messages sent.
  [[nodiscard]] std::uint64_t median_sent() const {
    std::vector<std::uint64_t> sent;
    for (const node& each : m_nodes) {
      sent.push_back(each.sent);
    }
    std::sort(sent.begin(), sent.end());
    return sent[sent.size() / 2];
  }
  [[nodiscard]] const group_roster& roster(std::uint32_t rank) const { return m_nodes[rank].roster; }
  [[nodiscard]] group_position position(std::uint32_t rank) const {
    return {.group = "g", .rank = rank, .ranks = size()};
  }
  [[nodiscard]] time_point now() const { return m_now; }

private:
  struct node {
    group_roster roster;
    std::uint64_t sequence = 1;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    time_point reported_at{};
    time_point reported_to_others_at{};
    bool failed = false;
  };

  [[nodiscard]] std::uint32_t size() const { return static_cast<std::uint32_t>(m_nodes.size()); }

  [[nodiscard]] std::uint64_t max_of(std::uint64_t node::*counter) const {
    std::uint64_t highest = 0;
    for (const node& each : m_nodes) {
      highest = std::max(highest, each.*counter);
    }
    return highest;
  }

  void tick(std::uint32_t rank) {
    node& local = m_nodes[rank];
    if (local.failed) {
      return;
    }
    const auto frequent = local.roster.frequent_receivers(position(rank), m_now);
    if (m_now - local.reported_at >= frequent.interval) {
      local.reported_at = m_now;
      send(rank, frequent);
    }
    const auto others = local.roster.other_receivers(position(rank), m_now);
    if (m_now - local.reported_to_others_at >= others.interval) {
      local.reported_to_others_at = m_now;
      send(rank, others);
    }
  }

  void send(std::uint32_t from, const group_roster::receivers& to) {
    ++m_nodes[from].sequence;
    for (const std::string& address : to.addresses) {
      node& receiver = m_nodes[static_cast<std::size_t>(std::stoul(address.substr(5)))];
      ++m_nodes[from].sent;
      ++receiver.received;
      receiver.roster.on_report(make_report(from, size(), m_nodes[from].sequence, to.interval), m_now);
    }
  }

  time_point m_now = k_start;
  std::vector<node> m_nodes;
};

TEST(group_roster, lowest_rank_leads_and_next_rank_takes_over_within_a_second) {
  for (const std::uint32_t ranks : {8U, 32U, 96U}) {
    simulated_group simulated(ranks);
    simulated.run(milliseconds{3000});
    EXPECT_TRUE(simulated.all_follow(0)) << ranks;
    simulated.kill(0);
    simulated.run(milliseconds{1000});
    EXPECT_TRUE(simulated.all_follow(1)) << ranks;
    // Both remaining candidates fail at once; the next rank has not been a candidate for long.
    simulated.kill(1);
    simulated.kill(2);
    simulated.run(milliseconds{1000});
    EXPECT_TRUE(simulated.all_follow(3)) << ranks;
  }
}

TEST(group_roster, starting_balancer_is_not_followed_until_it_knows_the_group) {
  group_roster roster;
  const group_position local{.group = "g", .rank = 5, .ranks = 8};
  auto starting = make_report(0, 8, 1, milliseconds{200});
  starting.may_lead = false;
  roster.on_report(starting, k_start);
  roster.on_report(make_report(1, 8, 1, milliseconds{200}), k_start);
  EXPECT_EQ(roster.leader(local, k_start)->report.view.status.rank, 1U);
  // It already receives the reports of all ranks.
  const auto frequent = roster.frequent_receivers(local, k_start).addresses;
  EXPECT_NE(std::find(frequent.begin(), frequent.end(), host_name(0)), frequent.end());
  EXPECT_FALSE(roster.all_alive(local, k_start));
  roster.on_report(make_report(0, 8, 2, milliseconds{200}), k_start);
  EXPECT_EQ(roster.leader(local, k_start)->report.view.status.rank, 0U);
  for (const std::uint32_t rank : {2U, 3U, 4U, 6U, 7U}) {
    roster.on_report(make_report(rank, 8, 1, milliseconds{200}), k_start);
  }
  EXPECT_TRUE(roster.all_alive(local, k_start + milliseconds{700}));
  EXPECT_FALSE(roster.all_alive(local, k_start + milliseconds{701}));
}

TEST(group_roster, message_rates_are_bounded_at_each_group_size) {
  constexpr int k_seconds = 10;
  for (const std::uint32_t ranks : {32U, 96U, 300U}) {
    simulated_group simulated(ranks);
    simulated.run(milliseconds{3000});
    simulated.clear_counts();
    simulated.run(seconds{k_seconds});
    // A report to three candidates five times a second, and to each other rank every two seconds.
    EXPECT_LE(simulated.median_sent(), k_seconds * (3 * 5 + ranks / 2 + 1)) << ranks;
    // Candidates send to all ranks and receive from all ranks.
    EXPECT_LE(simulated.max_sent(), k_seconds * 5 * (ranks + 1)) << ranks;
    EXPECT_LE(simulated.max_received(), k_seconds * 5 * (ranks + 1)) << ranks;
  }
}

TEST(group_roster, loads_reach_the_leader_with_few_senders_per_rank) {
  for (const auto& [ranks, max_senders] : {std::pair(8U, 8U), std::pair(32U, 7U), std::pair(96U, 11U)}) {
    simulated_group simulated(ranks);
    simulated.run(milliseconds{3000});
    std::vector<std::uint32_t> senders(ranks, 0);
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
      std::uint32_t at = rank;
      for (int steps = 0;; ++steps) {
        ASSERT_LE(steps, 2) << rank << " of " << ranks;
        const auto* receiver = simulated.roster(at).load_receiver(simulated.position(at), simulated.now());
        if (receiver == nullptr) {
          break;
        }
        senders[receiver->report.view.status.rank] += at == rank ? 1 : 0;
        at = receiver->report.view.status.rank;
      }
      EXPECT_EQ(at, 0U);
    }
    EXPECT_LE(*std::max_element(senders.begin(), senders.end()), max_senders) << ranks;
    EXPECT_GE(simulated.roster(0).max_load_senders(ranks), *std::max_element(senders.begin(), senders.end()))
        << ranks;
  }
}

TEST(group_roster, a_rank_is_suspected_by_the_report_interval_that_it_announced) {
  group_roster roster;
  const group_position local{.group = "g", .rank = 5, .ranks = 8};
  roster.on_report(make_report(1, 8, 1, milliseconds{200}), k_start);
  roster.on_report(make_report(2, 8, 1, milliseconds{2000}), k_start);
  EXPECT_EQ(roster.leader(local, k_start + milliseconds{700})->report.view.status.rank, 1U);
  EXPECT_EQ(roster.leader(local, k_start + milliseconds{701})->report.view.status.rank, 2U);
  EXPECT_EQ(roster.leader(local, k_start + milliseconds{7001}), nullptr);
}

TEST(group_roster, a_leaving_rank_is_neither_followed_nor_awaited) {
  group_roster roster;
  const group_position local{.group = "g", .rank = 1, .ranks = 3};
  for (const std::uint32_t rank : {0U, 2U}) {
    roster.on_report(make_report(rank, 3, 1, milliseconds{200}), k_start);
  }
  EXPECT_NE(roster.leader(local, k_start), nullptr);
  roster.on_report(make_report(0, 3, 2, milliseconds{0}), k_start);
  EXPECT_EQ(roster.leader(local, k_start), nullptr);
  EXPECT_FALSE(roster.alive(roster.peers().at(host_name(0)), k_start));
  EXPECT_TRUE(roster.alive(roster.peers().at(host_name(2)), k_start));
  // A report that the last one has overtaken does not bring it back; its next process does.
  EXPECT_FALSE(roster.on_report(make_report(0, 3, 1, milliseconds{200}), k_start));
  EXPECT_EQ(roster.leader(local, k_start), nullptr);
  auto restarted = make_report(0, 3, 1, milliseconds{200});
  restarted.incarnation = 2;
  EXPECT_TRUE(roster.on_report(restarted, k_start));
  EXPECT_NE(roster.leader(local, k_start), nullptr);
}

TEST(group_roster, ignores_late_reports_and_other_groups) {
  group_roster roster;
  EXPECT_TRUE(roster.on_report(make_report(1, 8, 2, milliseconds{200}), k_start));
  EXPECT_FALSE(roster.on_report(make_report(1, 8, 2, milliseconds{200}), k_start));
  EXPECT_FALSE(roster.on_report(make_report(1, 8, 1, milliseconds{200}), k_start));
  EXPECT_EQ(roster.members({.group = "other", .rank = 5, .ranks = 8}).size(), 0U);
  // A host that replaced another one represents the rank.
  auto moved = make_report(1, 8, 1, milliseconds{200});
  moved.host = "host-new";
  moved.report_address = "new";
  EXPECT_TRUE(roster.on_report(moved, k_start + milliseconds{1}));
  const auto members = roster.members({.group = "g", .rank = 5, .ranks = 8});
  ASSERT_EQ(members.size(), 1U);
  EXPECT_EQ(members[0]->report.report_address, "new");
}

}  // namespace
}  // namespace cuminpath::balancer
