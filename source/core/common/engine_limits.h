// Limits of the answers of engines (design, section 11).
#pragma once

#include <cstddef>

namespace cuminpath {

// The counts and experts of a rank with 10,000 experts in each of 16 layers take less.
constexpr std::size_t k_max_engine_response_bytes = 2U << 20U;
// Answers consist of numbers, with an array for each set of layers. Other documents of that size would take
// most of the memory of a host; see parse_json().
constexpr std::size_t k_max_engine_containers_and_strings = 16'384;

}  // namespace cuminpath
