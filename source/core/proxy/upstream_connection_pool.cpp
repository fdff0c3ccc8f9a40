#include "core/proxy/upstream_connection_pool.h"

#include <algorithm>

namespace cuminpath::proxy {
namespace {

// Idle time after which a connection is closed, unless the upstream advertises a shorter one.
constexpr milliseconds k_default_idle_timeout{4000};
// An upstream may close an idle connection while a request is in transit; half of the advertised time leaves
// a margin for that.
constexpr int k_idle_timeout_divisor = 2;
constexpr std::size_t k_max_idle_per_upstream = 8;

}  // namespace

std::shared_ptr<upstream_connection> upstream_connection_pool::acquire(std::string_view upstream_id,
                                                                       time_point now) {
  const auto found = m_idle.find(std::string(upstream_id));
  if (found == m_idle.end()) {
    return nullptr;
  }
  while (!found->second.empty()) {
    entry last = std::move(found->second.back());
    found->second.pop_back();
    last.connection->on_idle_close = nullptr;
    if (last.connection->reusable() && now < last.usable_until) {
      return last.connection;
    }
    last.connection->close();
  }
  return nullptr;
}

void upstream_connection_pool::release(const std::shared_ptr<upstream_connection>& connection,
                                       time_point now) {
  if (!connection->reusable()) {
    connection->close();
    return;
  }
  milliseconds idle_timeout = k_default_idle_timeout;
  if (const auto advertised = connection->advertised_idle_timeout()) {
    idle_timeout = std::min(idle_timeout, milliseconds(*advertised) / k_idle_timeout_divisor);
  }
  auto& list = m_idle[connection->upstream_id()];
  if (list.size() >= k_max_idle_per_upstream) {
    connection->close();
    return;
  }
  connection->on_idle_close = [this, raw = connection.get()] {
    auto& connections = m_idle[raw->upstream_id()];
    std::erase_if(connections, [raw](const entry& value) { return value.connection.get() == raw; });
  };
  list.push_back({connection, now + idle_timeout});
}

void upstream_connection_pool::close_idle(std::string_view upstream_id) {
  const auto found = m_idle.find(std::string(upstream_id));
  if (found == m_idle.end()) {
    return;
  }
  for (const entry& value : found->second) {
    value.connection->on_idle_close = nullptr;
    value.connection->close();
  }
  m_idle.erase(found);
}

void upstream_connection_pool::close_expired(time_point now) {
  for (auto& [id, list] : m_idle) {
    std::erase_if(list, [now](const entry& value) {
      if (now < value.usable_until) {
        return false;
      }
      value.connection->on_idle_close = nullptr;
      value.connection->close();
      return true;
    });
  }
  std::erase_if(m_idle, [](const auto& value) { return value.second.empty(); });
}

std::size_t upstream_connection_pool::idle_count() const {
  std::size_t count = 0;
  for (const auto& [id, list] : m_idle) {
    count += list.size();
  }
  return count;
}

}  // namespace cuminpath::proxy
