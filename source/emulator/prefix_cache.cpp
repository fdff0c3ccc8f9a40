#include "emulator/prefix_cache.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/common/hash.h"

namespace cuminpath::emulator {
namespace {

constexpr std::size_t k_prefix_bytes = 256;
constexpr std::size_t k_max_kept_events = 1000;

}  // namespace

std::string prefix_of(std::string_view prompt) {
  return fmt::format("{:016x}", hash64(prompt.substr(0, k_prefix_bytes)));
}

bool prefix_cache::touch(time_point now, std::string_view prompt) {
  const auto prefix = prefix_of(prompt);
  const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
  if (found != m_prefixes.end()) {
    m_prefixes.splice(m_prefixes.begin(), m_prefixes, found);
    return true;
  }
  m_prefixes.push_front(prefix);
  publish(now, "stored", prefix);
  if (m_prefixes.size() > m_options.capacity) {
    publish(now, "removed", m_prefixes.back());
    m_prefixes.pop_back();
  }
  return false;
}

json prefix_cache::events_after(time_point now, std::uint64_t sequence) const {
  auto events = json::array();
  for (const auto& item : m_events) {
    if (item.sequence > sequence && item.at + m_options.event_lag <= now) {
      events.push_back({{"seq", item.sequence}, {"kind", item.kind}, {"prefix", item.prefix}});
    }
  }
  return events;
}

void prefix_cache::publish(time_point now, const char* kind, const std::string& prefix) {
  ++m_last_sequence;
  if (m_options.dropped_event_interval != 0 && m_last_sequence % m_options.dropped_event_interval == 0) {
    return;
  }
  m_events.push_back({m_last_sequence, now, kind, prefix});
  if (m_events.size() > k_max_kept_events) {
    m_events.pop_front();
  }
}

}  // namespace cuminpath::emulator
