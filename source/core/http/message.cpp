#include "core/http/message.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace cuminpath::http {
namespace {

constexpr int k_min_status = 100;
constexpr int k_min_final_status = 200;
constexpr int k_max_status = 599;

char to_lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_digit(char c) {
  return c >= '0' && c <= '9';
}

// Returns true if the text may be part of a header value or a reason: it has no control byte but tabs.
bool is_field_text(std::string_view text) {
  constexpr unsigned char k_delete = 0x7f;
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c == '\t' || (c >= ' ' && c != k_delete); });
}

std::string_view trim(std::string_view text) {
  constexpr std::string_view k_whitespace = " \t";
  text.remove_prefix(std::min(text.find_first_not_of(k_whitespace), text.size()));
  return text.substr(0, text.find_last_not_of(k_whitespace) + 1);
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

bool is_final_status(int status) {
  return status >= k_min_final_status && status <= k_max_status;
}

bool may_have_body(int status) {
  constexpr int k_no_content = 204;
  constexpr int k_not_modified = 304;
  return status >= k_min_final_status && status != k_no_content && status != k_not_modified;
}

std::optional<int> parse_status_line(std::string_view line) {
  constexpr std::string_view k_version = "HTTP/1.";
  constexpr std::size_t k_status_begin = k_version.size() + 2;  // Behind the minor version and a space.
  constexpr std::size_t k_status_end = k_status_begin + 3;
  if (line.size() < k_status_end || !line.starts_with(k_version) || !is_digit(line[k_version.size()]) ||
      line[k_status_begin - 1] != ' ') {
    return std::nullopt;
  }
  const std::string_view digits = line.substr(k_status_begin, k_status_end - k_status_begin);
  int status = 0;
  if (!std::all_of(digits.begin(), digits.end(), is_digit)) {
    return std::nullopt;
  }
  std::from_chars(digits.data(), digits.data() + digits.size(), status);
  const std::string_view reason = line.substr(k_status_end);
  if (status < k_min_status || status > k_max_status || (!reason.empty() && reason.front() != ' ') ||
      !is_field_text(reason)) {
    return std::nullopt;
  }
  return status;
}

bool is_token(std::string_view name) {
  constexpr std::string_view k_token_punctuation = "!#$%&'*+-.^_`|~";
  return !name.empty() && std::all_of(name.begin(), name.end(), [&](char c) {
    const char lower = to_lower(c);
    return is_digit(c) || (lower >= 'a' && lower <= 'z') ||
           k_token_punctuation.find(c) != std::string_view::npos;
  });
}

std::optional<std::pair<std::string_view, std::string_view>> parse_header_line(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = trim(line.substr(colon + 1));
  return is_token(name) && is_field_text(value) ? std::optional(std::pair(name, value)) : std::nullopt;
}

bool has_valid_framing(const header_list& headers) {
  std::size_t statements = 0;
  for (const auto& [name, text] : headers) {
    const std::string_view value = trim(text);
    if (equal_ignoring_case(name, "Content-Length")) {
      std::uint64_t length = 0;
      const auto parsed = std::from_chars(value.data(), value.data() + value.size(), length);
      if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size()) {
        return false;
      }
      ++statements;
    } else if (equal_ignoring_case(name, "Transfer-Encoding")) {
      if (!equal_ignoring_case(value, "chunked")) {
        return false;
      }
      ++statements;
    }
  }
  return statements <= 1;
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
