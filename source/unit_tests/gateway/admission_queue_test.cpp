#include "core/gateway/admission_queue.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminpath::gateway {
namespace {

using ticket = admission_queue::ticket;

constexpr time_point k_start{seconds{100}};
constexpr milliseconds k_target{400};

class admission_queue_test : public ::testing::Test {
protected:
  // Frees 20 places a second for two seconds, so that a request waits for about 60 ms.
  admission_queue_test() {
    m_queue.set_options({.max_wait_share = 0.5});
    for (int i = 0; i < 40; ++i) {
      m_now += milliseconds{50};
      m_queue.on_place_freed("s", m_now);
    }
  }
  [[nodiscard]] queue_candidate candidate(queue_rank rank = {}) const {
    return {.service = "s",
            .rank = rank,
            .target_latency = k_target,
            .arrived = m_now,
            .deadline = m_now + seconds{8}};
  }
  ticket join(queue_rank rank = {}) {
    const auto outcome = m_queue.join(candidate(rank), m_now);
    const auto* place = std::get_if<admission_queue::place>(&outcome);
    EXPECT_NE(place, nullptr);
    return place == nullptr ? 0 : place->id;
  }
  [[nodiscard]] admission_queue::refusal refusal_of(const queue_candidate& refused) {
    const auto outcome = m_queue.join(refused, m_now);
    const auto* reason = std::get_if<admission_queue::refusal>(&outcome);
    EXPECT_NE(reason, nullptr);
    return reason == nullptr ? admission_queue::refusal::off : *reason;
  }

  admission_queue m_queue;
  time_point m_now = k_start;
  random_source m_random{1};
};

// Guards against requests that wait although the operator has not switched the queue on.
TEST_F(admission_queue_test, nothing_waits_by_default) {
  admission_queue off;
  EXPECT_FALSE(off.enabled());
  off.on_place_freed("s", m_now);
  const auto outcome = off.join(candidate(), m_now);
  ASSERT_TRUE(std::holds_alternative<admission_queue::refusal>(outcome));
  EXPECT_EQ(std::get<admission_queue::refusal>(outcome), admission_queue::refusal::off);
}

// Guards against new requests that overtake returning callers, and against a priority that overtakes a more
// urgent one.
TEST_F(admission_queue_test, priority_goes_first_then_returning_callers_then_arrival) {
  m_queue.set_options({.max_wait_share = 1});
  const ticket fresh = join({.priority = 1});
  const ticket returning = join({.priority = 1, .returning = true});
  const ticket later = join({.priority = 1});
  const ticket urgent = join({.priority = 0});
  EXPECT_EQ(m_queue.order("s"), (std::vector<ticket>{urgent, returning, fresh, later}));
  EXPECT_EQ(m_queue.count_before("s", {.priority = 1, .returning = true}), 2U);
  EXPECT_EQ(m_queue.count_before("other", {}), 0U);
}

// Guards against requests that wait although they would be late, or have no time left for an upstream.
TEST_F(admission_queue_test, a_request_waits_only_if_its_expected_wait_fits) {
  for (int waiting = 0; waiting < 3; ++waiting) {
    join();
  }
  EXPECT_EQ(refusal_of(candidate()), admission_queue::refusal::too_long);
  EXPECT_EQ(m_queue.size(), 3U);
  queue_candidate short_of_time = candidate({.priority = 0, .returning = true});
  short_of_time.deadline = m_now + milliseconds{60};
  EXPECT_EQ(refusal_of(short_of_time), admission_queue::refusal::too_long);
  queue_candidate delayed = candidate({.priority = 0, .returning = true});
  delayed.arrived = m_now - milliseconds{180};  // Its bytes waited for memory.
  EXPECT_EQ(refusal_of(delayed), admission_queue::refusal::too_long);
}

// Guards against waits for places of a service that frees none, for example because all its upstreams hang.
TEST_F(admission_queue_test, nothing_waits_once_no_places_become_free) {
  m_now += seconds{5};
  EXPECT_EQ(refusal_of(candidate()), admission_queue::refusal::too_long);
  EXPECT_EQ(m_queue.promise_return("s", {}, seconds{8}, m_now, m_random), std::nullopt);
}

// Guards against a queue without bound, and against one that is full of less urgent requests.
TEST_F(admission_queue_test, a_full_queue_takes_a_more_urgent_request_for_the_last_one) {
  m_queue.set_options({.max_wait_share = 1, .max_requests = 2});
  const ticket first = join({.priority = 1});
  const ticket last = join({.priority = 1});
  EXPECT_EQ(refusal_of(candidate({.priority = 1})), admission_queue::refusal::full);
  const auto outcome = m_queue.join(candidate({.priority = 0}), m_now);
  const auto& place = std::get<admission_queue::place>(outcome);
  EXPECT_EQ(place.displaced, last);
  EXPECT_EQ(m_queue.order("s"), (std::vector<ticket>{place.id, first}));
  EXPECT_EQ(m_queue.size(), 2U);
  EXPECT_TRUE(m_queue.leave(first));
  EXPECT_FALSE(m_queue.leave(first));
  EXPECT_EQ(m_queue.size(), 1U);
}

// Guards against refused callers that return together, or later than a third of their time.
TEST_F(admission_queue_test, promised_returns_are_spread_at_half_the_rate_of_freed_places) {
  const double rate = m_queue.freed_per_s("s", m_now);
  std::vector<int> returns_in(24);  // In each 100 ms.
  for (int i = 0; i < 100; ++i) {
    const auto wait = m_queue.promise_return("s", {}, seconds{8}, m_now, m_random);
    ASSERT_TRUE(wait.has_value());
    EXPECT_GE(*wait, milliseconds{100});
    ASSERT_LE(*wait, milliseconds{2400});
    if (i < static_cast<int>(rate)) {
      ++returns_in.at(std::min<std::size_t>(23, static_cast<std::size_t>(wait->count() / 100)));
    }
  }
  for (const int count : returns_in) {
    EXPECT_LE(count, 1 + static_cast<int>(rate / 10));
  }
}

// Guards against new requests that take the place that is kept for a refused caller, and against places that
// are kept for callers that do not come.
TEST_F(admission_queue_test, a_promised_place_is_kept_from_new_requests_around_its_time) {
  const auto wait = m_queue.promise_return("s", {.priority = 1}, seconds{8}, m_now, m_random);
  ASSERT_TRUE(wait.has_value());
  EXPECT_EQ(m_queue.promised_places("s", {.priority = 1}, m_now), 0U);
  const time_point due = m_now + *wait;
  EXPECT_EQ(m_queue.promised_places("s", {.priority = 1}, due), 1U);
  EXPECT_EQ(m_queue.promised_places("s", {.priority = 0}, due), 0U);
  EXPECT_EQ(m_queue.promised_places("s", {.priority = 1, .returning = true}, due), 0U);
  EXPECT_EQ(m_queue.promised_places("s", {.priority = 1}, due + milliseconds{100}), 0U);
  const auto second = m_queue.promise_return("s", {.priority = 1}, seconds{8}, m_now, m_random);
  m_queue.on_return("s", 1, m_now);  // Too early for the place.
  EXPECT_EQ(m_queue.promised_places("s", {.priority = 1}, m_now + *second), 1U);
  m_queue.on_return("s", 1, m_now + *second);
  EXPECT_EQ(m_queue.promised_places("s", {.priority = 1}, m_now + *second), 0U);
}

}  // namespace
}  // namespace cuminpath::gateway
