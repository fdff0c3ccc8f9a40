#include "core/telemetry/timeline.h"

#include <algorithm>
#include <tuple>

namespace cuminpath::telemetry {
namespace {

constexpr unsigned k_counter_bits = 16;
// Times of a sender that are further ahead are ignored. Otherwise one host with a wrong date would
// permanently advance the clocks of the whole fleet.
constexpr std::uint64_t k_max_clock_lead_ms = 3'600'000;

}  // namespace

std::uint64_t hybrid_clock::tick(std::uint64_t wall_ms) {
  m_time = std::max(m_time + 1, wall_ms << k_counter_bits);
  return m_time;
}

std::uint64_t hybrid_clock::receive(std::uint64_t wall_ms, std::uint64_t remote) {
  if (remote >> k_counter_bits <= wall_ms + k_max_clock_lead_ms) {
    m_time = std::max(m_time, remote);
  }
  return tick(wall_ms);
}

timeline::timeline(std::string process, std::size_t capacity)
    : m_process(std::move(process)), m_capacity(std::max<std::size_t>(1, capacity)) {}

void timeline::record(std::uint64_t time, std::string_view kind, std::string detail) {
  event value{time, m_process, std::string(kind), std::move(detail)};
  if (m_ring.size() < m_capacity) {
    m_ring.push_back(std::move(value));
    return;
  }
  m_ring[m_next] = std::move(value);
  m_next = (m_next + 1) % m_capacity;
}

std::vector<event> timeline::events() const {
  std::vector<event> out(m_ring.begin() + static_cast<std::ptrdiff_t>(m_next), m_ring.end());
  out.insert(out.end(), m_ring.begin(), m_ring.begin() + static_cast<std::ptrdiff_t>(m_next));
  return out;
}

json timeline::to_json() const {
  json list = json::array();
  for (const event& value : events()) {
    list.push_back(
        {{"time", value.time}, {"process", value.process}, {"kind", value.kind}, {"detail", value.detail}});
  }
  return {{"events", std::move(list)}};
}

std::vector<event> merge(std::span<const std::vector<event>> rings) {
  std::vector<event> all;
  for (const auto& ring : rings) {
    all.insert(all.end(), ring.begin(), ring.end());
  }
  // The sort is stable, so that events of one process with equal times keep their order.
  std::stable_sort(all.begin(), all.end(), [](const event& a, const event& b) {
    return std::tie(a.time, a.process) < std::tie(b.time, b.process);
  });
  return all;
}

}  // namespace cuminpath::telemetry
