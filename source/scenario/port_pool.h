// Ports for programs that are given their addresses before they start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cuminpath::scenario {

// Hands out TCP and UDP ports that are free and that no other pool on this machine has handed out. They stay
// reserved for the life of the pool.
class port_pool {
public:
  port_pool() = default;
  ~port_pool();
  port_pool(const port_pool&) = delete;
  port_pool& operator=(const port_pool&) = delete;

  std::uint16_t take();

private:
  std::vector<int> m_reservations;  // Sockets whose names other pools cannot take.
};

}  // namespace cuminpath::scenario
