#include "core/proxy/caller_memory_budget.h"

#include <algorithm>
#include <tuple>

namespace cuminpath::proxy {
namespace {

// Claims leave a quarter of the limit to heads, small bodies and responses.
constexpr double k_share_of_claims = 0.75;
// The last block of a body is allocated as a whole.
constexpr std::size_t k_body_overhead_bytes = 64U << 10U;
// After a pause of the process itself, callers count as stalled only once they had time to be read.
// A search for stalled holders that finds none is not repeated for each read.
constexpr milliseconds k_max_time_between_searches{50};
constexpr milliseconds k_max_decision_gap = k_caller_stall_time / 2;

}  // namespace

void caller_memory_budget::add(owner_id owner, time_point now) {
  m_holders[owner].last_progress = now;
  hold(owner, held_part::connection, k_connection_bytes);
}

void caller_memory_budget::remove(owner_id owner) {
  const auto found = m_holders.find(owner);
  if (found == m_holders.end()) {
    return;
  }
  release_claim(owner);
  m_used -= found->second.total;
  m_holders.erase(found);
}

void caller_memory_budget::hold(owner_id owner, held_part part, std::size_t bytes) {
  const auto found = m_holders.find(owner);
  if (found == m_holders.end()) {
    return;
  }
  holder& value = found->second;
  std::size_t& current = value.parts[static_cast<std::size_t>(part)];
  m_outstanding -= value.outstanding();
  m_used = m_used - current + bytes;
  value.total = value.total - current + bytes;
  current = bytes;
  m_outstanding += value.outstanding();
}

void caller_memory_budget::on_progress(owner_id owner, std::size_t bytes, time_point now) {
  const auto found = m_holders.find(owner);
  if (found == m_holders.end()) {
    return;
  }
  found->second.bytes_since += bytes;
  if (found->second.bytes_since >= k_progress_bytes) {
    found->second.bytes_since = 0;
    found->second.last_progress = now;
  }
}

void caller_memory_budget::on_step(owner_id owner, time_point now) {
  if (const auto found = m_holders.find(owner); found != m_holders.end()) {
    found->second.bytes_since = 0;
    found->second.last_progress = now;
  }
}

void caller_memory_budget::set_served(owner_id owner, bool served) {
  if (const auto found = m_holders.find(owner); found != m_holders.end()) {
    found->second.has_been_served = found->second.has_been_served || (found->second.served && !served);
    found->second.served = served;
  }
}

bool caller_memory_budget::grantable(const holder& value, std::size_t wanted, std::size_t freed) const {
  const std::size_t body = value.part(held_part::body);
  const std::size_t rest = wanted > body ? wanted - body : 0;
  const std::size_t committed = m_used + m_outstanding;
  const auto limit = static_cast<std::size_t>(k_share_of_claims * static_cast<double>(m_limit));
  // A body that is larger than the share is received if nothing else is.
  return m_claims == 0 || committed - std::min(committed, freed) + rest <= limit;
}

bool caller_memory_budget::claim(owner_id owner, std::size_t body_bytes, time_point now) {
  const auto found = m_holders.find(owner);
  if (found == m_holders.end() || found->second.claimed > 0) {
    return true;
  }
  holder& value = found->second;
  const std::size_t wanted = body_bytes + k_body_overhead_bytes;
  // Claims that wait go first.
  if (value.wanted > 0 || m_waiting > 0 || !grantable(value, wanted, 0)) {
    if (value.wanted == 0) {
      ++m_waiting;
      value.waiting_since = now;
    }
    value.wanted = wanted;
    return false;
  }
  value.claimed = wanted;
  ++m_claims;
  m_outstanding += value.outstanding();
  return true;
}

void caller_memory_budget::end_wait(holder& value) {
  if (value.wanted > 0) {
    value.wanted = 0;
    --m_waiting;
  }
}

void caller_memory_budget::release_claim(owner_id owner) {
  const auto found = m_holders.find(owner);
  if (found == m_holders.end()) {
    return;
  }
  end_wait(found->second);
  if (found->second.claimed > 0) {
    m_outstanding -= found->second.outstanding();
    found->second.claimed = 0;
    --m_claims;
  }
}

std::vector<caller_memory_budget::owner_id> caller_memory_budget::waiting_in_order() const {
  std::vector<std::tuple<std::size_t, time_point, owner_id>> order;
  for (const auto& [owner, value] : m_holders) {
    if (value.wanted > 0) {
      order.emplace_back(value.wanted, value.waiting_since, owner);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<owner_id> owners;
  owners.reserve(order.size());
  for (const auto& each : order) {
    owners.push_back(std::get<owner_id>(each));
  }
  return owners;
}

std::vector<caller_memory_budget::decision> caller_memory_budget::decide(time_point now) {
  std::vector<decision> decisions;
  if (m_last_decision && now - *m_last_decision > k_max_decision_gap) {
    for (auto& [owner, value] : m_holders) {
      value.last_progress = std::max(value.last_progress, now);
    }
  }
  m_last_decision = now;
  if (m_waiting == 0) {
    return decisions;
  }
  // The smallest go first: a body of ordinary size does not wait for those of the largest size.
  std::size_t freed = 0;
  for (const owner_id owner : waiting_in_order()) {
    holder& value = m_holders.at(owner);
    while (!grantable(value, value.wanted, freed)) {
      const owner_id stalled = find_stalled(now, owner);
      if (stalled == nullptr) {
        break;
      }
      holder& evicted = m_holders.at(stalled);
      freed += evicted.total + evicted.outstanding();
      evicted.last_progress = now;  // Not to be found again before it is gone.
      decisions.push_back({stalled, action::evict});
    }
    // What is evicted is free only once the owner has let go of it.
    if (freed == 0 && grantable(value, value.wanted, 0)) {
      value.claimed = value.wanted;
      ++m_claims;
      m_outstanding += value.outstanding();
      value.last_progress = now;
      end_wait(value);
      decisions.push_back({owner, action::resume});
    } else if (now - value.waiting_since >= k_max_claim_wait) {
      end_wait(value);
      decisions.push_back({owner, action::refuse});
    }
  }
  return decisions;
}

caller_memory_budget::owner_id caller_memory_budget::find_stalled(time_point now, owner_id except) {
  if (now < m_no_stalled_until || m_holders.empty()) {
    return nullptr;
  }
  const std::size_t average = m_used / m_holders.size();
  owner_id found = nullptr;
  time_point oldest = time_point::max();
  time_point next = now + k_max_time_between_searches;
  for (const auto& [owner, value] : m_holders) {
    if (owner != except && value.total >= average && value.stalled(now) && value.last_progress < oldest) {
      oldest = value.last_progress;
      found = owner;
    }
    if (value.evictable()) {
      next = std::min(next, value.last_progress + k_caller_stall_time);
    }
  }
  if (found == nullptr) {
    m_no_stalled_until = next;
  }
  return found;
}

caller_memory_budget::owner_id caller_memory_budget::find_idle(time_point now) const {
  owner_id found = nullptr;
  std::pair<bool, time_point> best{true, time_point::max()};
  for (const auto& [owner, value] : m_holders) {
    const std::pair<bool, time_point> rank{value.has_been_served, value.last_progress};
    if (value.stalled(now) && rank < best) {
      best = rank;
      found = owner;
    }
  }
  return found;
}

std::size_t caller_memory_budget::held(owner_id owner) const {
  const auto found = m_holders.find(owner);
  return found == m_holders.end() ? 0 : found->second.total;
}

}  // namespace cuminpath::proxy
