// Pool of idle connections to upstreams.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"
#include "core/proxy/upstream_connection.h"

namespace cuminpath::proxy {

// Keeps idle connections by upstream instance, so that later requests can reuse them.
class upstream_connection_pool {
public:
  // Removes and returns the most recently used idle connection; null if there is none.
  std::shared_ptr<upstream_connection> acquire(std::string_view upstream_id, time_point now);
  // Returns a connection to the pool, or closes it if it cannot be reused.
  void release(const std::shared_ptr<upstream_connection>& connection, time_point now);
  // Closes the idle connections to an upstream.
  void close_idle(std::string_view upstream_id);
  // Closes the connections whose idle timeout has passed.
  void close_expired(time_point now);
  [[nodiscard]] std::size_t idle_count() const;

private:
  struct entry {
    std::shared_ptr<upstream_connection> connection;
    time_point usable_until;
  };
  std::unordered_map<std::string, std::vector<entry>> m_idle;
};

}  // namespace cuminpath::proxy
