// Parsing of JSON and MessagePack for untrusted input.
#pragma once

#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>

#include "core/common/error.h"

namespace cuminpath {

using json = nlohmann::json;

// Deeper input is refused because parsing MessagePack, and serializing and visiting a document, recurse once
// per level.
constexpr int k_max_json_depth = 64;

// Parse a complete document. Errors: invalid_input for malformed or too deeply nested input.
//
// A number takes 16 bytes in memory; objects, arrays and strings of two bytes of text take 48 to 96.
// Documents that consist of numbers can limit how many of these they have, which is an error of the same
// kind.
result<json> parse_json(std::string_view text,
                        std::size_t max_containers_and_strings = std::numeric_limits<std::size_t>::max());
result<json> parse_msgpack(std::string_view bytes);

}  // namespace cuminpath
