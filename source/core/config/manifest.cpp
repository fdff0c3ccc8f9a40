#include "core/config/manifest.h"

#include <algorithm>

namespace cuminpath::config {

bool may_repeat(const service& value, std::string_view method, std::string_view path) {
  const auto rule = std::find_if(value.rules.begin(), value.rules.end(), [&](const service_rule& candidate) {
    return (candidate.method == "*" || candidate.method == method) && path.starts_with(candidate.path_prefix);
  });
  if (rule != value.rules.end()) {
    return rule->repeatable;
  }
  return method == "GET" || method == "HEAD";
}

}  // namespace cuminpath::config
