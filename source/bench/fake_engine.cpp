#include "bench/fake_engine.h"

#include <algorithm>

namespace cuminpath::bench {
namespace {

// Prefilling a token that was generated before a preemption is about 100 times faster than decoding it.
constexpr double k_replay_time_share = 0.01;

duration to_duration(double value_s) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value_s));
}

}  // namespace

bool fake_engine::touch_prefix(std::uint64_t prefix) {
  if (prefix == 0 || m_profile.cached_prefixes == 0) {
    return false;
  }
  const auto found = m_cached_prefixes.find(prefix);
  if (found != m_cached_prefixes.end()) {
    m_recent_prefixes.splice(m_recent_prefixes.begin(), m_recent_prefixes, found->second);
    return true;
  }
  m_recent_prefixes.push_front(prefix);
  m_cached_prefixes[prefix] = m_recent_prefixes.begin();
  if (m_recent_prefixes.size() > m_profile.cached_prefixes) {
    m_cached_prefixes.erase(m_recent_prefixes.back());
    m_recent_prefixes.pop_back();
  }
  return false;
}

bool fake_engine::start(time_point now, std::uint64_t id, std::uint32_t tokens, std::uint32_t produced,
                        std::uint64_t prefix) {
  const bool cached = touch_prefix(prefix);
  const double prefill_s = (cached ? m_profile.cached_prefill_s : m_profile.prefill_s) +
                           produced * m_profile.token_s * k_replay_time_share;
  m_runs.push_back({id, now + to_duration(prefill_s * m_profile.slowness), tokens, produced, produced});
  return cached;
}

std::uint32_t fake_engine::cancel(std::uint64_t id) {
  const auto found =
      std::find_if(m_runs.begin(), m_runs.end(), [id](const run& value) { return value.id == id; });
  if (found == m_runs.end()) {
    return 0;
  }
  const std::uint32_t produced = found->produced;
  m_runs.erase(found);
  return produced;
}

void fake_engine::step(time_point now, std::vector<engine_event>& events) {
  const double token_s = m_profile.token_s * m_profile.slowness;
  for (run& value : m_runs) {
    if (now < value.first_token_time) {
      continue;
    }
    const double elapsed = std::chrono::duration<double>(now - value.first_token_time).count();
    const auto total =
        std::min(value.tokens, value.first_token + 1 + static_cast<std::uint32_t>(elapsed / token_s));
    if (total > value.produced) {
      events.push_back({value.id, total - value.produced, total == value.tokens});
      value.produced = total;
    }
  }
  std::erase_if(m_runs, [](const run& value) { return value.produced == value.tokens; });
}

}  // namespace cuminpath::bench
