#include "core/routing/prompt_quarantine.h"

#include <gmock/gmock.h>

#include <algorithm>
#include <array>
#include <vector>

namespace cuminpath::routing {
namespace {

using ::testing::Each;
using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::SizeIs;

constexpr prompt_part k_shared = 1;
constexpr prompt_part k_crashing = 2;
constexpr milliseconds k_report_interval{200};

class prompt_quarantine_test : public ::testing::Test {
protected:
  void crash(std::vector<prompt_part> parts) { m_quarantine.on_crash(++m_last_crash, parts, m_now); }
  void output(std::vector<prompt_part> parts) { m_quarantine.on_output(parts, m_now); }
  [[nodiscard]] bool admitted(std::vector<prompt_part> parts) {
    return !m_quarantine.admit(parts, m_now).has_value();
  }
  void wait(milliseconds time) { m_now += time; }

  time_point m_now{seconds{1000}};
  crash_id m_last_crash = 0;
  prompt_quarantine m_quarantine;
};

TEST_F(prompt_quarantine_test, quarantines_a_part_whose_requests_crash_two_upstreams) {
  output({k_shared});
  crash({k_shared, k_crashing});
  wait(milliseconds{200});
  EXPECT_TRUE(admitted({k_shared, k_crashing}));
  crash({k_shared, k_crashing});
  wait(milliseconds{200});
  EXPECT_FALSE(admitted({k_shared, k_crashing}));
  EXPECT_TRUE(admitted({k_shared}));
  const std::vector<prompt_part> parts{k_shared, k_crashing};
  const auto verdict = m_quarantine.admit(parts, m_now);
  ASSERT_TRUE(verdict);
  EXPECT_EQ(verdict->part, k_crashing);
  EXPECT_THAT(verdict->crashes, ElementsAre(1, 2));
  EXPECT_GE(verdict->remaining, milliseconds{29'800});
}

TEST_F(prompt_quarantine_test, waits_for_what_other_processes_know) {
  crash({k_shared});
  wait(milliseconds{100});
  crash({k_shared});
  wait(milliseconds{100});
  EXPECT_TRUE(admitted({k_shared}));
  const std::vector<part_evidence> evidence{{.part = k_shared, .last_output_age = milliseconds{5000}}};
  m_quarantine.merge(evidence, m_now);
  wait(milliseconds{500});
  EXPECT_TRUE(admitted({k_shared}));
}

TEST_F(prompt_quarantine_test, answers_a_suspicion_that_later_output_refutes) {
  output({k_shared});
  static_cast<void>(m_quarantine.take_news());
  const std::vector<part_evidence> evidence{{.part = k_shared, .crashes = {{1, milliseconds{100}}}}};
  m_quarantine.merge(evidence, m_now);
  EXPECT_TRUE(m_quarantine.take_news());
  const auto answer = m_quarantine.evidence_to_send(m_now);
  ASSERT_THAT(answer, SizeIs(1));
  EXPECT_EQ(answer[0].part, k_shared);
  EXPECT_TRUE(answer[0].last_output_age);
  EXPECT_THAT(answer[0].crashes, IsEmpty());
}

TEST_F(prompt_quarantine_test, parts_of_a_fleet_that_has_just_started_are_not_quarantined_by_two_crashes) {
  const std::vector<prompt_part> parts{11, 12, 13, 14, 15, 16};
  for (int i = 0; i < 2; ++i) {
    ++m_last_crash;
    for (const prompt_part part : parts) {
      const std::vector<prompt_part> one{part};
      m_quarantine.on_crash(m_last_crash, one, m_now);
    }
    wait(seconds{1});
  }
  for (const prompt_part part : parts) {
    EXPECT_TRUE(admitted({part})) << part;
  }
  // A third crash tells one of them apart.
  crash({11});
  wait(milliseconds{400});
  EXPECT_FALSE(admitted({11}));
  EXPECT_TRUE(admitted({12}));
}

// Guards against a quarantine that ends while a whole group is down: requests with sound parts fail at each
// crashed upstream as well, and the crashing part looked like one of many at the same crashes.
TEST_F(prompt_quarantine_test, parts_known_as_sound_do_not_end_the_quarantine_of_another) {
  constexpr prompt_part k_other_sound = 3;
  output({k_shared, k_other_sound});
  for (int i = 0; i < 2; ++i) {
    crash({k_shared, k_crashing});
    wait(milliseconds{200});
  }
  ASSERT_FALSE(admitted({k_shared, k_crashing}));
  for (const crash_id id : {1U, 2U}) {
    m_quarantine.on_crash(id, std::vector{k_shared}, m_now);
    m_quarantine.on_crash(id, std::vector{k_other_sound}, m_now);
  }
  wait(milliseconds{200});
  EXPECT_FALSE(admitted({k_shared, k_crashing}));
  EXPECT_TRUE(admitted({k_shared, k_other_sound}));
}

TEST_F(prompt_quarantine_test, a_crash_of_many_upstreams_at_once_counts_once) {
  for (int i = 0; i < 20; ++i) {
    crash({k_shared});
  }
  wait(seconds{1});
  EXPECT_TRUE(admitted({k_shared}));
}

TEST_F(prompt_quarantine_test, a_part_that_produces_output_between_crashes_is_sound) {
  for (int i = 0; i < 20; ++i) {
    crash({k_shared});
    wait(milliseconds{500});
    output({k_shared});
    EXPECT_TRUE(admitted({k_shared}));
  }
}

TEST_F(prompt_quarantine_test, output_of_requests_in_flight_ends_a_quarantine) {
  crash({k_shared});
  wait(milliseconds{100});
  crash({k_shared});
  wait(seconds{1});
  EXPECT_THAT(m_quarantine.update(m_now), SizeIs(1));
  EXPECT_FALSE(admitted({k_shared}));
  output({k_shared});
  EXPECT_TRUE(admitted({k_shared}));
  const auto changes = m_quarantine.update(m_now);
  ASSERT_THAT(changes, SizeIs(1));
  EXPECT_EQ(changes[0].type, prompt_quarantine::change::kind::released);
}

TEST_F(prompt_quarantine_test, a_part_that_was_sound_is_quarantined_after_five_crashes) {
  output({k_shared});
  for (int i = 0; i < 5; ++i) {
    wait(seconds{1});
    EXPECT_TRUE(admitted({k_shared})) << i;
    crash({k_shared});
  }
  EXPECT_FALSE(admitted({k_shared}));
}

TEST_F(prompt_quarantine_test, a_sound_part_is_not_blamed_beside_an_unknown_one) {
  output({k_shared});
  for (int i = 0; i < 20; ++i) {
    wait(seconds{1});
    crash({k_shared, k_crashing});
  }
  EXPECT_TRUE(admitted({k_shared}));
}

TEST_F(prompt_quarantine_test, tests_a_part_with_one_request_and_doubles_the_quarantine) {
  crash({k_crashing});
  wait(milliseconds{100});
  crash({k_crashing});
  wait(milliseconds{46'000});
  EXPECT_TRUE(admitted({k_crashing}));
  EXPECT_FALSE(admitted({k_crashing}));
  crash({k_crashing});
  wait(milliseconds{59'000});
  EXPECT_FALSE(admitted({k_crashing}));
  wait(milliseconds{32'000});
  EXPECT_TRUE(admitted({k_crashing}));
  output({k_crashing});
  EXPECT_TRUE(admitted({k_crashing}));
}

TEST_F(prompt_quarantine_test, memory_is_bounded) {
  for (prompt_part part = 100; part < 100'000; ++part) {
    output({part});
    crash({part, part + 1'000'000});
    wait(milliseconds{1});
  }
  for (prompt_part part = 90'000; part < 100'000; ++part) {
    const std::vector<part_evidence> evidence{{.part = part, .crashes = {{1, milliseconds{1}}}}};
    m_quarantine.merge(evidence, m_now);
  }
  EXPECT_LE(m_quarantine.size(), 256U);
  EXPECT_LE(m_quarantine.evidence_to_send(m_now).size(), k_max_exchanged_parts);
  wait(minutes{30});
  static_cast<void>(m_quarantine.update(m_now));
  EXPECT_EQ(m_quarantine.size(), 0U);
}

TEST_F(prompt_quarantine_test, nothing_is_sent_while_nothing_has_crashed) {
  output({k_shared, k_crashing});
  EXPECT_THAT(m_quarantine.evidence_to_send(m_now), IsEmpty());
  EXPECT_FALSE(m_quarantine.take_news());
}

// Processes that exchange evidence as gateways do: each sends to a part of the others in turn.
class fleet {
public:
  fleet(std::size_t size, std::size_t receivers, double loss)
      : m_receivers(receivers), m_loss(loss), m_members(size) {}

  prompt_quarantine& member(std::size_t number) { return m_members[number]; }
  [[nodiscard]] time_point now() const { return m_now; }
  void run(milliseconds time) {
    for (const time_point end = m_now + time; m_now < end; m_now += k_report_interval) {
      for (auto& sender : m_members) {
        const auto evidence = sender.evidence_to_send(m_now);
        m_most_sent = std::max(m_most_sent, evidence.size());
        for (std::size_t i = 0; i < m_receivers && !evidence.empty(); ++i) {
          if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_loss) {
            m_members[random_index(m_random, m_members.size())].merge(evidence, m_now);
          }
        }
      }
    }
  }
  void crash(std::size_t number, crash_id id, std::vector<prompt_part> parts) {
    m_members[number].on_crash(id, parts, m_now);
  }
  std::vector<bool> admit(prompt_part part) {
    const std::vector<prompt_part> parts{part};
    std::vector<bool> out;
    for (auto& each : m_members) {
      out.push_back(!each.admit(parts, m_now));
    }
    return out;
  }
  [[nodiscard]] std::size_t most_sent() const { return m_most_sent; }

private:
  std::size_t m_receivers;
  double m_loss;
  random_source m_random{1};
  std::vector<prompt_quarantine> m_members;
  time_point m_now{seconds{1000}};
  std::size_t m_most_sent = 0;
};

TEST(prompt_quarantine_fleet, crashes_seen_by_different_members_are_known_to_all_within_seconds) {
  for (const std::size_t size : {18U, 148U, 1200U}) {
    fleet members(size, std::min<std::size_t>(size, 64), 0.1);
    members.crash(0, 1, {k_crashing});
    members.run(milliseconds{400});
    members.crash(size / 2, 2, {k_crashing});
    members.run(milliseconds{1600});
    EXPECT_THAT(members.admit(k_crashing), Each(false)) << size;
    EXPECT_THAT(members.admit(k_shared), Each(true)) << size;
    EXPECT_EQ(members.most_sent(), 1U);
  }
}

TEST(prompt_quarantine_fleet, a_part_that_one_member_knows_as_sound_is_quarantined_by_none) {
  fleet members(148, 64, 0.1);
  const std::vector<prompt_part> parts{k_shared};
  members.member(7).on_output(parts, members.now());
  members.run(milliseconds{200});
  members.crash(0, 1, {k_shared});
  members.run(milliseconds{200});
  members.crash(1, 2, {k_shared});
  members.run(milliseconds{2000});
  EXPECT_THAT(members.admit(k_shared), Each(true));
}

TEST(prompt_quarantine_fleet, ages_that_are_passed_on_do_not_move_output_behind_crashes) {
  constexpr milliseconds k_delay{2};
  const std::vector<prompt_part> parts{k_shared};
  std::array<prompt_quarantine, 2> members;
  time_point now{seconds{1000}};
  members[0].on_output(parts, now);
  for (crash_id id = 1; id <= 5; ++id) {
    now += milliseconds{100};
    members[0].on_crash(id, parts, now);
  }
  for (const time_point end = now + seconds{25}; now < end; now += k_report_interval) {
    for (const std::size_t sender : {0U, 1U}) {
      members[1 - sender].merge(members[sender].evidence_to_send(now), now + k_delay);
    }
  }
  EXPECT_TRUE(members[0].admit(parts, now));
  EXPECT_TRUE(members[1].admit(parts, now));
}

TEST(prompt_quarantine_fleet, a_member_that_starts_later_learns_of_the_quarantine) {
  fleet members(18, 17, 0.1);
  members.crash(0, 1, {k_crashing});
  members.run(milliseconds{400});
  members.crash(1, 2, {k_crashing});
  members.run(milliseconds{10'000});
  members.member(3) = prompt_quarantine();
  members.run(milliseconds{600});
  EXPECT_THAT(members.admit(k_crashing), Each(false));
}

}  // namespace
}  // namespace cuminpath::routing
