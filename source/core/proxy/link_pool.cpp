#include "core/proxy/link_pool.h"

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

std::shared_ptr<upstream_link> link_pool::acquire(std::string_view upstream_id, time_point now) {
  const auto found = m_idle.find(std::string(upstream_id));
  if (found == m_idle.end()) {
    return nullptr;
  }
  while (!found->second.empty()) {
    entry last = std::move(found->second.back());
    found->second.pop_back();
    last.link->on_idle_close = nullptr;
    if (last.link->reusable() && now < last.usable_until) {
      return last.link;
    }
    last.link->close();
  }
  return nullptr;
}

void link_pool::release(const std::shared_ptr<upstream_link>& link, time_point now) {
  if (!link->reusable()) {
    link->close();
    return;
  }
  milliseconds idle_timeout = k_default_idle_timeout;
  if (const auto advertised = link->advertised_idle_timeout()) {
    idle_timeout = std::min(idle_timeout, milliseconds(*advertised) / k_idle_timeout_divisor);
  }
  auto& list = m_idle[link->upstream_id()];
  if (list.size() >= k_max_idle_per_upstream) {
    link->close();
    return;
  }
  link->on_idle_close = [this, raw = link.get()] {
    auto& links = m_idle[raw->upstream_id()];
    std::erase_if(links, [raw](const entry& value) { return value.link.get() == raw; });
  };
  list.push_back({link, now + idle_timeout});
}

void link_pool::close_idle(std::string_view upstream_id) {
  const auto found = m_idle.find(std::string(upstream_id));
  if (found == m_idle.end()) {
    return;
  }
  for (const entry& value : found->second) {
    value.link->on_idle_close = nullptr;
    value.link->close();
  }
  m_idle.erase(found);
}

void link_pool::close_expired(time_point now) {
  for (auto& [id, list] : m_idle) {
    std::erase_if(list, [now](const entry& value) {
      if (now < value.usable_until) {
        return false;
      }
      value.link->on_idle_close = nullptr;
      value.link->close();
      return true;
    });
  }
  std::erase_if(m_idle, [](const auto& value) { return value.second.empty(); });
}

std::size_t link_pool::idle_count() const {
  std::size_t count = 0;
  for (const auto& [id, list] : m_idle) {
    count += list.size();
  }
  return count;
}

}  // namespace cuminpath::proxy
