// Checks of addresses and log levels that several kinds of settings share. Private to this library.
#pragma once

#include <string>
#include <string_view>

namespace cuminpath::config {

// True for a numeric IPv4 address or a bracketed IPv6 address with a port. Port 0 takes a free one.
bool is_address(const std::string& text);
// True for http:// and an address.
bool is_url(const std::string& text);
bool is_log_level(std::string_view text);

}  // namespace cuminpath::config
