#include "core/proxy/link_pool.h"

#include <algorithm>

namespace cuminpath::proxy {
namespace {

// Idle time after which a connection is closed, unless the upstream states a shorter one.
constexpr milliseconds k_default_idle{4000};
// An upstream may close an idle connection while a request is on its way; half of the stated time is safe.
constexpr int k_share_of_stated_idle = 2;
constexpr std::size_t k_max_idle_for_upstream = 8;

}  // namespace

std::shared_ptr<upstream_link> link_pool::take(std::string_view upstream_id, time_point now) {
  const auto found = m_idle.find(std::string(upstream_id));
  if (found == m_idle.end()) {
    return nullptr;
  }
  while (!found->second.empty()) {
    entry last = std::move(found->second.back());
    found->second.pop_back();
    last.link->on_idle_end = nullptr;
    if (last.link->reusable() && now < last.usable_until) {
      return last.link;
    }
    last.link->close();
  }
  return nullptr;
}

void link_pool::give_back(const std::shared_ptr<upstream_link>& link, time_point now) {
  if (!link->reusable()) {
    link->close();
    return;
  }
  milliseconds idle = k_default_idle;
  if (const auto stated = link->keep_alive_limit()) {
    idle = std::min(idle, milliseconds(*stated) / k_share_of_stated_idle);
  }
  auto& list = m_idle[link->upstream_id()];
  if (list.size() >= k_max_idle_for_upstream) {
    link->close();
    return;
  }
  link->on_idle_end = [this, raw = link.get()] {
    auto& links = m_idle[raw->upstream_id()];
    std::erase_if(links, [raw](const entry& value) { return value.link.get() == raw; });
  };
  list.push_back({link, now + idle});
}

void link_pool::drop(std::string_view upstream_id) {
  const auto found = m_idle.find(std::string(upstream_id));
  if (found == m_idle.end()) {
    return;
  }
  for (const entry& value : found->second) {
    value.link->on_idle_end = nullptr;
    value.link->close();
  }
  m_idle.erase(found);
}

void link_pool::sweep(time_point now) {
  for (auto& [id, list] : m_idle) {
    std::erase_if(list, [now](const entry& value) {
      if (now < value.usable_until) {
        return false;
      }
      value.link->on_idle_end = nullptr;
      value.link->close();
      return true;
    });
  }
  std::erase_if(m_idle, [](const auto& value) { return value.second.empty(); });
}

std::size_t link_pool::idle() const {
  std::size_t count = 0;
  for (const auto& [id, list] : m_idle) {
    count += list.size();
  }
  return count;
}

}  // namespace cuminpath::proxy
