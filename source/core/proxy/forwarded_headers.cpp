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

// Whether the Connection header lists `name` as hop-by-hop.
bool named_by_connection(const http::header_list& headers, std::string_view name) {
  for (const auto& [field, value] : headers) {
    if (!http::equal_ignoring_case(field, "Connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      std::string_view token = rest.substr(0, comma);
      rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
      while (token.starts_with(' ')) {
        token.remove_prefix(1);
      }
      while (token.ends_with(' ')) {
        token.remove_suffix(1);
      }
      if (http::equal_ignoring_case(token, name)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

http::header_list end_to_end_headers(const http::header_list& headers) {
  http::header_list kept;
  for (const auto& header : headers) {
    if (!is_hop_header(header.first) && !named_by_connection(headers, header.first)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace cuminpath::proxy
