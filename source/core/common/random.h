// Random source. Functions that decide take it as an argument, so that tests can seed it.
#pragma once

#include <cstdint>
#include <random>

namespace cuminpath {

using random_source = std::mt19937_64;

// Uniform index in [0, size). `size` must be at least 1.
inline std::size_t random_index(random_source& random, std::size_t size) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

}  // namespace cuminpath
