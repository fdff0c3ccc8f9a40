#include "core/http/message.h"

#include <algorithm>

namespace cuminpath::http {
namespace {

char to_lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return to_lower(a) == to_lower(b); });
}

}  // namespace

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (equal_ignoring_case(key, name)) {
      return value;
    }
  }
  return std::nullopt;
}

std::string_view request::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::string_view request::query() const {
  const auto mark = target.find('?');
  return mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
}

}  // namespace cuminpath::http
