// HTTP messages as plain data.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cuminpath::http {

using header_list = std::vector<std::pair<std::string, std::string>>;

bool equal_ignoring_case(std::string_view left, std::string_view right);

// Reason phrase of a status line; "Status" for a status that is not known here.
std::string_view reason_phrase(int status);

// Value of the first header of that name, compared without regard to case.
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

// Value of a Retry-After header in seconds, fractions included. Absent for a date, a negative number or
// anything else; figures beyond a day count as one.
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
