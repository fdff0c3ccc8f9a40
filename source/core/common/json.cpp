#include "core/common/json.h"

#include <string>

namespace cuminpath {

result<json> parse_json(std::string_view text) {
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > k_max_json_depth;
    return !too_deep;
  };
  json document = json::parse(text, limit_depth, /*allow_exceptions=*/false);
  if (too_deep) {
    return make_error(error_code::invalid_input,
                      "JSON is nested deeper than " + std::to_string(k_max_json_depth) + " levels");
  }
  if (document.is_discarded()) {
    return make_error(error_code::invalid_input, "malformed JSON");
  }
  return document;
}

}  // namespace cuminpath
