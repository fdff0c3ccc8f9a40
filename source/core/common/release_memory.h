// Frees the memory of a string at once.
#pragma once

#include <string>

namespace cuminpath {

// Neither clear() nor the assignment of an empty string does that in libstdc++.
inline void release_memory(std::string& text) {
  std::string().swap(text);
}

}  // namespace cuminpath
