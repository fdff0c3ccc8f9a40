#include "core/gateway/prompt_parts.h"

#include <algorithm>

namespace cuminpath::gateway {
namespace {

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  return first == std::string_view::npos ? std::string_view()
                                         : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

std::vector<std::string_view> shared_prompt_parts(std::string_view header) {
  std::vector<std::string_view> ids;
  for (auto comma = header.find(',');
       comma != std::string_view::npos && ids.size() < k_max_shared_prompt_parts; comma = header.find(',')) {
    const auto id = trim(header.substr(0, std::min(comma, header.find(':'))));
    if (!id.empty()) {
      ids.push_back(id);
    }
    header.remove_prefix(comma + 1);
  }
  return ids;
}

}  // namespace cuminpath::gateway
