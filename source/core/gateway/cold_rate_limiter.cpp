#include "core/gateway/cold_rate_limiter.h"

#include <algorithm>
#include <array>
#include <cstring>

#include "core/common/hash.h"

namespace cuminpath::gateway {
namespace {

// Upstreams to which nothing was sent for this long are forgotten; longer than any window.
constexpr seconds k_upstream_retention{30};

// Bounds the memory for each upstream; more than a gateway sends to one upstream in a second.
constexpr std::uint32_t k_max_per_sender = 1000;

// Weight of a gateway for an upstream in rendezvous hashing. Names are hashed once, since 1,200 names are
// compared for each cold upstream.
std::uint64_t weight(std::uint64_t name_hash, std::uint64_t upstream_hash) {
  std::array<char, sizeof(name_hash)> bytes{};
  std::memcpy(bytes.data(), &name_hash, sizeof(name_hash));
  return hash64({bytes.data(), bytes.size()}, upstream_hash);
}

}  // namespace

cold_rate_limiter::cold_rate_limiter(std::string_view local_name, cold_rate_options options)
    : m_options(options), m_local_hash(hash64(local_name)) {}

void cold_rate_limiter::set_members(std::span<const std::string> names, bool confirmed, time_point now) {
  bool changed = false;
  for (const std::string& name : names) {
    if (const std::uint64_t hash = hash64(name); hash != m_local_hash) {
      changed = m_names.insert_or_assign(hash, now).second || changed;
    }
  }
  const auto expired = std::erase_if(
      m_names, [&](const auto& known) { return now - known.second >= m_options.name_retention; });
  m_generation += changed || expired > 0 ? 1 : 0;
  update_settled(confirmed, now);
  std::erase_if(m_upstreams,
                [now](const auto& known) { return now - known.second.last_used > k_upstream_retention; });
}

// A list that is not confirmed may lack any number of names, so the settle time runs only while it is. Once
// it has settled, a gateway that is cut off goes on with it: it lacks only those that join later.
void cold_rate_limiter::update_settled(bool confirmed, time_point now) {
  const std::size_t size = known_names();
  const double growth = m_settled ? m_options.unsettling_growth : m_options.settled_growth;
  const bool grown = static_cast<double>(size) >= (1 + growth) * static_cast<double>(m_settling_size);
  if (!m_settling_since || grown || (!m_settled && !confirmed)) {
    m_settled = false;
    m_settling_since = now;
    m_settling_size = size;
    return;
  }
  if (now - *m_settling_since >= m_options.settle_time) {
    m_settled = true;
    m_settling_size = size;
    m_settling_since = now;
  }
}

cold_rate_limiter::limits cold_rate_limiter::limits_for(std::uint32_t bound) const {
  if (bound == 0) {
    return {};
  }
  const auto used = std::max(1U, static_cast<std::uint32_t>(m_options.used_share * bound));
  const std::uint32_t senders = std::min(used, m_options.max_senders);
  return {.senders = senders, .per_sender = std::min(used / senders, k_max_per_sender)};
}

std::uint32_t cold_rate_limiter::rank(std::string_view upstream_id) const {
  const std::uint64_t upstream_hash = hash64(upstream_id);
  const std::uint64_t local_weight = weight(m_local_hash, upstream_hash);
  std::uint32_t preceding = 0;
  for (const auto& [name_hash, last_named] : m_names) {
    preceding += weight(name_hash, upstream_hash) > local_weight ? 1 : 0;
    if (preceding >= m_options.max_senders) {
      break;  // Not a sender, whatever the bound.
    }
  }
  return preceding;
}

cold_rate_limiter::upstream_entry& cold_rate_limiter::entry(std::string_view upstream_id,
                                                            time_point now) const {
  auto found = m_upstreams.find(upstream_id);
  if (found == m_upstreams.end()) {
    found = m_upstreams.emplace(upstream_id, upstream_entry{}).first;
  }
  found->second.last_used = now;
  return found->second;
}

bool cold_rate_limiter::may_send(std::string_view upstream_id, std::uint32_t bound, time_point now) const {
  if (!m_settled || !m_settling_since) {
    return false;
  }
  const limits allowed = limits_for(bound);
  if (allowed.senders == 0) {
    return false;
  }
  upstream_entry& known = entry(upstream_id, now);
  if (known.generation != m_generation) {
    known.rank = rank(upstream_id);
    known.generation = m_generation;
  }
  const bool below_rate = known.sent.size() < allowed.per_sender ||
                          now - known.sent[known.sent.size() - allowed.per_sender] >= m_options.window;
  return known.rank < allowed.senders && below_rate;
}

void cold_rate_limiter::on_sent(std::string_view upstream_id, std::uint32_t bound, time_point now) {
  auto& sent = entry(upstream_id, now).sent;
  sent.push_back(now);
  if (const std::size_t kept = std::max(1U, limits_for(bound).per_sender); sent.size() > kept) {
    sent.erase(sent.begin(), sent.end() - static_cast<std::ptrdiff_t>(kept));
  }
}

}  // namespace cuminpath::gateway
