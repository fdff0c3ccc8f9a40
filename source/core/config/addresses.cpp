#include "core/config/addresses.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace cuminpath::config {
namespace {

constexpr std::array<std::string_view, 5> k_log_levels{"trace", "debug", "info", "warning", "error"};

}  // namespace

bool is_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return false;
  }
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  const std::string ip = text.substr(0, colon);
  if (ip.starts_with('[') && ip.ends_with(']')) {
    return inet_pton(AF_INET6, ip.substr(1, ip.size() - 2).c_str(), bytes.data()) == 1;
  }
  return inet_pton(AF_INET, ip.c_str(), bytes.data()) == 1;
}

bool is_http_url(const std::string& text) {
  constexpr std::string_view k_scheme = "http://";
  return text.starts_with(k_scheme) && is_address(text.substr(k_scheme.size()));
}

bool is_log_level(std::string_view text) {
  return std::find(k_log_levels.begin(), k_log_levels.end(), text) != k_log_levels.end();
}

}  // namespace cuminpath::config
