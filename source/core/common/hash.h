// Hash functions: xxHash for tables and rendezvous hashing, SHA-256 for digests and stored keys.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminpath {

// 64-bit xxHash (XXH3). The same on every process and machine.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Rendezvous (highest random weight) weight of `candidate` for `key`.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

// Lower-case hexadecimal SHA-256 digest (64 characters).
std::string sha256_hex(std::string_view bytes);

// A random 128-bit identifier from the operating system's source, as 32 hexadecimal characters.
std::string random_hex_id();

}  // namespace cuminpath
