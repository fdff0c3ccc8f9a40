// Simulates one group of engines in virtual time, as a gateway sees it: passes that a stall lengthens once,
// and passes that a shift of expert popularity lengthens for a while.

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "core/common/random.h"
#include "core/gateway/admission.h"
#include "core/gateway/concurrency_limiter.h"

namespace cuminpath::gateway {
namespace {

constexpr engine_cost k_cost{.step_ms = 4.84, .per_sequence_ms = 0.797, .steps_per_pass = 9};
constexpr milliseconds k_max_gap{150};
constexpr std::uint32_t k_engines = 72;
constexpr std::uint32_t k_slots = 10;
constexpr std::size_t k_gateways = 18;
constexpr double k_requests_per_ms = 0.3;
constexpr int k_events_per_stream = 17;
constexpr double k_even_skew = 1.2;
constexpr double k_uneven_skew = 3.6;
// Share of the slots below which a refusal cannot be the result of a full group.
constexpr double k_busy = 0.85;

class group_simulation {
public:
  // Runs passes for `time`. The first of them takes `stall` longer.
  void run(milliseconds time, double skew, milliseconds stall = milliseconds{0}) {
    const double end_ms = m_now_ms + static_cast<double>(time.count());
    for (double added_ms = static_cast<double>(stall.count()); m_now_ms < end_ms; added_ms = 0) {
      pass(skew, added_ms);
    }
  }

  // Returns the number of requests for each engine at which the gateway stops.
  [[nodiscard]] double limit() const { return m_limiter.max_requests(k_max_gap, k_cost, now()).value_or(0); }
  [[nodiscard]] static double pass_ms(double running, double skew) {
    return k_cost.steps_per_pass * (k_cost.step_ms + k_cost.per_sequence_ms * running * (0.15 + 0.85 * skew));
  }

  std::uint32_t served_on_time = 0;
  std::uint32_t served_late = 0;
  std::uint32_t refused_for_passes = 0;  // While slots are free.
  std::uint32_t refused_full = 0;

private:
  struct stream {
    int events_left = k_events_per_stream;
    bool late = false;
  };

  [[nodiscard]] time_point now() const {
    return time_point{} + seconds{100} + microseconds(static_cast<std::int64_t>(m_now_ms * 1000));
  }
  [[nodiscard]] double running() const { return static_cast<double>(m_streams.size()) / k_engines; }

  void pass(double skew, double stall_ms) {
    const double length_ms = pass_ms(running(), skew) + stall_ms;
    const auto gap = duration(microseconds(static_cast<std::int64_t>(length_ms * 1000)));
    const std::size_t began = m_streams.size();
    m_now_ms += length_ms;
    admit(length_ms);
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
      stream& each = m_streams[i];
      const bool has_gap = i < began && each.events_left < k_events_per_stream;
      if (has_gap && i % k_gateways == 0) {
        m_limiter.observe(gap, running(), k_cost, now());
      }
      each.late = each.late || (has_gap && gap > k_max_gap) || (i >= began && stall_ms > 0);
      --each.events_left;
    }
    std::erase_if(m_streams, [this](const stream& each) {
      (each.late ? served_late : served_on_time) += each.events_left == 0 ? 1 : 0;
      return each.events_left == 0;
    });
  }

  void admit(double length_ms) {
    const auto limit = m_limiter.max_requests(k_max_gap, k_cost, now());
    const admission_request request{.engine = true,
                                    .max_pass_utilization = limit ? std::optional(*limit / k_slots) : limit,
                                    .slot_share = 1.0 / k_slots};
    for (auto i = std::poisson_distribution<int>(k_requests_per_ms * length_ms)(m_random); i > 0; --i) {
      const upstream_table::service_totals totals{
          .upstreams = k_engines,
          .slots = k_engines * k_slots,
          .outstanding = static_cast<std::uint32_t>(m_streams.size())};
      if (keeps_passes_on_time(totals, request)) {
        m_streams.emplace_back();
      } else {
        ++(totals.outstanding < k_busy * totals.slots ? refused_for_passes : refused_full);
      }
    }
  }

  random_source m_random{7};
  concurrency_limiter m_limiter;
  std::vector<stream> m_streams;
  double m_now_ms = 0;
};

// Guards against a limit that takes the pause of all streams for the cost of a request: it refused 516 of
// 1,657 requests while half of the slots were free.
TEST(stalled_passes, a_stall_does_not_lower_the_limit) {
  for (const int stall_ms : {0, 200, 250, 300, 500, 1000, 2000, 4000}) {
    group_simulation group;
    group.run(seconds{5}, k_even_skew);
    EXPECT_GT(group.limit(), k_slots);
    group.run(milliseconds{stall_ms + 1000}, k_even_skew, milliseconds{stall_ms});
    EXPECT_GT(group.limit(), k_slots) << stall_ms;
    group.run(seconds{3}, k_even_skew);
    EXPECT_EQ(group.refused_for_passes, 0U) << stall_ms;
    EXPECT_GT(group.limit(), k_slots) << stall_ms;
    RecordProperty("stall_" + std::to_string(stall_ms),
                   std::to_string(group.served_on_time) + " on time, " + std::to_string(group.served_late) +
                       " late, " + std::to_string(group.refused_for_passes) + " refused for passes, " +
                       std::to_string(group.refused_full) + " full");
  }
}

// Guards against a limit that takes the passes of a shift for a stall. A shift lasts for 0.5 to 2 s.
TEST(stalled_passes, a_shift_lowers_the_limit_within_a_few_passes) {
  // Times of three passes, a stall as one more of them.
  for (const auto& [stall_ms, time_ms] : {std::pair{0, 500}, std::pair{250, 950}}) {
    group_simulation group;
    group.run(seconds{5}, k_even_skew);
    EXPECT_GT(group.limit(), k_slots);
    group.run(milliseconds{time_ms}, k_uneven_skew, milliseconds{stall_ms});
    EXPECT_LT(group.limit(), 0.6 * k_slots) << stall_ms;
    group.run(milliseconds{1500}, k_uneven_skew);
    EXPECT_LT(group_simulation::pass_ms(group.limit(), k_uneven_skew), 0.9 * k_max_gap.count()) << stall_ms;
    EXPECT_GT(group.limit(), 0.3 * k_slots) << stall_ms;
    group.run(seconds{1}, k_even_skew);
    EXPECT_LT(group.limit(), 0.6 * k_slots) << "the next shift may be close";
  }
}

}  // namespace
}  // namespace cuminpath::gateway
