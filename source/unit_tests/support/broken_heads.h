// Heads of responses that are not valid HTTP, or that leave open where the body ends.
#pragma once

#include <string_view>

namespace cuminpath::support {

struct broken_head {
  std::string_view name;  // Letters, digits and underscores.
  std::string_view status_line = "HTTP/1.1 200 OK";
  std::string_view lines = "";  // Complete header lines.
  bool states_framing = false;  // The lines say where the body ends. Otherwise, it has a Content-Length.
  bool chunked_body = false;    // The body consists of chunks.
};

constexpr broken_head k_broken_status_lines[] = {
    {.name = "status_000", .status_line = "HTTP/1.1 000 X"},
    {.name = "status_000_without_reason", .status_line = "HTTP/1.1 000"},
    {.name = "status_0", .status_line = "HTTP/1.1 0 X"},
    {.name = "status_00", .status_line = "HTTP/1.1 00 X"},
    {.name = "status_099", .status_line = "HTTP/1.1 099 X"},
    {.name = "status_20", .status_line = "HTTP/1.1 20 X"},
    {.name = "status_600", .status_line = "HTTP/1.1 600 X"},
    {.name = "status_999", .status_line = "HTTP/1.1 999 X"},
    {.name = "status_0200", .status_line = "HTTP/1.1 0200 X"},
    {.name = "status_2000", .status_line = "HTTP/1.1 2000 X"},
    {.name = "status_65736", .status_line = "HTTP/1.1 65736 X"},
    {.name = "status_word", .status_line = "HTTP/1.1 OK X"},
    {.name = "status_signed", .status_line = "HTTP/1.1 +200 X"},
    {.name = "status_none", .status_line = "HTTP/1.1 "},
    {.name = "status_behind_two_blanks", .status_line = "HTTP/1.1  200 X"},
    {.name = "status_behind_tab", .status_line = "HTTP/1.1\t200 X"},
    {.name = "status_with_blank", .status_line = "HTTP/1.1 2 00 X"},
    {.name = "control_byte_in_reason", .status_line = "HTTP/1.1 200 O\x01K"},
    {.name = "return_in_reason", .status_line = "HTTP/1.1 200 O\rK"},
    {.name = "version_2", .status_line = "HTTP/2.0 200 OK"},
    {.name = "version_0_9", .status_line = "HTTP/0.9 200 OK"},
    {.name = "version_without_minor", .status_line = "HTTP/2 200 OK"},
    {.name = "switch_of_protocols", .status_line = "HTTP/1.1 101 Switching Protocols"}};

constexpr broken_head k_broken_header_lines[] = {
    {.name = "blank_in_name", .lines = "X Y: 1\r\n"},
    {.name = "blank_behind_name", .lines = "X-Y : 1\r\n"},
    {.name = "tab_in_name", .lines = "X\tY: 1\r\n"},
    {.name = "tab_behind_name", .lines = "X-Y\t: 1\r\n"},
    {.name = "control_byte_in_name", .lines = "X\x01Y: 1\r\n"},
    {.name = "control_byte_behind_name", .lines = "X-Y\x01: 1\r\n"},
    {.name = "delete_in_name", .lines = "X\x7fY: 1\r\n"},
    {.name = "byte_above_ascii_in_name", .lines = "X\xc3\xa9Y: 1\r\n"},
    {.name = "separator_in_name", .lines = "X(Y): 1\r\n"},
    {.name = "blank_before_first_name", .status_line = "HTTP/1.1 200 OK\r\n X-Y: 1"},
    {.name = "no_name", .lines = ": 1\r\n"},
    {.name = "no_colon", .lines = "X-Y\r\n"},
    {.name = "return_in_name", .lines = "X\rY: 1\r\n"},
    {.name = "return_before_name", .lines = "\rX-Y: 1\r\n"},
    {.name = "return_before_name_behind_length",
     .lines = "Content-Length: 5\r\n\rX-Y: 1\r\n",
     .states_framing = true},
    {.name = "return_before_name_without_length", .lines = "\rX-Y: 1\r\n", .states_framing = true},
    {.name = "control_byte_in_value", .lines = "X-Y: 1\x01\r\n"},
    {.name = "return_in_value", .lines = "X-Y: 1\r2\r\n"},
    {.name = "length_behind_blank", .lines = "Content-Length : 5\r\n", .states_framing = true},
    {.name = "length_behind_control_byte", .lines = "Content-Length\x01: 5\r\n", .states_framing = true},
    {.name = "chunks_behind_blank",
     .lines = "Transfer-Encoding : chunked\r\n",
     .states_framing = true,
     .chunked_body = true}};

constexpr broken_head k_broken_framings[] = {
    {.name = "two_lengths", .lines = "Content-Length: 5\r\nContent-Length: 14\r\n", .states_framing = true},
    {.name = "length_and_chunks",
     .lines = "Content-Length: 14\r\nTransfer-Encoding: chunked\r\n",
     .states_framing = true,
     .chunked_body = true},
    {.name = "length_word", .lines = "Content-Length: x\r\n", .states_framing = true},
    {.name = "length_negative", .lines = "Content-Length: -5\r\n", .states_framing = true},
    {.name = "length_signed", .lines = "Content-Length: +5\r\n", .states_framing = true},
    {.name = "length_empty", .lines = "Content-Length:\r\n", .states_framing = true},
    {.name = "length_with_unit", .lines = "Content-Length: 5b\r\n", .states_framing = true},
    {.name = "length_of_two_numbers", .lines = "Content-Length: 5 14\r\n", .states_framing = true},
    {.name = "length_list", .lines = "Content-Length: 5, 14\r\n", .states_framing = true},
    {.name = "length_too_large", .lines = "Content-Length: 99999999999999999999\r\n", .states_framing = true},
    {.name = "length_in_two_lines", .lines = "Content-Length: 1\r\n 4\r\n", .states_framing = true},
    {.name = "coding_gzip", .lines = "Transfer-Encoding: gzip\r\n", .states_framing = true},
    {.name = "coding_unknown", .lines = "Transfer-Encoding: xchunked\r\n", .states_framing = true},
    {.name = "coding_identity", .lines = "Transfer-Encoding: identity\r\n", .states_framing = true},
    {.name = "coding_empty", .lines = "Transfer-Encoding:\r\n", .states_framing = true},
    {.name = "coding_gzip_and_chunked",
     .lines = "Transfer-Encoding: gzip, chunked\r\n",
     .states_framing = true,
     .chunked_body = true},
    {.name = "coding_chunked_and_gzip",
     .lines = "Transfer-Encoding: chunked, gzip\r\n",
     .states_framing = true,
     .chunked_body = true},
    {.name = "coding_chunked_twice",
     .lines = "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
     .states_framing = true,
     .chunked_body = true},
    {.name = "codings_in_two_lines",
     .lines = "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
     .states_framing = true,
     .chunked_body = true}};

}  // namespace cuminpath::support
