// The page that explains where a gateway would place a request, and the headers that describe the request.
// Shared by the gateway and the command line.
#pragma once

#include <string_view>

namespace cuminpath::proxy {

constexpr std::string_view k_explain_path = "/explain";

constexpr std::string_view k_explain_method_header = "X-Explain-Method";
constexpr std::string_view k_explain_host_header = "X-Explain-Host";
constexpr std::string_view k_explain_target_header = "X-Explain-Path";
// The workspace of the caller, by name or by API key. A key in a query would be logged by intermediaries.
constexpr std::string_view k_explain_workspace_header = "X-Explain-Workspace";
constexpr std::string_view k_explain_key_header = "X-Explain-Key";
// Followed by the name of a header of the explained request.
constexpr std::string_view k_explain_header_prefix = "X-Explain-Header-";

}  // namespace cuminpath::proxy
