#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>

#include "core/group_switch/coordinator.h"
#include "core/group_switch/participant.h"

namespace cuminpath::group_switch {
namespace {

constexpr std::uint32_t k_ranks = 3;

// An engine that follows the protocol: it holds at the armed step. It ignores fencing tokens.
struct fake_engine {
  engine_state state;
  std::vector<std::string> map_of_step;

  [[nodiscard]] bool is_held() const {
    return state.phase == wire::switch_phase::armed && state.step == state.switch_step;
  }

  void run_step() {
    if (state.phase == wire::switch_phase::committed && state.step == state.switch_step) {
      state.digest = state.new_digest;
    }
    map_of_step.push_back(state.digest);
    ++state.step;
  }

  bool execute(const engine_order& order) {
    switch (order.command) {
      case engine_command::prepare_map:
        state.switch_id = order.switch_id;
        state.phase = wire::switch_phase::prepared;
        state.new_digest = order.digest;
        return true;
      case engine_command::arm_map:
        if (state.phase != wire::switch_phase::prepared || state.step > order.step) {
          return false;
        }
        state.phase = wire::switch_phase::armed;
        state.switch_step = order.step;
        return true;
      case engine_command::go_map:
        state.phase = wire::switch_phase::committed;
        return true;
      case engine_command::abort_map:
        state.phase = wire::switch_phase::aborted;
        return true;
    }
    return false;
  }
};

// A group whose messages are delayed, lost and reordered at random, and whose processes restart.
class simulated_group {
public:
  explicit simulated_group(std::uint64_t seed) : m_random(seed) {
    for (std::uint32_t rank = 0; rank < k_ranks; ++rank) {
      m_engines[rank].state.digest = "old";
      restart_rank(rank);
    }
    restart_coordinator();
  }

  void restart_coordinator() {
    m_coordinator.emplace(coordinator_options{.group = "g",
                                              .ranks = k_ranks,
                                              .resend_interval = milliseconds(10),
                                              .prepare_timeout = seconds(1),
                                              .arm_timeout = milliseconds(200),
                                              .margin_steps = 3});
  }

  void restart_rank(std::uint32_t rank) {
    m_participants.insert_or_assign(rank, participant("g", rank));
    std::vector<participant_action> actions;
    m_participants.at(rank).start(actions);
    perform(rank, actions);
  }

  // Advances the time by one millisecond, in which a random part of the group acts.
  void advance(double loss) {
    m_now += milliseconds(1);
    std::vector<coordinator_action> actions;
    m_coordinator->tick(m_now, actions);
    perform(actions);
    deliver(loss);
    const auto rank = static_cast<std::uint32_t>(m_random() % k_ranks);
    auto& engine = m_engines[rank];
    const bool must_wait = std::any_of(m_engines.begin(), m_engines.end(), [&](const auto& item) {
      return item.second.state.step < engine.state.step;
    });
    if (!must_wait && !engine.is_held()) {
      engine.run_step();
    }
  }

  void expect_same_map_in_each_step() const {
    for (std::size_t step = 0;; ++step) {
      std::optional<std::string> digest;
      for (const auto& [rank, engine] : m_engines) {
        if (step >= engine.map_of_step.size()) {
          return;
        }
        ASSERT_EQ(digest.value_or(engine.map_of_step[step]), engine.map_of_step[step]) << "step " << step;
        digest = engine.map_of_step[step];
      }
    }
  }

  [[nodiscard]] std::size_t steps() const { return m_engines.at(0).map_of_step.size(); }
  [[nodiscard]] const std::string& digest() const { return m_engines.at(0).state.digest; }
  coordinator& current_coordinator() { return *m_coordinator; }
  [[nodiscard]] time_point now() const { return m_now; }
  std::uint64_t random() { return m_random(); }

private:
  void perform(std::vector<coordinator_action>& actions) {
    for (auto& action : actions) {
      if (std::holds_alternative<acquire_token>(action)) {
        m_coordinator->on_token(m_now, fencing_token{++m_token});
      } else if (auto* send = std::get_if<send_to_rank>(&action)) {
        m_to_ranks.emplace_back(send->rank, std::move(send->message));
      }
    }
  }

  void perform(std::uint32_t rank, std::vector<participant_action>& actions) {
    for (std::size_t i = 0; i < actions.size(); ++i) {
      auto action = actions[i];
      auto& receiver = m_participants.at(rank);
      if (std::holds_alternative<query_engine>(action)) {
        receiver.on_engine_state(m_engines[rank].state, actions);
      } else if (std::holds_alternative<query_token>(action)) {
        receiver.on_group_token(fencing_token{m_token}, actions);
      } else if (const auto* order = std::get_if<engine_order>(&action)) {
        const bool accepted = m_engines[rank].execute(*order);
        receiver.on_engine_result(accepted, m_engines[rank].state.step, actions);
      } else if (auto* response = std::get_if<reply>(&action)) {
        m_to_coordinator.push_back(std::move(response->message));
      }
    }
  }

  template <class queue>
  auto remove_random(queue& from) {
    const auto index = m_random() % from.size();
    auto value = std::move(from[index]);
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(index));
    return value;
  }

  void deliver(double loss) {
    std::uniform_real_distribution<double> uniform(0, 1);
    if (!m_to_ranks.empty() && uniform(m_random) < 0.8) {
      const auto [rank, message] = remove_random(m_to_ranks);
      if (uniform(m_random) >= loss) {
        std::vector<participant_action> actions;
        m_participants.at(rank).on_message("leader", message, actions);
        perform(rank, actions);
      }
    }
    if (!m_to_coordinator.empty() && uniform(m_random) < 0.8) {
      const auto message = remove_random(m_to_coordinator);
      if (uniform(m_random) >= loss) {
        std::vector<coordinator_action> actions;
        m_coordinator->on_message(m_now, message, actions);
        perform(actions);
      }
    }
  }

  std::mt19937_64 m_random;
  time_point m_now{};
  std::uint64_t m_token = 0;
  std::map<std::uint32_t, fake_engine> m_engines;
  std::map<std::uint32_t, participant> m_participants;
  std::optional<coordinator> m_coordinator;
  std::deque<std::pair<std::uint32_t, wire::message>> m_to_ranks;
  std::deque<wire::message> m_to_coordinator;
};

// Guards against a switch that is not carried out although nothing fails.
TEST(group_switch, completes_without_faults) {
  simulated_group simulated(1);
  for (int i = 0; i < 100; ++i) {
    simulated.advance(0);
  }
  ASSERT_TRUE(simulated.current_coordinator().start_switch(simulated.now(), "new", "{}"));
  for (int i = 0; i < 500; ++i) {
    simulated.advance(0);
  }
  EXPECT_EQ(simulated.digest(), "new");
  EXPECT_TRUE(simulated.current_coordinator().idle());
  EXPECT_EQ(simulated.current_coordinator().map_digest(), "new");
  simulated.expect_same_map_in_each_step();
}

// Guards against ranks that use different maps in one step when messages are lost or late and processes
// restart, and against a group that holds forever.
TEST(group_switch, no_step_uses_different_maps_under_loss_reordering_and_restarts) {
  constexpr std::uint64_t k_first_seed = 20260203;
  constexpr int k_runs = 400;
  std::size_t switches = 0;
  for (int run = 0; run < k_runs; ++run) {
    SCOPED_TRACE("seed " + std::to_string(k_first_seed + run));
    simulated_group simulated(k_first_seed + static_cast<std::uint64_t>(run));
    for (int i = 0; i < 3000; ++i) {
      simulated.advance(0.2);
      if (simulated.current_coordinator().idle() && simulated.random() % 50 == 0) {
        switches +=
            simulated.current_coordinator().start_switch(simulated.now(), "map " + std::to_string(i), "{}")
                ? 1
                : 0;
      }
      if (simulated.random() % 150 == 0) {
        simulated.restart_coordinator();
      }
      if (simulated.random() % 150 == 0) {
        simulated.restart_rank(static_cast<std::uint32_t>(simulated.random() % k_ranks));
      }
    }
    const auto before = simulated.steps();
    for (int i = 0; i < 1000; ++i) {
      simulated.advance(0);
    }
    EXPECT_GT(simulated.steps(), before + 100);
    EXPECT_TRUE(simulated.current_coordinator().idle());
    simulated.expect_same_map_in_each_step();
    if (HasFatalFailure()) {
      return;
    }
  }
  std::printf("seeds %llu to %llu, %zu switches started\n", static_cast<unsigned long long>(k_first_seed),
              static_cast<unsigned long long>(k_first_seed + k_runs - 1), switches);
}

// Guards against late orders of a replaced coordinator that still take effect.
TEST(participant, refuses_an_older_token) {
  participant rank("g", 0);
  std::vector<participant_action> actions;
  rank.start(actions);
  rank.on_engine_state({}, actions);
  rank.on_group_token(fencing_token{1}, actions);
  rank.on_message("new", wire::switch_query{.group = "g", .token = fencing_token{2}}, actions);
  actions.clear();
  rank.on_message("old",
                  wire::switch_prepare{
                      .group = "g", .token = fencing_token{1}, .switch_id = 1, .digest = "d", .plan = "{}"},
                  actions);
  EXPECT_TRUE(actions.empty());
}

// Guards against a restarted agent that answers before it knows its engine's state and the group's token.
TEST(participant, answers_nothing_before_engine_state_and_token_are_known) {
  participant rank("g", 0);
  std::vector<participant_action> actions;
  rank.start(actions);
  actions.clear();
  rank.on_message("leader", wire::switch_query{.group = "g", .token = fencing_token{1}}, actions);
  EXPECT_TRUE(actions.empty());
  rank.on_engine_state({.switch_id = 4, .phase = wire::switch_phase::armed}, actions);
  EXPECT_TRUE(actions.empty());
  rank.on_group_token(fencing_token{1}, actions);
  ASSERT_EQ(actions.size(), 1U);
  const auto& state = std::get<wire::switch_state>(std::get<reply>(actions[0]).message);
  EXPECT_EQ(state.phase, wire::switch_phase::armed);
  EXPECT_EQ(state.switch_id, 4U);
}

// Guards against a restarted agent that obeys a coordinator which was replaced while the agent did not run.
TEST(participant, applies_the_group_token_before_it_obeys) {
  participant rank("g", 0);
  std::vector<participant_action> actions;
  rank.start(actions);
  rank.on_engine_state({.switch_id = 4, .phase = wire::switch_phase::armed}, actions);
  rank.on_group_token(fencing_token{3}, actions);
  actions.clear();
  rank.on_message("old", wire::switch_commit{.group = "g", .token = fencing_token{2}, .switch_id = 4},
                  actions);
  EXPECT_TRUE(actions.empty());
}

// Guards against an abort of a later switch that makes a rank discard a committed switch which its engine has
// yet to make.
TEST(participant, an_abort_keeps_a_committed_switch_that_is_not_yet_made) {
  const engine_state committed{.switch_id = 4,
                               .phase = wire::switch_phase::committed,
                               .switch_step = 10,
                               .step = 10,
                               .digest = "old",
                               .new_digest = "new"};
  participant rank("g", 0);
  std::vector<participant_action> actions;
  rank.start(actions);
  rank.on_engine_state(committed, actions);
  rank.on_group_token(fencing_token{1}, actions);
  actions.clear();
  rank.on_message("leader", wire::switch_abort{.group = "g", .token = fencing_token{1}, .switch_id = 5},
                  actions);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<query_engine>(actions[0]));
  rank.on_engine_state(committed, actions);
  EXPECT_EQ(rank.phase(), wire::switch_phase::committed);
  EXPECT_EQ(rank.map_digest(), "new");
}

}  // namespace
}  // namespace cuminpath::group_switch
