#include "core/proxy/forwarded_headers.h"

#include <algorithm>
#include <array>

namespace cuminpath::proxy {
namespace {

// Whether a header is hop-by-hop (RFC 9110, 7.6.1) or set by the sender of each message itself.
bool is_hop_header(std::string_view name) {
  constexpr std::array<std::string_view, 10> k_names{
      "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "TE",
      "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",     "Expect"};
  return std::any_of(k_names.begin(), k_names.end(),
                     [&](std::string_view hop) { return http::equal_ignoring_case(hop, name); });
}

// Returns the names that the Connection headers list as hop-by-hop, in the order of less_ignoring_case().
std::vector<std::string_view> connection_options(const http::header_list& headers) {
  std::vector<std::string_view> options;
  for (const auto& [field, value] : headers) {
    if (!http::equal_ignoring_case(field, "Connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      std::string_view option = rest.substr(0, comma);
      rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
      option.remove_prefix(std::min(option.find_first_not_of(' '), option.size()));
      option.remove_suffix(option.size() - (option.find_last_not_of(' ') + 1));
      options.push_back(option);
    }
  }
  std::sort(options.begin(), options.end(), http::less_ignoring_case);
  return options;
}

}  // namespace

http::header_list end_to_end_headers(const http::header_list& headers) {
  // Sorted once: a head can have thousands of headers and options.
  const std::vector<std::string_view> options = connection_options(headers);
  http::header_list kept;
  for (const auto& header : headers) {
    if (!is_hop_header(header.first) &&
        !std::binary_search(options.begin(), options.end(), header.first, http::less_ignoring_case)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace cuminpath::proxy
