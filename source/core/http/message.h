// HTTP messages as plain data structures, and helpers for their headers.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminpath::http {

using header_list = std::vector<std::pair<std::string, std::string>>;

// Returns true if the strings are equal apart from the case of ASCII letters.
bool equal_ignoring_case(std::string_view left, std::string_view right);

// Orders strings by their bytes, with upper-case ASCII letters taken as lower-case ones.
bool less_ignoring_case(std::string_view left, std::string_view right);

// Returns true for a status of a final response, 200 to 599 (RFC 9110, 15).
bool is_final_status(int status);

// Returns false for a status whose responses end with their head: interim ones, 204 and 304 (RFC 9112, 6.3).
bool may_have_body(int status);

// Returns the status of an HTTP/1 status line without its line end (RFC 9112, 4); absent if the line is not
// valid. Its reason may be missing.
std::optional<int> parse_status_line(std::string_view line);

// Returns true for a valid header name (RFC 9110, 5.6.2).
bool is_token(std::string_view name);

// Returns the name and the value of a header line without its line end; absent if the line is not valid,
// which includes the continuation of the line before it (RFC 9112, 5).
std::optional<std::pair<std::string_view, std::string_view>> parse_header_line(std::string_view line);

// Returns true if the headers state at most one length, which is a number, or one transfer coding, which is
// chunked (RFC 9112, 6). Recipients differ in where they see the end of any other body.
bool has_valid_framing(const header_list& headers);

// Returns the reason phrase for a status line; "Status" for unknown status codes.
std::string_view reason_phrase(int status);

// Returns the value of the first header with that name, compared case-insensitively.
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

// Parses a Retry-After value in seconds, which may have a fraction. Absent for a date, a negative number or
// anything else; values above one day are reduced to one day.
std::optional<std::chrono::milliseconds> parse_retry_after(std::string_view value);

struct request {
  std::string method = "GET";
  std::string target = "/";  // Path and query.
  header_list headers = {};
  std::string body = {};

  [[nodiscard]] std::string_view path() const;
  [[nodiscard]] std::string_view query() const;
  [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const {
    return find_header(headers, name);
  }
};

struct response {
  int status = 200;
  header_list headers = {};
  std::string body = {};
};

}  // namespace cuminpath::http
