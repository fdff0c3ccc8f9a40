#include "emulator/batch.h"

#include <gtest/gtest.h>

#include "emulator/prefix_cache.h"

namespace cuminpath::emulator {
namespace {

constexpr time_point k_start{};

std::vector<emitted_token> step(batch& value, time_point now = k_start) {
  std::vector<emitted_token> tokens;
  value.step(now, tokens);
  return tokens;
}

// Guards against a resumed stream that does not continue the text of the broken stream.
TEST(batch, a_resumed_stream_continues_the_same_text) {
  batch whole(1);
  whole.add(k_start, {.prompt = "p", .first_index = 0, .end_index = 5});
  std::string text;
  for (int i = 0; i < 5; ++i) {
    text += step(whole).at(0).text;
  }
  batch resumed(1);
  resumed.add(k_start, {.prompt = "p", .first_index = 2, .end_index = 5});
  auto joined = text_before("p", 2);
  for (std::uint32_t i = 2; i < 5; ++i) {
    const auto tokens = step(resumed);
    EXPECT_EQ(tokens.at(0).index, i);
    EXPECT_EQ(tokens.at(0).last, i == 4);
    joined += tokens.at(0).text;
  }
  EXPECT_EQ(joined, text);
  EXPECT_EQ(resumed.running(), 0U);
}

// Guards against an emulated engine that ignores priorities or runs more streams than it has slots.
TEST(batch, waiting_streams_start_by_priority_when_a_slot_is_free) {
  batch value(1);
  const auto first = value.add(k_start, {.prompt = "a", .end_index = 1, .priority = 2});
  const auto low = value.add(k_start, {.prompt = "b", .end_index = 1, .priority = 2});
  const auto urgent = value.add(k_start, {.prompt = "c", .end_index = 1, .priority = 0});
  EXPECT_EQ(value.running(), 1U);
  EXPECT_EQ(value.take_started(), std::vector<stream_id>{first});
  step(value);
  EXPECT_EQ(value.take_started(), std::vector<stream_id>{urgent});
  value.remove(k_start, urgent);
  EXPECT_EQ(value.take_started(), std::vector<stream_id>{low});
}

// Guards against a first token that is emitted before the prefill has ended.
TEST(batch, the_first_token_waits_for_the_prefill) {
  batch value(2);
  value.add(k_start, {.prompt = "a", .prefill = milliseconds(30)});
  EXPECT_TRUE(step(value, k_start + milliseconds(29)).empty());
  EXPECT_EQ(step(value, k_start + milliseconds(30)).size(), 1U);
}

// Guards against cache events that are published immediately or without gaps, unlike those of a real engine.
TEST(prefix_cache, events_are_delayed_and_have_gaps_and_capacity_is_limited) {
  prefix_cache cache({.capacity = 2, .event_lag = milliseconds(100), .dropped_event_interval = 3});
  EXPECT_FALSE(cache.touch(k_start, "a"));
  EXPECT_TRUE(cache.touch(k_start, "a"));
  EXPECT_FALSE(cache.touch(k_start, "b"));
  EXPECT_FALSE(cache.touch(k_start, "c"));  // Event 3, which is not published; event 4 removes "a".
  EXPECT_TRUE(cache.events_after(k_start + milliseconds(99), 0).empty());
  const auto events = cache.events_after(k_start + milliseconds(100), 1);
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[0]["seq"], 2);
  EXPECT_EQ(events[1], json({{"seq", 4}, {"kind", "removed"}, {"prefix", prefix_of("a")}}));
  EXPECT_FALSE(cache.touch(k_start, "a"));
}

}  // namespace
}  // namespace cuminpath::emulator
