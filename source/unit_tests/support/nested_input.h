// Deeply nested documents, as a faulty peer or another writer may send them.
#pragma once

#include <string>
#include <vector>

namespace cuminpath::support {

// Depths beyond any document of the project, up to what a row of 65,536 bytes and a datagram can hold.
constexpr std::size_t k_nesting_depths[] = {100, 10'000, 30'000, 65'536};

// Returns MessagePack documents of that depth: arrays, maps and both in turn, complete and cut off.
inline std::vector<std::string> nested_msgpack(std::size_t depth) {
  std::string arrays(depth, '\x91');
  std::string maps;
  std::string mixed;
  for (std::size_t i = 0; i < depth; ++i) {
    maps += "\x81\xa1k";
    mixed += i % 2 == 0 ? "\x91" : "\x81\xa1k";
  }
  return {arrays, maps, mixed, arrays + '\xc0', maps + '\xc0', mixed + '\xc0'};
}

// Returns JSON documents of that depth: arrays, objects and both in turn, complete and cut off.
inline std::vector<std::string> nested_json(std::size_t depth) {
  std::string objects;
  std::string mixed;
  std::string mixed_end;
  for (std::size_t i = 0; i < depth; ++i) {
    objects += R"({"k":)";
    mixed += i % 2 == 0 ? "[" : R"({"k":)";
    mixed_end += (depth - i) % 2 == 0 ? '}' : ']';
  }
  const std::string arrays(depth, '[');
  return {arrays,
          objects,
          mixed,
          arrays + "1" + std::string(depth, ']'),
          objects + "1" + std::string(depth, '}'),
          mixed + "1" + mixed_end};
}

}  // namespace cuminpath::support
