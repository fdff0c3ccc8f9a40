#include "core/gateway/event_splitter.h"

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <vector>

#include "unit_tests/support/property.h"

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

TEST(event_splitter, empty_lines_are_part_of_the_event_after_them) {
  constexpr std::string_view k_text = "\n\r\n\nid: 1\ndata: a\n\n\r\n\nid: 2\n\n\n";
  for (std::size_t chunk_size = 1; chunk_size <= k_text.size(); ++chunk_size) {
    const split_events out = split(k_text, chunk_size);
    EXPECT_EQ(out.bytes, (std::vector<std::string>{"\n\r\n\nid: 1\ndata: a\n\n", "\r\n\nid: 2\n\n"}));
    EXPECT_EQ(out.ids, (std::vector<std::string>{"1", "2"}));
  }
}

TEST(event_splitter, only_more_than_empty_lines_are_an_incomplete_event) {
  event_splitter splitter;
  for (const std::string_view empty_lines : {"", "\n", "data: a\n\n", "\n\r\n"}) {
    splitter.feed(empty_lines, [](const auto&) {});
    EXPECT_FALSE(splitter.inside_event()) << empty_lines;
  }
  EXPECT_EQ(splitter.pending(), "\n\r\n");
  for (const std::string_view line : {"\r", "a", "\n"}) {
    splitter.feed(line, [](const auto&) {});
    EXPECT_TRUE(splitter.inside_event()) << line;
  }
}

// Any text in reads of any size comes out whole, and its events do not depend on the size of the reads.
TEST(event_splitter, loses_no_byte_and_finds_the_same_events_in_reads_of_any_size) {
  EXPECT_TRUE(support::check_property(500, [](std::uint64_t seed) {
    constexpr std::array<std::string_view, 9> k_parts{
        "\n", "\r\n", "\r", "id: 7", "id:", "data: x", "data", ": id:", "\n\n"};
    std::mt19937_64 random(seed);
    std::string text;
    while (text.size() < 200) {
      text += k_parts.at(random() % k_parts.size());
    }
    const auto run = [&](const std::function<std::size_t()>& next_size) {
      event_splitter splitter;
      std::string forwarded;
      std::vector<std::pair<std::string, std::string>> events;
      for (std::size_t position = 0; position < text.size();) {
        const std::string_view read = std::string_view(text).substr(position, next_size());
        splitter.feed(read, [&](const event_splitter::event& event) {
          forwarded += event.bytes;
          events.emplace_back(event.id, event.bytes);
        });
        position += read.size();
        RC_ASSERT(forwarded.size() + splitter.pending().size() == position);
        RC_ASSERT(text.starts_with(forwarded));
      }
      return events;
    };
    RC_ASSERT(run([&] { return text.size(); }) == run([&] { return 1 + random() % 9; }));
  }));
}

// Guards against a stall of the gateway: one read of 32 KB of empty lines took seconds.
TEST(event_splitter, the_work_for_each_byte_is_bounded_whatever_arrives) {
  constexpr std::size_t k_total_bytes = 128U << 10U;
  constexpr std::size_t k_max_work_per_byte = 3;  // Examined once, copied twice.
  for (const std::string_view unit : {"\n", "\r\n", "\r", "\n\r", "x", ":\n\n", ":\r\n\r\n", ":\n", "\n\r\n",
                                      "id:1\n\n", "data\n\n", "id:1\n", "data: x\n", "id: 1\ndata: x\n\n"}) {
    std::string text;
    while (text.size() < k_total_bytes) {
      text += unit;
    }
    for (const std::size_t read_size : {1U, 2U, 61U, 4096U, 32768U}) {
      event_splitter splitter;
      for (std::size_t position = 0; position < text.size(); position += read_size) {
        splitter.feed(std::string_view(text).substr(position, read_size), [](const auto&) {});
      }
      EXPECT_LE(splitter.work(), k_max_work_per_byte * text.size())
          << testing::PrintToString(unit) << " in reads of " << read_size;
    }
  }
}

TEST(event_splitter, buffers_an_incomplete_event) {
  event_splitter splitter;
  splitter.feed("data: a", [](const auto&) { FAIL(); });
  EXPECT_EQ(splitter.pending(), "data: a");
  splitter.reset();
  EXPECT_EQ(splitter.pending(), "");
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
