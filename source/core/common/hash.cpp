#include "core/common/hash.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>

#include "core/common/assert.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cuminpath {
namespace {

std::string to_hex(const unsigned char* data, std::size_t size) {
  constexpr char k_digits[] = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(k_digits[data[i] >> 4U]);
    text.push_back(k_digits[data[i] & 15U]);
  }
  return text;
}

}  // namespace

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
  return hash64(candidate, hash64(key));
}

std::string sha256_hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  CUMINPATH_ASSERT(EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) == 1);
  return to_hex(digest.data(), size);
}

std::string random_hex_id() {
  std::array<unsigned char, 16> bytes{};
  CUMINPATH_ASSERT(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1);
  return to_hex(bytes.data(), bytes.size());
}

}  // namespace cuminpath
