// Allocation of ports for programs whose addresses are chosen before they start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cuminpath::scenario {

// Reserves ports that are free for TCP and UDP and that no other pool on the same host has reserved. They
// stay reserved for the lifetime of the pool.
class port_pool {
public:
  port_pool() = default;
  ~port_pool();
  port_pool(const port_pool&) = delete;
  port_pool& operator=(const port_pool&) = delete;

  // Reserves a port and returns it.
  std::uint16_t reserve();

private:
  std::vector<int> m_reservations;  // Sockets bound to the reserved names.
};

}  // namespace cuminpath::scenario
