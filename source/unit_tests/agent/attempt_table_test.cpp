#include "core/agent/attempt_table.h"

#include <gtest/gtest.h>

namespace cuminpath::agent {
namespace {

wire::submit_request request(std::string id, bool repeatable) {
  wire::submit_request value;
  value.request_id = std::move(id);
  value.attempt = attempt_number{1};
  value.repeatable = repeatable;
  return value;
}

// Adds an attempt, runs it once and ends it as finished.
void run_to_end(attempt_table& table, time_point now, const std::string& id, bool repeatable,
                std::string_view body) {
  auto& value = table.add(now, "entry", request(id, repeatable));
  value.phase = attempt_phase::queued;
  table.begin_run(value);
  table.append_response(value, body);
  table.end(now, value, ended_state::finished);
}

// Guards against memory use that grows with the number of requests served since the start.
TEST(attempt_table, limits_the_age_and_number_of_ended_attempts) {
  attempt_table table({.max_ended = 100});
  const auto now = time_point() + seconds(1);
  for (int i = 0; i < 500; ++i) {
    run_to_end(table, now, "r" + std::to_string(i), true, "");
  }
  EXPECT_EQ(table.ended_size(), 100U);
  run_to_end(table, now, "booking", false, "kept");
  table.expire(now + std::chrono::minutes(10));
  EXPECT_EQ(table.ended_size(), 0U);
  EXPECT_TRUE(table.has_unrepeatable_capacity());
}

// Guards against stored responses that exhaust the memory, and against a dropped response that is reported as
// an empty one.
TEST(attempt_table, drops_the_oldest_responses_and_reports_them_as_failed) {
  attempt_table table({.max_total_response_bytes = 1000});
  const auto now = time_point() + seconds(1);
  run_to_end(table, now, "old", false, std::string(600, 'a'));
  run_to_end(table, now, "new", false, std::string(600, 'b'));
  EXPECT_EQ(table.find_ended("old", attempt_number{1})->state, ended_state::failed);
  EXPECT_EQ(table.find_ended("new", attempt_number{1})->state, ended_state::finished);
  table.expire(now + std::chrono::hours(1));
  run_to_end(table, now, "later", false, std::string(900, 'c'));
  EXPECT_EQ(table.find_ended("later", attempt_number{1})->state, ended_state::finished);
}

// Guards against a host without memory while several calls of a faulty service respond without end.
TEST(attempt_table, limits_the_responses_of_calls_in_progress_together) {
  constexpr std::size_t k_limit = 1000;
  attempt_table table({.max_response_bytes = 800, .max_total_response_bytes = k_limit});
  const auto now = time_point() + seconds(1);
  std::vector<attempt*> running;
  for (const char* id : {"a", "b", "c"}) {
    running.push_back(&table.add(now, "entry", request(id, false)));
    running.back()->phase = attempt_phase::queued;
    table.begin_run(*running.back());
  }
  for (int i = 0; i < 100; ++i) {
    std::size_t held = 0;
    for (attempt* value : running) {
      table.append_response(*value, std::string(10, 'x'));
      held += value->body.capacity();
    }
    ASSERT_LE(held, k_limit);
  }
  for (attempt* value : running) {
    EXPECT_TRUE(value->response_too_large);
    table.end(now, *value, ended_state::finished);
  }
  EXPECT_EQ(table.find_ended("a", attempt_number{1})->state, ended_state::failed);
  run_to_end(table, now, "later", false, std::string(800, 'b'));
  EXPECT_EQ(table.find_ended("later", attempt_number{1})->state, ended_state::finished);
}

// Guards against false negatives and against a high rate of false positives.
TEST(bloom_filter, has_no_false_negatives_and_few_false_positives) {
  constexpr std::uint64_t k_members = 200000;
  constexpr std::uint64_t k_step = 0x9E3779B97F4A7C15;  // Distributes the numbers over 64 bits.
  bloom_filter filter;
  for (std::uint64_t i = 1; i <= k_members; ++i) {
    filter.add(i * k_step);
  }
  std::uint64_t wrong = 0;
  for (std::uint64_t i = 1; i <= k_members; ++i) {
    ASSERT_TRUE(filter.contains(i * k_step));
    wrong += filter.contains((i + k_members) * k_step) ? 1 : 0;
  }
  EXPECT_LT(wrong, k_members / 100);
}

}  // namespace
}  // namespace cuminpath::agent
