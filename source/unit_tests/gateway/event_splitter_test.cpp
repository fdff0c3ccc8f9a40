#include "core/gateway/event_splitter.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminpath::gateway {
namespace {

struct split_events {
  std::vector<std::string> bytes;
  std::vector<std::string> ids;
};

split_events split(std::string_view text, std::size_t chunk_size) {
  event_splitter splitter;
  split_events out;
  for (std::size_t position = 0; position < text.size(); position += chunk_size) {
    splitter.feed(text.substr(position, chunk_size), [&](const event_splitter::event& event) {
      out.bytes.emplace_back(event.bytes);
      out.ids.emplace_back(event.id);
    });
  }
  return out;
}

TEST(event_splitter, returns_complete_events_for_any_chunk_size) {
  constexpr std::string_view k_text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\nid: 3\nda";
  for (std::size_t chunk_size = 1; chunk_size <= k_text.size(); ++chunk_size) {
    const split_events out = split(k_text, chunk_size);
    EXPECT_EQ(out.bytes,
              (std::vector<std::string>{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "data: c\n\n"}));
    EXPECT_EQ(out.ids, (std::vector<std::string>{"1", "2", ""}));
  }
}

TEST(event_splitter, accepts_carriage_returns) {
  const split_events out = split("id:7\r\ndata: a\r\n\r\nid: 8\r\n\r\n", 5);
  EXPECT_EQ(out.ids, (std::vector<std::string>{"7", "8"}));
  EXPECT_EQ(out.bytes.front(), "id:7\r\ndata: a\r\n\r\n");
}

TEST(event_splitter, tells_events_from_comments) {
  for (const auto& [text, has_data] : {std::pair("data: a\n\n", true),
                                       {"id: 1\ndata:\n\n", true},
                                       {"data\r\n\r\n", true},
                                       {"id: 1\n\n", false},
                                       {": data: a\n\n", false},
                                       {"database: a\n\n", false},
                                       {"\n\n", false}}) {
    event_splitter splitter;
    splitter.feed(text, [&, expected = has_data](const event_splitter::event& event) {
      EXPECT_EQ(event.has_data, expected) << event.bytes;
    });
  }
}

TEST(event_splitter, buffers_an_incomplete_event) {
  event_splitter splitter;
  splitter.feed("data: a", [](const auto&) { FAIL(); });
  EXPECT_EQ(splitter.pending(), 7U);
  splitter.reset();
  EXPECT_EQ(splitter.pending(), 0U);
}

// Guards against a stream that is joined with a run that begins elsewhere.
TEST(event_splitter, only_the_number_after_the_last_id_is_the_next_id) {
  EXPECT_TRUE(is_next_event_id("0", "1"));
  EXPECT_TRUE(is_next_event_id("9", "10"));
  EXPECT_TRUE(is_next_event_id("18446744073709551614", "18446744073709551615"));
  for (const auto& [last, id] : {std::pair("1", "1"),
                                 {"2", "1"},
                                 {"1", "3"},
                                 {"1", ""},
                                 {"", "1"},
                                 {"", ""},
                                 {"a", "b"},
                                 {"1", "2a"},
                                 {"1a", "2"},
                                 {"1", "+2"},
                                 {"1", "-2"},
                                 {"1", " 2"},
                                 {"1", "2 "},
                                 {"1", "2.0"},
                                 {"18446744073709551615", "0"},
                                 {"18446744073709551615", "18446744073709551616"}}) {
    EXPECT_FALSE(is_next_event_id(last, id)) << last << " " << id;
  }
}

}  // namespace
}  // namespace cuminpath::gateway
