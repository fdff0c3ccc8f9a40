// Checks invariants that hold under every policy, with random sequences of events.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "core/common/random.h"
#include "core/scheduling/scheduler.h"
#include "unit_tests/support/property.h"

namespace cuminpath::scheduling {
namespace {

enum class state : std::uint8_t { queued, running, ended };

constexpr std::uint32_t k_slots = 4;

scheduler_options options_of(std::uint64_t seed) {
  const urgent_policy policies[] = {preempt_running{.min_wait_fraction = 0}, reserve_slots{},
                                    wait_for_slot{}};
  return {.urgent = policies[seed % 3], .feasibility = seed % 2 == 0};
}

// A scheduler and a record of its decisions about each job.
class model {
public:
  explicit model(std::uint64_t seed) : m_random(seed), m_scheduler(options_of(seed)) {
    const config::priority_class classes[] = {
        {.name = "a", .priority = 0, .first_token_target = milliseconds(900)},
        {.name = "b", .priority = 1, .total_target = seconds(5), .floor = 0.2},
        {.name = "c", .priority = 2, .floor = 0.1}};
    m_scheduler.configure(m_now, classes, {}, k_slots);
  }

  void step() {
    m_now += milliseconds(10);
    switch (random_index(m_random, 4)) {
      case 0:
      case 1:
        submit();
        break;
      case 2:
        progress();
        break;
      default:
        cancel();
    }
    m_decisions.clear();
    m_scheduler.tick(m_now, m_decisions);
    apply_decisions();
    check();
  }

  void drain() {
    m_decisions.clear();
    m_scheduler.drain(m_now, m_decisions);
    apply_decisions();
    for (int i = 0; i < 10000 && !m_jobs.empty(); ++i) {
      m_now += milliseconds(10);
      progress();
      m_decisions.clear();
      m_scheduler.tick(m_now, m_decisions);
      apply_decisions();
    }
    RC_ASSERT(m_jobs.empty());
    RC_ASSERT(m_scheduler.running() == 0U);
    RC_ASSERT(m_scheduler.queued() == 0U);
  }

private:
  void submit() {
    const job_id id{++m_last_id};
    const char* names[] = {"a", "b", "c"};
    const char* workspaces[] = {"x", "y", "z"};
    const auto verdict = m_scheduler.submit(
        m_now, {id, workspaces[random_index(m_random, 3)], names[random_index(m_random, 3)],
                static_cast<std::uint32_t>(random_index(m_random, 200)),
                m_now + milliseconds(random_index(m_random, 3000)), random_index(m_random, 2) == 0});
    if (std::holds_alternative<admitted>(verdict)) {
      m_jobs[id] = state::queued;
    } else {
      const auto& refusal = std::get<refused>(verdict);
      RC_ASSERT(refusal.reason == wire::refusal_reason::deadline_passed || refusal.retry_after.count() > 0);
    }
  }
  void progress() {
    for (auto it = m_jobs.begin(); it != m_jobs.end(); ++it) {
      if (it->second == state::running && random_index(m_random, 3) == 0) {
        m_scheduler.on_tokens(m_now, it->first, 1 + static_cast<std::uint32_t>(random_index(m_random, 300)));
        if (random_index(m_random, 2) == 0) {
          m_scheduler.on_finished(m_now, it->first);
          m_jobs.erase(it);
          return;
        }
      }
    }
  }
  void cancel() {
    if (!m_jobs.empty()) {
      const auto it = std::next(m_jobs.begin(), static_cast<int>(random_index(m_random, m_jobs.size())));
      m_scheduler.cancel(m_now, it->first);
      m_jobs.erase(it);
    }
  }
  void apply_decisions() {
    for (const decision& value : m_decisions) {
      std::visit([this](const auto& decided) { apply(decided); }, value);
    }
  }
  void apply(const start_job& value) {
    RC_ASSERT(m_jobs.at(value.id) == state::queued);
    RC_ASSERT(value.resumed == (m_has_run.count(value.id) > 0));
    m_jobs[value.id] = state::running;
    m_has_run.insert(value.id);
  }
  void apply(const preempt_job& value) {
    RC_ASSERT(m_jobs.at(value.id) == state::running);
    m_jobs[value.id] = state::queued;
  }
  void apply(const refuse_job& value) {
    RC_ASSERT(m_jobs.at(value.id) == state::queued);
    RC_ASSERT(value.reason != wire::refusal_reason::draining || m_has_run.count(value.id) == 0);
    m_jobs.erase(value.id);
  }
  void check() {
    std::uint32_t running = 0;
    for (const auto& [id, value] : m_jobs) {
      running += value == state::running ? 1 : 0;
    }
    RC_ASSERT(running <= k_slots);
    RC_ASSERT(running == m_scheduler.running());
    RC_ASSERT(m_jobs.size() - running == m_scheduler.queued());
  }

  random_source m_random;
  time_point m_now{seconds(100)};
  scheduler m_scheduler;
  std::uint64_t m_last_id = 0;
  std::map<job_id, state> m_jobs;
  std::set<job_id> m_has_run;
  std::vector<decision> m_decisions;
};

// Guards against jobs that are lost, run twice at the same time, exceed the slots or never end, and against
// refusals without a retry time.
TEST(scheduler_property, every_admitted_job_ends_exactly_once_within_the_slots) {
  EXPECT_TRUE(support::check_property(150, [](std::uint64_t seed) {
    model target(seed);
    for (int i = 0; i < 300; ++i) {
      target.step();
    }
    target.drain();
  }));
}

// Guards against shares that depend on the number of requests instead of their tokens. Two workspaces with
// equal shares and a backlog each get half of the tokens, within one request per slot.
TEST(scheduler_property, tokens_are_shared_equally_whatever_the_request_sizes) {
  EXPECT_TRUE(support::check_property(50, [](std::uint64_t seed) {
    random_source random(seed);
    scheduler target({.urgent = wait_for_slot{}, .feasibility = false});
    const config::priority_class only[] = {{.name = "a"}};
    const time_point now{seconds(100)};
    target.configure(now, only, {}, 1);
    const auto small = static_cast<std::uint32_t>(1 + random_index(random, 50));
    const auto large = static_cast<std::uint32_t>(1 + random_index(random, 500));
    std::map<job_id, std::pair<int, std::uint32_t>> jobs;
    for (std::uint64_t i = 0; i < 1000; ++i) {
      const bool first = i % 2 == 0;
      jobs[job_id{i}] = {first ? 0 : 1, first ? small : large};
      target.submit(now, {job_id{i}, first ? "small" : "large", "a", first ? small : large,
                          now + std::chrono::hours(1), false});
    }
    double tokens[] = {0, 0};
    std::uint32_t served[] = {0, 0};
    std::vector<decision> decisions;
    while (served[0] < 500 && served[1] < 500) {
      decisions.clear();
      target.tick(now, decisions);
      const job_id id = std::get<start_job>(decisions.at(0)).id;
      tokens[jobs[id].first] += jobs[id].second;
      ++served[jobs[id].first];
      target.on_finished(now, id);
    }
    RC_ASSERT(std::abs(tokens[0] - tokens[1]) <= small + large);
  }));
}

}  // namespace
}  // namespace cuminpath::scheduling
