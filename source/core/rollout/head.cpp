// The head row of the store: its format, and the selection of the entries that read it.
#include <algorithm>

#include "core/common/hash.h"
#include "core/config/manifest_parser.h"
#include "core/rollout/rollout.h"

namespace cuminpath::rollout {
namespace {

// Per availability zone. With three store readers, the zone receives new versions without delay even if two
// of them fail within a second.
constexpr std::size_t k_max_store_readers = 3;

}  // namespace

result<head> parse_head(const json& row_value) {
  const auto member_or_null = [&row_value](const char* name) {
    const auto found = row_value.is_object() ? row_value.find(name) : row_value.end();
    return row_value.is_object() && found != row_value.end() ? *found : json();
  };
  const json version = member_or_null("version");
  const json index = member_or_null("index");
  if (!version.is_number_integer() || version.get<std::int64_t>() <= 0 || !index.is_string() ||
      !config::is_sha256(index.get_ref<const std::string&>())) {
    return make_error(error_code::invalid_input, "malformed head row");
  }
  return head{configuration_version{version.get<std::uint64_t>()}, index.get<std::string>()};
}

std::vector<std::string> select_store_readers(std::string_view availability_zone,
                                              std::span<const std::string> entry_names) {
  const std::string key = "configuration-head/" + std::string(availability_zone);
  std::vector<std::pair<std::uint64_t, std::string>> by_weight;
  by_weight.reserve(entry_names.size());
  for (const std::string& name : entry_names) {
    by_weight.emplace_back(rendezvous_weight(key, name), name);
  }
  std::sort(by_weight.begin(), by_weight.end(), std::greater<>());
  by_weight.erase(std::unique(by_weight.begin(), by_weight.end()), by_weight.end());
  std::vector<std::string> selected;
  for (std::size_t i = 0; i < std::min(k_max_store_readers, by_weight.size()); ++i) {
    selected.push_back(std::move(by_weight[i].second));
  }
  return selected;
}

}  // namespace cuminpath::rollout
