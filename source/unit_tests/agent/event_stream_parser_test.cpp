#include "core/agent/event_stream_parser.h"

#include <gtest/gtest.h>

namespace cuminpath::agent {
namespace {

// Guards against events that are lost or truncated when the network splits the stream, at any byte.
TEST(event_stream_parser, reads_events_split_at_any_byte) {
  const std::string text =
      ": comment\r\ndata: {\"index\":0}\r\n\r\nevent: error\ndata:{}\n\ndata: a\ndata: b\n\n";
  for (std::size_t split = 0; split <= text.size(); ++split) {
    event_stream_parser stream;
    std::vector<stream_event> events;
    ASSERT_TRUE(stream.feed(std::string_view(text).substr(0, split), events));
    ASSERT_TRUE(stream.feed(std::string_view(text).substr(split), events));
    ASSERT_EQ(events.size(), 3U) << "split at " << split;
    EXPECT_EQ(events[0].data, "{\"index\":0}");
    EXPECT_EQ(events[1].type, "error");
    EXPECT_EQ(events[2].data, "a b");
  }
}

// Guards against an engine that exhausts the agent's memory with an event that never ends.
TEST(event_stream_parser, rejects_an_event_that_never_ends) {
  event_stream_parser stream;
  std::vector<stream_event> events;
  bool usable = true;
  for (int i = 0; i < 3000 && usable; ++i) {
    usable = stream.feed(std::string(1000, 'x'), events);
  }
  EXPECT_FALSE(usable);
}

// Guards against a run that lasts until its deadline while its engine sends nothing but comments.
TEST(event_stream_parser, rejects_a_stream_that_goes_on_without_events) {
  constexpr std::size_t k_limit = 64U << 10U;
  for (const std::string line : {":\n", "\n", "\r\n", "id: 1\n\n", "event: x\n", ": a comment\n\n"}) {
    event_stream_parser stream;
    std::vector<stream_event> events;
    // Returns how many bytes of such lines are accepted, up to `wanted`.
    const auto feed = [&](std::size_t wanted) {
      std::size_t accepted = 0;
      while (accepted < wanted && stream.feed(line, events)) {
        accepted += line.size();
      }
      return accepted;
    };
    for (int i = 0; i < 4; ++i) {
      EXPECT_GE(feed(k_limit / 2), k_limit / 2) << line;
      EXPECT_TRUE(stream.feed("\ndata: x\n\n", events)) << line;
    }
    EXPECT_LE(feed(2 * k_limit), k_limit) << line;
    EXPECT_EQ(events.size(), 4U) << line;
  }
}

// Guards against an index that is read from a nested member or a string, which would lose or repeat tokens.
TEST(token_index, reads_only_the_top_level_member) {
  EXPECT_EQ(token_index(R"({"choices":[{"index":7,"text":"\"index\":8"}],"id":"index","index" : 12})"), 12U);
  EXPECT_EQ(token_index(R"({"id":"a","index":0,"choices":[]})"), 0U);
  EXPECT_FALSE(token_index(R"({"choices":[{"index":7}]})"));
  EXPECT_FALSE(token_index(R"({"index":-1})"));
  EXPECT_FALSE(token_index(R"({"index":"1"})"));
  EXPECT_FALSE(token_index(R"({"index)"));
  EXPECT_FALSE(token_index(""));
}

}  // namespace
}  // namespace cuminpath::agent
