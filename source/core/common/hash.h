// Hash functions: xxHash for tables and rendezvous hashing, SHA-256 for digests and stored keys.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminpath {

// Returns the 64-bit xxHash (XXH3), which is the same in every process and on every host.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Returns the rendezvous hashing (highest random weight) weight of `candidate` for `key`.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

// Returns the SHA-256 digest as 64 lower-case hexadecimal characters.
std::string sha256_hex(std::string_view bytes);

// Returns a random 128-bit identifier from the random source of the operating system, as 32 hexadecimal
// characters.
std::string random_hex_id();

}  // namespace cuminpath
