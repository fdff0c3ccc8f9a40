#include "core/proxy/message_parser.h"

#include <gtest/gtest.h>

namespace cuminpath::proxy {
namespace {

struct seen {
  message_head head;
  std::string body;
  parse_status status = parse_status::need_more;
  std::size_t consumed = 0;
};

seen parse(message_parser::side side, std::string_view text, std::size_t piece, parse_limits limits = {}) {
  seen out;
  message_parser parser(side);
  parser.on_head = [&](message_head&& head) { out.head = std::move(head); };
  parser.on_body = [&](std::string_view bytes) { out.body.append(bytes); };
  parser.start(limits);
  while (out.consumed < text.size() && out.status == parse_status::need_more) {
    const auto step = parser.feed(text.substr(out.consumed, piece));
    out.status = step.status;
    out.consumed += step.consumed;
  }
  return out;
}

TEST(message_parser, stops_at_the_end_of_a_message_whatever_the_pieces) {
  constexpr std::string_view k_first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
  const std::string text = std::string(k_first) + "GET /b HTTP/1.1\r\n\r\n";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    const seen out = parse(message_parser::side::requests, text, piece);
    EXPECT_EQ(out.status, parse_status::complete);
    EXPECT_EQ(out.consumed, k_first.size());
    EXPECT_EQ(out.head.target, "/a");
    EXPECT_EQ(out.body, "abc");
  }
}

TEST(message_parser, reads_chunked_answers) {
  const seen out =
      parse(message_parser::side::responses,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nrest", 7);
  EXPECT_EQ(out.status, parse_status::complete);
  EXPECT_EQ(out.body, "abcde");
  EXPECT_TRUE(out.head.self_delimited);
  EXPECT_TRUE(out.head.keep_alive);
}

TEST(message_parser, an_answer_without_length_ends_with_its_connection) {
  message_parser parser(message_parser::side::responses);
  message_head head;
  parser.on_head = [&](message_head&& read) { head = std::move(read); };
  parser.start({});
  EXPECT_EQ(parser.feed("HTTP/1.1 200 OK\r\n\r\nbytes").status, parse_status::need_more);
  EXPECT_FALSE(head.self_delimited);
  EXPECT_TRUE(parser.finish());
}

TEST(message_parser, an_answer_cut_before_its_length_does_not_end) {
  message_parser parser(message_parser::side::responses);
  parser.start({});
  EXPECT_EQ(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbytes").status, parse_status::need_more);
  EXPECT_FALSE(parser.finish());
}

TEST(message_parser, keeps_to_its_limits) {
  const std::string long_head = "GET /" + std::string(500, 'x') + " HTTP/1.1\r\n\r\n";
  EXPECT_EQ(parse(message_parser::side::requests, long_head, 9, {.max_head_bytes = 100}).status,
            parse_status::head_too_large);
  EXPECT_EQ(parse(message_parser::side::requests, "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", 99,
                  {.max_body_bytes = 10})
                .status,
            parse_status::body_too_large);
  EXPECT_EQ(parse(message_parser::side::requests,
                  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n", 99,
                  {.max_body_bytes = 10})
                .status,
            parse_status::body_too_large);
}

}  // namespace
}  // namespace cuminpath::proxy
