// JSON parsing for untrusted input.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "core/common/error.h"

namespace cuminpath {

using json = nlohmann::json;

// Deeper input is refused because serializing and visiting a document recurse once per level.
constexpr int k_max_json_depth = 64;

// Parses a complete document. Errors: invalid_input for malformed or too deeply nested text.
result<json> parse_json(std::string_view text);

// Decodes a complete MessagePack document. Errors: as for parse_json().
result<json> parse_msgpack(std::string_view bytes);

}  // namespace cuminpath
