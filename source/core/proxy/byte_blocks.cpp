#include "core/proxy/byte_blocks.h"

#include <algorithm>
#include <cstring>
#include <iterator>
#include <utility>

namespace cuminpath::proxy {
namespace {

// Blocks grow with the content up to a size that the allocator takes from its heap. Larger ones would cost a
// system call each.
constexpr std::size_t k_min_block_bytes = 512;
constexpr std::size_t k_max_block_bytes = 64U << 10U;

}  // namespace

void byte_blocks::append(std::string_view bytes) {
  while (!bytes.empty()) {
    if (m_blocks.empty() || m_blocks.back().size == m_blocks.back().capacity) {
      const std::size_t capacity =
          std::clamp(std::max(bytes.size(), m_size), k_min_block_bytes, k_max_block_bytes);
      // Not std::make_unique, which would write to every byte of the block.
      m_blocks.push_back({.bytes = std::unique_ptr<char[]>(new char[capacity]), .capacity = capacity});
      m_allocated += capacity;
    }
    block& last = m_blocks.back();
    const std::size_t count = std::min(bytes.size(), last.capacity - last.size);
    std::memcpy(last.bytes.get() + last.size, bytes.data(), count);
    last.size += count;
    m_size += count;
    bytes.remove_prefix(count);
  }
}

void byte_blocks::append(byte_blocks&& other) {
  m_blocks.insert(m_blocks.end(), std::make_move_iterator(other.m_blocks.begin()),
                  std::make_move_iterator(other.m_blocks.end()));
  m_size += other.m_size;
  m_allocated += other.m_allocated;
  other.clear();
}

byte_blocks byte_blocks::take_front(std::size_t max_bytes) {
  byte_blocks front;
  std::size_t count = 0;
  while (count < m_blocks.size() && (count == 0 || front.m_size + m_blocks[count].size <= max_bytes)) {
    front.m_size += m_blocks[count].size;
    front.m_allocated += m_blocks[count].capacity;
    ++count;
  }
  const auto end = m_blocks.begin() + static_cast<std::ptrdiff_t>(count);
  front.m_blocks.assign(std::make_move_iterator(m_blocks.begin()), std::make_move_iterator(end));
  m_blocks.erase(m_blocks.begin(), end);
  m_size -= front.m_size;
  m_allocated -= front.m_allocated;
  return front;
}

void byte_blocks::clear() {
  std::vector<block>().swap(m_blocks);
  m_size = m_allocated = 0;
}

std::vector<std::string_view> byte_blocks::views() const {
  std::vector<std::string_view> views;
  views.reserve(m_blocks.size());
  for (const block& each : m_blocks) {
    views.emplace_back(each.bytes.get(), each.size);
  }
  return views;
}

}  // namespace cuminpath::proxy
