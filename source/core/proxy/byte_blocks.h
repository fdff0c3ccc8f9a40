// Bytes in blocks that are allocated as the bytes arrive.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cuminpath::proxy {

// A sequence of bytes that only grows at its end. Unlike a std::string it never copies what it has, never
// allocates more than one block ahead, and can be written to a socket as it is.
class byte_blocks {
public:
  byte_blocks() = default;
  explicit byte_blocks(std::string_view bytes) { append(bytes); }

  void append(std::string_view bytes);
  // Takes over the blocks of `other`.
  void append(byte_blocks&& other);
  // Removes and returns whole blocks from the front: at least one, and more as long as they have no more than
  // `max_bytes` together.
  byte_blocks take_front(std::size_t max_bytes);
  void clear();

  [[nodiscard]] std::size_t size() const { return m_size; }
  [[nodiscard]] bool empty() const { return m_size == 0; }
  // Returns the allocated bytes, including those without content.
  [[nodiscard]] std::size_t allocated_bytes() const { return m_allocated; }
  [[nodiscard]] std::vector<std::string_view> views() const;

private:
  struct block {
    std::unique_ptr<char[]> bytes;
    std::size_t size = 0;
    std::size_t capacity = 0;
  };
  std::vector<block> m_blocks;
  std::size_t m_size = 0;
  std::size_t m_allocated = 0;
};

}  // namespace cuminpath::proxy
