// Validation of addresses and log levels, shared by the settings of all roles. Private to this library.
#pragma once

#include <string>
#include <string_view>

namespace cuminpath::config {

// Returns true for a numeric IPv4 address or a bracketed IPv6 address, followed by a port. Port 0 lets the
// system choose a free port.
bool is_address(const std::string& text);
// Returns true for "http://" followed by an address as above.
bool is_http_url(const std::string& text);
bool is_log_level(std::string_view text);

}  // namespace cuminpath::config
