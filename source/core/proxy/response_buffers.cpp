#include "core/proxy/response_buffers.h"

#include <algorithm>
#include <utility>

namespace cuminpath::proxy {

void response_buffers::begin(owner_id owner, std::function<void()> give_up) {
  m_buffers[owner].give_up = std::move(give_up);
}

void response_buffers::add(owner_id owner, std::size_t bytes) {
  m_buffers.at(owner).bytes += bytes;
  m_bytes += bytes;
}

void response_buffers::release(owner_id owner) {
  if (const auto found = m_buffers.find(owner); found != m_buffers.end()) {
    m_bytes -= found->second.bytes;
    m_buffers.erase(found);
  }
}

void response_buffers::enforce_limit() {
  while (m_bytes > m_limit) {
    const auto largest = std::max_element(
        m_buffers.begin(), m_buffers.end(),
        [](const auto& left, const auto& right) { return left.second.bytes < right.second.bytes; });
    const owner_id owner = largest->first;
    const auto give_up = std::move(largest->second.give_up);
    release(owner);
    give_up();
  }
}

}  // namespace cuminpath::proxy
