#include "core/http/message.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace cuminpath::http {
namespace {

char to_lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return to_lower(a) == to_lower(b); });
}

bool less_ignoring_case(std::string_view left, std::string_view right) {
  return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(),
                                      [](char a, char b) { return to_lower(a) < to_lower(b); });
}

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (equal_ignoring_case(key, name)) {
      return value;
    }
  }
  return std::nullopt;
}

std::optional<std::chrono::milliseconds> parse_retry_after(std::string_view value) {
  constexpr double k_max_seconds = 86'400;
  constexpr double k_ms_per_second = 1000;
  double seconds = 0;
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
  const bool starts_with_digit = !value.empty() && value.front() >= '0' && value.front() <= '9';
  if (!starts_with_digit || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::ceil(std::min(seconds, k_max_seconds) * k_ms_per_second)));
}

std::string_view request::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string_view request::query() const {
  const auto mark = target.find('?');
  return mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
}

}  // namespace cuminpath::http
