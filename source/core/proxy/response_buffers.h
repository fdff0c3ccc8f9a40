// Bytes of the responses that are forwarded only when complete, for all requests of a gateway. Above the
// limit, the response that holds most is given up: a response without end is among the largest, whoever
// receives the next bytes.
#pragma once

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace cuminpath::proxy {

// The smallest hosts have 112 MB for a gateway.
constexpr std::size_t k_max_buffered_response_bytes = 32U << 20U;

class response_buffers {
public:
  // `limit`: bytes of all responses together.
  explicit response_buffers(std::size_t limit) : m_limit(limit) {}
  void set_limit(std::size_t limit) { m_limit = limit; }

  using owner_id = const void*;
  // Begins the response of an owner. `give_up` ends it; it may be called by any later call of
  // enforce_limit(), until release().
  void begin(owner_id owner, std::function<void()> give_up);
  void add(owner_id owner, std::size_t bytes);
  void release(owner_id owner);

  // Gives responses up until the others are within the limit.
  void enforce_limit();

  [[nodiscard]] std::size_t bytes() const { return m_bytes; }

private:
  struct buffer {
    std::size_t bytes = 0;
    std::function<void()> give_up;
  };

  std::size_t m_limit;
  std::size_t m_bytes = 0;
  std::unordered_map<owner_id, buffer> m_buffers;
};

}  // namespace cuminpath::proxy
