// Random source. Functions that make decisions receive it as an argument, so that tests can seed it.
#pragma once

#include <cstdint>
#include <random>

namespace cuminpath {

using random_source = std::mt19937_64;

// Returns a uniformly distributed index in [0, size). `size` must be at least 1.
inline std::size_t random_index(random_source& random, std::size_t size) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

}  // namespace cuminpath
