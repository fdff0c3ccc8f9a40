// Checks when a second attempt is begun and which limit refuses it.

#include "core/gateway/second_attempt_policy.h"

#include <gtest/gtest.h>

#include <functional>

namespace cuminpath::gateway {
namespace {

using refusal = second_attempt_refusal;

constexpr time_point k_start{seconds{1000}};
constexpr second_attempt_shares k_shares{.requests = 0.1, .tokens = 0.1};

class second_attempt_policy_test : public ::testing::Test {
protected:
  // Usual answers take 150 to 250 ms; `slow` of 1,000 take 2 s.
  void learn(int slow) {
    for (int i = 0; i < 1000; ++i) {
      m_policy.on_request(1000, m_now);
      const duration time = i < slow ? milliseconds{2000} : milliseconds(150 + i % 101);
      m_policy.on_answer(awaited::first_event, "u" + std::to_string(i % 9), m_now - time, m_now);
      m_policy.on_answer(awaited::next_event, "u" + std::to_string(i % 9), m_now - milliseconds{40}, m_now);
    }
    for (int i = 0; i < 5; ++i) {
      m_policy.on_attempt_sent();
    }
  }

  // A request that was sent when the samples were recorded and is late after 500 ms.
  [[nodiscard]] second_attempt_facts facts() const {
    return {.what = awaited::first_event,
            .waiting_since = k_start,
            .late_at = k_start + milliseconds{500},
            .upstream_id = "u0",
            .may_run_again = true,
            .running_attempts = 1,
            .sent_attempts = 1,
            .max_attempts = 2,
            .time_left = seconds{5},
            .engine = true,
            .grouped = true,
            .tokens = 1000,
            .totals = {.upstreams = 9, .slots = 90, .outstanding = 45},
            .slot_available = true,
            .retry_available = true};
  }

  // Returns why there is no second attempt 260 ms after the request was sent, at which time another upstream
  // sends an event.
  refusal decide(const second_attempt_facts& described, const second_attempt_shares& shares = k_shares) {
    const time_point now = k_start + milliseconds{260};
    for (int i = 1; i <= 6; ++i) {
      m_policy.on_progress("u1", k_start + milliseconds{40 * i});
    }
    m_policy.when_to_look(described, now);
    const auto decision = m_policy.decide(described, shares, now, m_random);
    if (const auto* later = std::get_if<look_later>(&decision)) {
      EXPECT_GT(later->at, now);
      EXPECT_LE(later->at, now + milliseconds{30});
      return later->reason;
    }
    const auto* none = std::get_if<no_second_attempt>(&decision);
    return none == nullptr ? refusal::none : none->reason;
  }

  [[nodiscard]] milliseconds wait(int slow) {
    learn(slow);
    const auto at = m_policy.when_to_look(facts(), k_start);
    return std::chrono::duration_cast<milliseconds>(at.value_or(k_start) - k_start);
  }

  second_attempt_policy m_policy;
  random_source m_random{1};
  time_point m_now = k_start;
};

TEST_F(second_attempt_policy_test, each_limit_refuses_alone) {
  learn(20);
  ASSERT_EQ(decide(facts()), refusal::none);
  struct {
    refusal expected;
    std::function<void(second_attempt_facts&)> change;
  } const cases[] = {
      {refusal::not_repeatable, [](auto& f) { f.may_run_again = false; }},
      {refusal::not_repeatable, [](auto& f) { f.finished = true; }},
      {refusal::attempts, [](auto& f) { f.running_attempts = 2; }},
      {refusal::attempts, [](auto& f) { f.running_attempts = 0; }},
      {refusal::attempts, [](auto& f) { f.sent_attempts = 2; }},
      {refusal::time_left, [](auto& f) { f.time_left = milliseconds{29}; }},
      {refusal::quarantined, [](auto& f) { f.quarantined = true; }},
      {refusal::no_gain, [](auto& f) { f.late_at = k_start + milliseconds{380}; }},
      {refusal::no_gain, [](auto& f) { f.late_at = k_start + milliseconds{5000}; }},
      {refusal::no_gain, [](auto& f) { f.what = awaited::response; }},
      {refusal::service_silent, [](auto& f) { f.upstream_id = "u1"; }},
      {refusal::slots, [](auto& f) { f.totals.outstanding = 63; }},
      {refusal::slots, [](auto& f) { f.slot_available = false; }},
      {refusal::token_share, [](auto& f) { f.tokens.reset(); }},
      {refusal::token_share, [](auto& f) { f.tokens = 100'001; }},
      {refusal::retry_budget, [](auto& f) { f.retry_available = false; }},
  };
  for (const auto& each : cases) {
    auto changed = facts();
    each.change(changed);
    EXPECT_EQ(decide(changed), each.expected) << refusal_name(each.expected);
  }
  EXPECT_EQ(decide(facts(), {.requests = 0.0009, .tokens = 1}), refusal::request_share);
}

TEST_F(second_attempt_policy_test, the_wait_is_at_the_end_of_the_usual_times) {
  const auto usual = wait(1);
  EXPECT_GE(usual, milliseconds{248});
  EXPECT_LE(usual, milliseconds{300});
}

TEST_F(second_attempt_policy_test, a_target_that_no_second_attempt_can_meet_is_left_alone) {
  learn(100);
  auto tight = facts();
  tight.late_at = k_start + milliseconds{380};
  EXPECT_EQ(m_policy.when_to_look(tight, k_start), tight.late_at);
}

TEST_F(second_attempt_policy_test, too_few_samples_allow_no_second_attempt) {
  for (int i = 0; i < 150; ++i) {
    m_policy.on_answer(awaited::first_event, "u1", k_start - milliseconds{200}, k_start);
  }
  EXPECT_EQ(m_policy.when_to_look(facts(), k_start), facts().late_at);
  EXPECT_EQ(decide(facts()), refusal::no_gain);
}

// A request that waited through a pause of its group is late because of the pause.
TEST_F(second_attempt_policy_test, a_stall_of_the_service_is_no_slowness) {
  learn(20);
  const time_point now = k_start + milliseconds{260};
  m_policy.when_to_look(facts(), now);
  auto decision = m_policy.decide(facts(), k_shares, now, m_random);
  ASSERT_TRUE(std::holds_alternative<look_later>(decision));
  EXPECT_EQ(std::get<look_later>(decision).reason, refusal::service_silent);
  m_policy.on_progress("u1", now);
  decision = m_policy.decide(facts(), k_shares, now, m_random);
  ASSERT_TRUE(std::holds_alternative<look_later>(decision));
  EXPECT_EQ(std::get<look_later>(decision).reason, refusal::service_silent);
}

// Without the abandoned attempts, the slow upstreams would be forgotten once they are replaced in time.
TEST(response_times, abandoned_attempts_count_as_slow) {
  response_times times;
  for (int i = 0; i < 900; ++i) {
    times.record(milliseconds(150 + i % 101), k_start);
  }
  for (int i = 0; i < 100; ++i) {
    times.record_unanswered(milliseconds{400}, k_start);
  }
  times.update(k_start + seconds{1});
  EXPECT_NEAR(times.share_over(milliseconds{500}), 0.1, 0.01);
  EXPECT_NEAR(times.share_over(milliseconds{200}), 0.1 + 0.9 * 0.5, 0.03);
  EXPECT_EQ(times.share_over(milliseconds{100}), 1);
}

TEST(response_times, old_samples_fade) {
  response_times times;
  for (int i = 0; i < 1000; ++i) {
    times.record(milliseconds{800}, k_start);
  }
  const time_point later = k_start + minutes{60};
  EXPECT_LT(times.sample_count(later), 1e-3);
  for (int i = 0; i < 1000; ++i) {
    times.record(milliseconds{100}, later);
  }
  times.update(later);
  EXPECT_LT(times.share_over(milliseconds{110}), 0.002);
  EXPECT_NEAR(times.sample_count(later), 1000, 1);
}

TEST(second_attempt_budget, keeps_the_shares_in_a_sliding_window) {
  second_attempt_budget budget;
  using budget_refusal = second_attempt_budget::refusal;
  const second_attempt_shares shares{.requests = 0.02, .tokens = 0.01};
  for (int i = 0; i < 100; ++i) {
    budget.on_request(1000, k_start);
  }
  EXPECT_EQ(budget.check(std::nullopt, shares, k_start), budget_refusal::none);
  EXPECT_EQ(budget.check(1000, shares, k_start), budget_refusal::none);
  EXPECT_EQ(budget.check(1001, shares, k_start), budget_refusal::tokens);
  budget.on_second_attempt(1000, k_start);
  EXPECT_EQ(budget.check(1, shares, k_start), budget_refusal::tokens);
  budget.on_second_attempt(0, k_start);
  EXPECT_EQ(budget.check(std::nullopt, shares, k_start), budget_refusal::requests);
  // What was begun counts for the whole window, and the requests no longer than that.
  EXPECT_EQ(budget.check(std::nullopt, shares, k_start + seconds{59}), budget_refusal::requests);
  EXPECT_EQ(budget.check(std::nullopt, shares, k_start + seconds{62}), budget_refusal::requests);
  EXPECT_EQ(budget.check(std::nullopt, {}, k_start), budget_refusal::requests);
}

TEST(parse_token_counts, accepts_two_counts_only) {
  EXPECT_EQ(parse_token_counts("714,240"), 954U);
  for (const char* text :
       {"", "714", "714,", ",240", "714,240,1", "-1,2", "1, 2", "99999999999999999999,1"}) {
    EXPECT_EQ(parse_token_counts(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace cuminpath::gateway
