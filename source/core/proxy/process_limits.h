// What callers may take up of a process, derived from the limits of the process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace cuminpath::proxy {

// Shares that are left to callers. The defaults do not limit anything.
struct process_limits {
  std::size_t caller_memory = std::numeric_limits<std::size_t>::max() / 4;       // Bytes.
  std::size_t caller_connections = std::numeric_limits<std::size_t>::max() / 4;  // Open at the same time.
  // Requests that are served at the same time. Each has a connection to an upstream.
  std::size_t served_requests = std::numeric_limits<std::size_t>::max() / 4;
};

// Derives the shares from the memory (MB) at which the process is killed and the number of descriptors that
// it may have. 0 stands for the memory of the host and the limit of the operating system.
process_limits derive_process_limits(double memory_limit_mb, std::uint32_t max_descriptors);

}  // namespace cuminpath::proxy
