// Compares, in virtual time, the ways of serving a load above capacity: today, with a queue, with an order in
// which refused callers return, and with both. 18 gateways share 72 upstreams with 10 slots each; each
// gateway knows the number of requests at the upstreams at once.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <numbers>

#include "core/gateway/admission.h"
#include "core/gateway/admission_queue.h"

namespace cuminpath::gateway {
namespace {

using fractional_seconds = std::chrono::duration<double>;

enum class load : std::uint8_t { wave, burst, early_returns };
struct variant {
  const char* name;
  bool queue = false;
  bool returns = false;
  // Refused callers return within the same bounds as promised ones, but no place is kept for them.
  bool late_returns = false;
};
constexpr std::array k_variants{variant{"today"}, variant{"queue only", true, false},
                                variant{"order of return only", false, true}, variant{"both", true, true},
                                variant{"late returns only", false, false, true}};

constexpr time_point k_start{seconds{100}};
constexpr seconds k_length{30};
constexpr std::size_t k_gateways = 18;
constexpr std::uint32_t k_slots = 720;
constexpr double k_pass_utilization = 0.5;
constexpr milliseconds k_target{400};
constexpr milliseconds k_caller_time{8000};
constexpr double k_wait_share = 0.35;  // 140 ms: the slowest first event after it is on time.
constexpr milliseconds k_poll{25};
constexpr milliseconds k_mean_service{1500};
constexpr double k_capacity_per_s = k_pass_utilization * k_slots / 1.5;

struct totals {
  std::size_t requests = 0;
  std::size_t on_time = 0;  // First event within the target of the arrival of the try that was served.
  std::size_t late = 0;
  std::size_t refused = 0;  // Responses.
  std::size_t refused_twice = 0;
  milliseconds max_wait{0};
};

// Requests a second as a multiple of the capacity.
double demand(load kind, time_point now) {
  const double s = fractional_seconds(now - k_start).count();
  switch (kind) {
    case load::wave:
      return 0.95 - 0.35 * std::cos(2 * std::numbers::pi * s / 15);
    case load::burst:
      return s >= 10 && s < 14 ? 2.6 * 0.6 : 0.6;
    case load::early_returns:
      return 1.15;
  }
  return 0;
}

class simulation {
public:
  simulation(load kind, variant how, std::uint64_t seed) : m_load(kind), m_variant(how), m_random(seed) {
    for (auto& gateway : m_gateways) {
      gateway.set_options({.max_wait_share = how.queue ? k_wait_share : 0});
    }
  }

  totals run() {
    schedule_arrival(k_start);
    if (m_variant.queue) {
      schedule(k_start, [this](time_point now) { poll(now); });
    }
    while (!m_events.empty()) {
      const auto event = m_events.extract(m_events.begin());
      event.mapped()(event.key());
    }
    return m_totals;
  }

private:
  using action = std::function<void(time_point)>;
  struct waiting_request {
    time_point arrived;
    time_point wait_until;
    bool returning = false;
    time_point deadline;
  };

  void schedule(time_point at, action what) { m_events.emplace(at, std::move(what)); }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }
  void schedule_arrival(time_point now) {
    const double rate = demand(m_load, now) * k_capacity_per_s;
    const time_point at = now + std::chrono::duration_cast<duration>(fractional_seconds(
                                    std::exponential_distribution<double>(rate)(m_random)));
    if (at < k_start + k_length) {
      schedule(at, [this](time_point then) {
        ++m_totals.requests;
        on_request(false, then + k_caller_time, then);
        schedule_arrival(then);
      });
    }
  }
  [[nodiscard]] admission_request describe(bool returning, time_point deadline, time_point now) const {
    return {.engine = true,
            .time_left = std::chrono::duration_cast<milliseconds>(deadline - now),
            .max_pass_utilization = k_pass_utilization,
            .is_retry = returning,
            .slot_share = 0.1};
  }
  [[nodiscard]] bool has_room(bool returning, std::uint32_t kept, time_point now) const {
    return keeps_passes_on_time({.upstreams = 72, .slots = k_slots, .outstanding = m_outstanding + kept},
                                describe(returning, now, now));
  }
  void on_request(bool returning, time_point deadline, time_point now) {
    const std::size_t at = random_index(m_random, k_gateways);
    admission_queue& gateway = m_gateways.at(at);
    const queue_rank rank{.returning = returning && m_variant.returns};
    std::uint32_t kept = 0;
    if (m_variant.returns) {
      if (returning) {
        gateway.on_return("s", 0, now);
      }
      kept = gateway.promised_places("s", rank, now);
    }
    if (gateway.count_before("s", rank) == 0 && has_room(returning, kept, now)) {
      place(at, now, now);
      return;
    }
    const auto outcome = gateway.join(
        {.service = "s", .rank = rank, .target_latency = k_target, .arrived = now, .deadline = deadline},
        now);
    if (const auto* joined = std::get_if<admission_queue::place>(&outcome)) {
      m_waiting[at][joined->id] = {now, joined->wait_until, returning, deadline};
      return;
    }
    refuse(at, returning, deadline, now);
  }
  void refuse(std::size_t at, bool returning, time_point deadline, time_point now) {
    ++m_totals.refused;
    if (returning) {
      ++m_totals.refused_twice;
      return;
    }
    const admission_request request = describe(false, deadline, now);
    milliseconds wait = retry_after({.upstreams = 72, .slots = k_slots, .outstanding = m_outstanding},
                                    k_mean_service, request, m_random);
    if (m_variant.returns) {
      wait = m_gateways.at(at).promise_return("s", {}, request.time_left, now, m_random).value_or(wait);
    }
    if (m_variant.late_returns) {
      wait = milliseconds(static_cast<std::int64_t>(uniform(100, 2400)));
    }
    if (m_load == load::early_returns) {
      wait = std::min(wait, milliseconds{50});
    }
    schedule(now + wait, [this, deadline](time_point then) { on_request(true, deadline, then); });
  }
  void place(std::size_t at, time_point arrived, time_point now) {
    ++m_outstanding;
    const auto waited = std::chrono::ceil<milliseconds>(now - arrived);
    m_totals.max_wait = std::max(m_totals.max_wait, waited);
    const double first_ms = uniform(150, 250);
    ++(static_cast<double>(waited.count()) + first_ms <= static_cast<double>(k_target.count())
           ? m_totals.on_time
           : m_totals.late);
    const double rest_ms = std::exponential_distribution<double>(1.0 / 1300)(m_random);
    schedule(now + milliseconds(static_cast<std::int64_t>(first_ms + rest_ms)), [this, at](time_point then) {
      --m_outstanding;
      m_gateways.at(at).on_place_freed("s", then);
      serve(at, then);
    });
  }
  void serve(std::size_t at, time_point now) {
    auto& waiting = m_waiting[at];
    for (const auto id : m_gateways.at(at).order("s")) {
      const waiting_request request = waiting.at(id);
      const bool over = now >= request.wait_until;
      const bool room = !over && has_room(request.returning, 0, now);
      if (!room && !over) {
        return;
      }
      m_gateways.at(at).leave(id);
      waiting.erase(id);
      if (room) {
        place(at, request.arrived, now);
      } else {
        refuse(at, request.returning, request.deadline, now);
      }
    }
  }
  void poll(time_point now) {
    for (std::size_t at = 0; at < k_gateways; ++at) {
      serve(at, now);
    }
    if (now < k_start + k_length + seconds{10}) {
      schedule(now + k_poll, [this](time_point then) { poll(then); });
    }
  }

  load m_load;
  variant m_variant;
  random_source m_random;
  std::multimap<time_point, action> m_events;
  std::array<admission_queue, k_gateways> m_gateways;
  std::array<std::map<admission_queue::ticket, waiting_request>, k_gateways> m_waiting;
  std::uint32_t m_outstanding = 0;
  totals m_totals;
};

// Adds up five runs.
totals run(load kind, variant how) {
  totals sum;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const totals one = simulation(kind, how, seed).run();
    EXPECT_EQ(one.on_time + one.late + one.refused_twice, one.requests);
    sum.requests += one.requests;
    sum.on_time += one.on_time;
    sum.late += one.late;
    sum.refused += one.refused;
    sum.refused_twice += one.refused_twice;
    sum.max_wait = std::max(sum.max_wait, one.max_wait);
  }
  return sum;
}

using comparison = std::array<totals, k_variants.size()>;

comparison compare(load kind, const char* name) {
  comparison results;
  for (std::size_t i = 0; i < k_variants.size(); ++i) {
    results.at(i) = run(kind, k_variants.at(i));
    const totals& sum = results.at(i);
    std::printf(
        "  %-14s %-21s requests %6zu on time %6zu late %5zu refused %6zu twice %5zu max wait %3d ms\n", name,
        k_variants.at(i).name, sum.requests, sum.on_time, sum.late, sum.refused, sum.refused_twice,
        static_cast<int>(sum.max_wait.count()));
  }
  return results;
}

// The queue delays no response beyond its target, and its order of return serves callers before they give up.
void expect_fewer_refused_twice(const comparison& results) {
  const totals& today = results.at(0);
  const totals& both = results.at(3);
  EXPECT_LT(10 * both.refused_twice, today.refused_twice);
  EXPECT_GT(both.on_time, today.on_time);
  EXPECT_EQ(both.late, 0U);
  EXPECT_LE(both.max_wait, std::chrono::ceil<milliseconds>(k_wait_share * k_target));
}

TEST(admission_queue_simulation, a_wave_above_capacity) {
  expect_fewer_refused_twice(compare(load::wave, "wave"));
}

TEST(admission_queue_simulation, a_burst) {
  expect_fewer_refused_twice(compare(load::burst, "burst"));
}

// Callers that ignore Retry-After find no kept places; the gateways must serve no fewer of them.
TEST(admission_queue_simulation, callers_that_return_too_soon) {
  const comparison results = compare(load::early_returns, "early returns");
  EXPECT_GE(results.at(3).on_time, results.at(0).on_time * 99 / 100);
  EXPECT_EQ(results.at(3).late, 0U);
}

}  // namespace
}  // namespace cuminpath::gateway
