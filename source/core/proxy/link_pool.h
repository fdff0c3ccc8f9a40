// Idle connections to upstreams, by instance.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"
#include "core/proxy/upstream_link.h"

namespace cuminpath::proxy {

class link_pool {
public:
  // Takes the idle connection that was used last; null if there is none.
  std::shared_ptr<upstream_link> take(std::string_view upstream_id, time_point now);
  // Keeps a connection for later requests if it can be reused.
  void give_back(const std::shared_ptr<upstream_link>& link, time_point now);
  // Closes the connections to an upstream that is gone.
  void drop(std::string_view upstream_id);
  // Closes connections that have been idle for too long.
  void sweep(time_point now);
  [[nodiscard]] std::size_t idle() const;

private:
  struct entry {
    std::shared_ptr<upstream_link> link;
    time_point usable_until;
  };
  std::unordered_map<std::string, std::vector<entry>> m_idle;
};

}  // namespace cuminpath::proxy
