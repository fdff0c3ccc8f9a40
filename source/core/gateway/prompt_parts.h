// The parts of a request's prompt that other requests may share, as listed in a request header.
#pragma once

#include <string_view>
#include <vector>

namespace cuminpath::gateway {

// More shared parts than this are ignored.
constexpr std::size_t k_max_shared_prompt_parts = 16;

// Parses a list of ID:TOKENS entries separated by commas and returns the ids without the last one, which
// belongs to the request itself. Entries without an id are skipped. The views point into `header`.
std::vector<std::string_view> shared_prompt_parts(std::string_view header);

}  // namespace cuminpath::gateway
