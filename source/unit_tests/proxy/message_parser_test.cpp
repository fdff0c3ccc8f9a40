#include "core/proxy/message_parser.h"

#include <gtest/gtest.h>

#include "unit_tests/support/broken_heads.h"

namespace cuminpath::proxy {
namespace {

struct parsed_message {
  message_head head;
  std::string body;
  parse_status status = parse_status::need_more;
  std::size_t consumed = 0;
};

parsed_message parse(message_parser::message_type type, std::string_view text, std::size_t piece_size,
                     parse_limits limits = {}) {
  parsed_message out;
  message_parser parser(type);
  parser.on_head = [&](message_head&& head) { out.head = std::move(head); };
  parser.on_body = [&](std::string_view bytes) { out.body.append(bytes); };
  parser.start(limits);
  while (out.consumed < text.size() && out.status == parse_status::need_more) {
    const auto result = parser.feed(text.substr(out.consumed, piece_size));
    out.status = result.status;
    out.consumed += result.consumed;
  }
  return out;
}

TEST(message_parser, stops_at_the_end_of_a_message_for_every_split) {
  constexpr std::string_view k_first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
  const std::string text = std::string(k_first) + "GET /b HTTP/1.1\r\n\r\n";
  for (std::size_t piece_size = 1; piece_size <= text.size(); ++piece_size) {
    const parsed_message out = parse(message_parser::message_type::requests, text, piece_size);
    EXPECT_EQ(out.status, parse_status::complete);
    EXPECT_EQ(out.consumed, k_first.size());
    EXPECT_EQ(out.head.target, "/a");
    EXPECT_EQ(out.body, "abc");
  }
}

TEST(message_parser, parses_chunked_responses) {
  const parsed_message out =
      parse(message_parser::message_type::responses,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nrest", 7);
  EXPECT_EQ(out.status, parse_status::complete);
  EXPECT_EQ(out.body, "abcde");
  EXPECT_TRUE(out.head.self_delimited);
  EXPECT_TRUE(out.head.keep_alive);
}

// Guards against a body of which bytes are missing: http_parser skips any two bytes behind the data of a
// chunk, and any byte behind a return.
TEST(message_parser, accepts_no_broken_chunks_for_any_split) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string_view body :
       {"3\r\nabcde0\r\n\r\n", "3\r\nabc\rx0\r\n\r\n", "3\r\nabc\n\n0\r\n\r\n", "3\rxabc\r\n0\r\n\r\n",
        "3 4\r\nabc\r\n0\r\n\r\n", "3;\nabc\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\n\rx",
        "3\r\nabc\r\n0\rx\r\n", "+3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
        "\r\n3\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n\r\n0\r\n\r\n",
        "3\r\nabc\n10\r\n0123456789abcdef\r\n0\r\n\r\n", "3\r\nabc\n10\r\n\r\n", "3\r\nabcx\n0\r\n\r\n",
        "10000000000000003\r\nabc\r\n0\r\n\r\n"}) {
    const std::string text = head + std::string(body);
    for (std::size_t piece_size = 1; piece_size <= text.size(); ++piece_size) {
      const parsed_message out = parse(message_parser::message_type::responses, text, piece_size);
      EXPECT_EQ(out.status, parse_status::malformed) << body << piece_size;
    }
  }
  for (const std::string_view body :
       {"3\r\nabc\r\n0\r\n\r\n", "3;a=b\r\nabc\r\n0;c\r\n\r\n", "3 \r\nabc\r\n0\r\nX-Y: 1\r\n\r\n",
        "0003\r\nabc\r\n00\r\n\r\n", "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"}) {
    const std::string text = head + std::string(body);
    for (std::size_t piece_size = 1; piece_size <= text.size(); ++piece_size) {
      const parsed_message out = parse(message_parser::message_type::responses, text + "next", piece_size);
      EXPECT_EQ(out.status, parse_status::complete) << body << piece_size;
      EXPECT_EQ(out.body, "abc") << body << piece_size;
      EXPECT_EQ(out.consumed, text.size()) << body << piece_size;
    }
  }
}

TEST(message_parser, a_response_without_length_ends_with_its_connection) {
  message_parser parser(message_parser::message_type::responses);
  message_head head;
  parser.on_head = [&](message_head&& received) { head = std::move(received); };
  parser.start({});
  EXPECT_EQ(parser.feed("HTTP/1.1 200 OK\r\n\r\nbytes").status, parse_status::need_more);
  EXPECT_FALSE(head.self_delimited);
  EXPECT_TRUE(parser.finish_at_eof());
}

TEST(message_parser, a_truncated_response_is_incomplete) {
  message_parser parser(message_parser::message_type::responses);
  parser.start({});
  EXPECT_EQ(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbytes").status, parse_status::need_more);
  EXPECT_FALSE(parser.finish_at_eof());
}

// Guards against a head that is reported because the byte that makes it invalid comes with the next read.
TEST(message_parser, reports_no_broken_head_for_any_split) {
  const auto expect_malformed = [](const support::broken_head& head) {
    const std::string text = std::string(head.status_line) + "\r\nX-Id: a\r\n" + std::string(head.lines) +
                             (head.states_framing ? "" : "Content-Length: 4\r\n") + "\r\nbody";
    for (std::size_t piece_size = 1; piece_size <= text.size(); ++piece_size) {
      const parsed_message out = parse(message_parser::message_type::responses, text, piece_size);
      EXPECT_EQ(out.status, parse_status::malformed) << head.name << piece_size;
      EXPECT_TRUE(out.head.headers.empty()) << head.name << piece_size;
      EXPECT_EQ(out.body, "") << head.name << piece_size;
    }
  };
  for (const auto& head : support::k_broken_header_lines) {
    expect_malformed(head);
  }
  for (const auto& head : support::k_broken_framings) {
    expect_malformed(head);
  }
  for (const auto& head : support::k_broken_status_lines) {
    if (head.name != "switch_of_protocols") {  // Skipped as an interim response.
      expect_malformed(head);
    }
  }
}

TEST(message_parser, enforces_its_limits) {
  const std::string long_head = "GET /" + std::string(500, 'x') + " HTTP/1.1\r\n\r\n";
  EXPECT_EQ(parse(message_parser::message_type::requests, long_head, 9, {.max_head_bytes = 100}).status,
            parse_status::head_too_large);
  EXPECT_EQ(parse(message_parser::message_type::requests, "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", 99,
                  {.max_body_bytes = 10})
                .status,
            parse_status::body_too_large);
  EXPECT_EQ(parse(message_parser::message_type::requests,
                  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n", 99,
                  {.max_body_bytes = 10})
                .status,
            parse_status::body_too_large);
}

}  // namespace
}  // namespace cuminpath::proxy
