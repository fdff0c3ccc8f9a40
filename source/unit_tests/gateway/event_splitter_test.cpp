#include "core/gateway/event_splitter.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminpath::gateway {
namespace {

struct taken {
  std::vector<std::string> bytes;
  std::vector<std::string> ids;
};

taken split(std::string_view text, std::size_t piece) {
  event_splitter splitter;
  taken out;
  for (std::size_t at = 0; at < text.size(); at += piece) {
    splitter.feed(text.substr(at, piece), [&](const event_splitter::event& event) {
      out.bytes.emplace_back(event.bytes);
      out.ids.emplace_back(event.id);
    });
  }
  return out;
}

TEST(event_splitter, gives_whole_events_whatever_the_pieces) {
  constexpr std::string_view k_text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\nid: 3\nda";
  for (std::size_t piece = 1; piece <= k_text.size(); ++piece) {
    const taken out = split(k_text, piece);
    EXPECT_EQ(out.bytes,
              (std::vector<std::string>{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "data: c\n\n"}));
    EXPECT_EQ(out.ids, (std::vector<std::string>{"1", "2", ""}));
  }
}

TEST(event_splitter, understands_carriage_returns) {
  const taken out = split("id:7\r\ndata: a\r\n\r\nid: 8\r\n\r\n", 5);
  EXPECT_EQ(out.ids, (std::vector<std::string>{"7", "8"}));
  EXPECT_EQ(out.bytes.front(), "id:7\r\ndata: a\r\n\r\n");
}

TEST(event_splitter, keeps_what_has_not_ended) {
  event_splitter splitter;
  splitter.feed("data: a", [](const auto&) { FAIL(); });
  EXPECT_EQ(splitter.pending(), 7U);
  splitter.reset();
  EXPECT_EQ(splitter.pending(), 0U);
}

}  // namespace
}  // namespace cuminpath::gateway
