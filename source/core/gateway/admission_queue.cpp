#include "core/gateway/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <tuple>

#include "core/gateway/attempt_policy.h"

namespace cuminpath::gateway {
namespace {

using fractional_seconds = std::chrono::duration<double>;

// Time constant of the rate at which places become free: long enough for some ten places at a gateway that
// serves ten requests a second, short enough to follow a burst of a few seconds.
constexpr fractional_seconds k_rate_time_constant{1.0};
// Below this rate the next place is more than a second away, longer than any useful wait.
constexpr double k_min_rate_per_s = 1.0;
// Share of the places that are promised to returning callers. The others go to new requests, which would
// otherwise all be refused once.
constexpr double k_promised_share = 0.5;
// Callers wait for at most this share of the time that they have left, as in retry_after().
constexpr double k_max_return_time_share = 0.3;
constexpr milliseconds k_min_return_time{100};
// Bounds of the time around the promised one in which a place is kept: network and event loops delay callers
// by some ten milliseconds. Each kept place is unused for this time.
constexpr milliseconds k_kept_before{10};
constexpr milliseconds k_kept_after{60};
// Bounds memory. The rate bounds promises to a few hundred at a gateway that serves 200 requests a second.
constexpr std::size_t k_max_promises = 1024;

struct entry {
  admission_queue::ticket id = 0;
  queue_rank rank;
};

// Returns true if `a` goes before `b`; of equal ones, the one that arrived first does.
bool precedes(queue_rank a, queue_rank b) {
  return std::tuple(a.priority, !a.returning) < std::tuple(b.priority, !b.returning);
}

struct promise {
  time_point due;
  std::uint32_t priority = 0;
};

struct service_queue {
  std::vector<entry> entries;    // In their order.
  std::deque<promise> promises;  // In the order of their times.
  time_point last_promised{};
  double freed = 0;  // Decayed count of places that became free, as of `freed_at`.
  time_point freed_at{};

  [[nodiscard]] double rate(time_point now) const {
    const fractional_seconds age = now - freed_at;
    return freed * std::exp(-std::max(0.0, age / k_rate_time_constant)) / k_rate_time_constant.count();
  }
  void drop_expired_promises(time_point now) {
    while (!promises.empty() && promises.front().due + k_kept_after < now) {
      promises.pop_front();
    }
  }
};

milliseconds to_milliseconds(double ms) {
  return milliseconds(static_cast<std::int64_t>(ms));
}

}  // namespace

struct admission_queue::impl {
  admission_queue_options options;
  std::map<std::string, service_queue, std::less<>> services;
  std::size_t size = 0;
  ticket last_ticket = 0;

  service_queue& service(std::string_view name) {
    const auto found = services.find(name);
    return found != services.end() ? found->second : services[std::string(name)];
  }
  [[nodiscard]] const service_queue* find(std::string_view name) const {
    const auto found = services.find(name);
    return found != services.end() ? &found->second : nullptr;
  }
};

admission_queue::admission_queue() : m_impl(std::make_unique<impl>()) {}
admission_queue::~admission_queue() = default;
admission_queue::admission_queue(admission_queue&& other) noexcept = default;
admission_queue& admission_queue::operator=(admission_queue&& other) noexcept = default;

void admission_queue::set_options(const admission_queue_options& options) {
  m_impl->options = options;
}

bool admission_queue::enabled() const {
  return m_impl->options.max_wait_share > 0 && m_impl->options.max_requests > 0;
}

std::size_t admission_queue::size() const {
  return m_impl->size;
}

admission_queue::outcome admission_queue::join(const queue_candidate& candidate, time_point now) {
  if (!enabled()) {
    return refusal::off;
  }
  service_queue& queue = m_impl->service(candidate.service);
  const double rate = queue.rate(now);
  const auto longest =
      to_milliseconds(m_impl->options.max_wait_share * static_cast<double>(candidate.target_latency.count()));
  const time_point wait_until =
      std::min<time_point>(candidate.arrived + longest, candidate.deadline - k_min_time_for_attempt);
  const auto at = std::find_if(queue.entries.begin(), queue.entries.end(),
                               [&](const entry& each) { return precedes(candidate.rank, each.rank); });
  const auto position = static_cast<std::size_t>(at - queue.entries.begin());
  constexpr double k_ms_per_s = 1000;
  const auto expected =
      to_milliseconds(k_ms_per_s * static_cast<double>(position + 1) / std::max(rate, k_min_rate_per_s));
  if (rate < k_min_rate_per_s || now + expected > wait_until) {
    return refusal::too_long;
  }
  place result{.position = position, .expected_wait = expected, .wait_until = wait_until};
  if (m_impl->size >= m_impl->options.max_requests) {
    if (at == queue.entries.end()) {
      return refusal::full;
    }
    result.displaced = queue.entries.back().id;
  }
  result.id = ++m_impl->last_ticket;
  queue.entries.insert(at, {.id = result.id, .rank = candidate.rank});
  ++m_impl->size;
  if (result.displaced) {
    leave(*result.displaced);
  }
  return result;
}

bool admission_queue::leave(ticket id) {
  for (auto& [name, queue] : m_impl->services) {
    if (std::erase_if(queue.entries, [id](const entry& each) { return each.id == id; }) > 0) {
      --m_impl->size;
      return true;
    }
  }
  return false;
}

std::vector<std::string> admission_queue::services() const {
  std::vector<std::string> names;
  for (const auto& [name, queue] : m_impl->services) {
    if (!queue.entries.empty()) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<admission_queue::ticket> admission_queue::order(std::string_view service) const {
  std::vector<ticket> ids;
  if (const auto* queue = m_impl->find(service)) {
    std::transform(queue->entries.begin(), queue->entries.end(), std::back_inserter(ids),
                   [](const entry& each) { return each.id; });
  }
  return ids;
}

std::size_t admission_queue::count_before(std::string_view service, queue_rank rank) const {
  const auto* queue = m_impl->find(service);
  return queue == nullptr ? 0
                          : static_cast<std::size_t>(std::count_if(
                                queue->entries.begin(), queue->entries.end(),
                                [rank](const entry& each) { return !precedes(rank, each.rank); }));
}

void admission_queue::on_place_freed(std::string_view service, time_point now) {
  service_queue& queue = m_impl->service(service);
  queue.freed = queue.rate(now) * k_rate_time_constant.count() + 1;
  queue.freed_at = now;
}

double admission_queue::freed_per_s(std::string_view service, time_point now) const {
  const auto* queue = m_impl->find(service);
  return queue == nullptr ? 0 : queue->rate(now);
}

std::optional<milliseconds> admission_queue::promise_return(std::string_view service, queue_rank rank,
                                                            milliseconds time_left, time_point now,
                                                            random_source& random) {
  service_queue& queue = m_impl->service(service);
  const double rate = queue.rate(now);
  if (rate < k_min_rate_per_s) {
    return std::nullopt;
  }
  queue.drop_expired_promises(now);
  const auto longest = std::max(
      k_min_return_time, to_milliseconds(k_max_return_time_share * static_cast<double>(time_left.count())));
  const fractional_seconds interval(1 / (k_promised_share * rate));
  const auto spread = std::chrono::duration_cast<duration>(
      interval * std::uniform_real_distribution<double>(0.5, 1.5)(random));
  const time_point due = std::max<time_point>(now + k_min_return_time, queue.last_promised + spread);
  if (rank.returning || due > now + longest || queue.promises.size() >= k_max_promises) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        std::max(k_min_return_time, longest / 2).count(), longest.count())(random));
  }
  queue.last_promised = due;
  queue.promises.push_back({.due = due, .priority = rank.priority});
  return std::chrono::ceil<milliseconds>(due - now);
}

void admission_queue::on_return(std::string_view service, std::uint32_t priority, time_point now) {
  service_queue& queue = m_impl->service(service);
  queue.drop_expired_promises(now);
  const auto found = std::find_if(queue.promises.begin(), queue.promises.end(),
                                  [priority](const promise& each) { return each.priority == priority; });
  // A caller that returns early uses the place of none that is due later.
  if (found != queue.promises.end() && found->due <= now + k_kept_before) {
    queue.promises.erase(found);
  }
}

std::uint32_t admission_queue::promised_places(std::string_view service, queue_rank rank, time_point now) {
  if (rank.returning) {
    return 0;
  }
  service_queue& queue = m_impl->service(service);
  queue.drop_expired_promises(now);
  return static_cast<std::uint32_t>(
      std::count_if(queue.promises.begin(), queue.promises.end(), [rank, now](const promise& each) {
        return each.due <= now + k_kept_before && each.priority <= rank.priority;
      }));
}

}  // namespace cuminpath::gateway
