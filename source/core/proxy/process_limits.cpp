#include "core/proxy/process_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace cuminpath::proxy {
namespace {

constexpr double k_bytes_per_mb = 1024.0 * 1024.0;
// A gateway without callers has 16 to 20 MB resident, 28 MB with tables of 12,000 upstreams. A quarter of the
// limit is left for what the allocator cannot use again at once. With 112 MB, 56 MB remain.
constexpr double k_process_mb = 28;
constexpr double k_share_of_memory = 0.75;
// Share of a process whose limit leaves nothing else: it serves small requests at least.
constexpr double k_min_share_of_memory = 0.125;
// Together with the connections to upstreams and about 25 descriptors of the process itself, callers stay
// under nine tenths of all.
constexpr double k_share_of_connections = 0.4;
constexpr double k_share_of_served_requests = 0.25;

double host_memory_mb() {
  return static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) /
         k_bytes_per_mb;
}

std::size_t descriptor_limit() {
  rlimit current{};
  return ::getrlimit(RLIMIT_NOFILE, &current) == 0 ? static_cast<std::size_t>(current.rlim_cur)
                                                   : std::numeric_limits<std::uint32_t>::max();
}

std::size_t share(double share, std::size_t whole) {
  return static_cast<std::size_t>(share * static_cast<double>(whole));
}

}  // namespace

process_limits derive_process_limits(double memory_limit_mb, std::uint32_t max_descriptors) {
  const double memory_mb = memory_limit_mb > 0 ? memory_limit_mb : host_memory_mb();
  const double caller_mb =
      std::max(k_share_of_memory * memory_mb - k_process_mb, k_min_share_of_memory * memory_mb);
  const std::size_t descriptors =
      max_descriptors > 0 ? std::min<std::size_t>(max_descriptors, descriptor_limit()) : descriptor_limit();
  return {.caller_memory = static_cast<std::size_t>(caller_mb * k_bytes_per_mb),
          .caller_connections = share(k_share_of_connections, descriptors),
          .served_requests = share(k_share_of_served_requests, descriptors)};
}

}  // namespace cuminpath::proxy
