// Simulates gateways in virtual time that send to cold upstreams as fast as they may. In each run some of
// them start, stop, are cut off or see other lists; the bound must hold in every second.

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <set>

#include "core/common/random.h"
#include "core/gateway/cold_rate_limiter.h"

namespace cuminpath::gateway {
namespace {

constexpr std::uint32_t k_bound = 26;  // 14 requests a second x 1.5 + 5.
constexpr milliseconds k_step{50};
constexpr time_point k_start{seconds{100}};
constexpr std::array<std::string_view, 3> k_upstreams{"i-1", "i-2", "i-3"};

enum class disturbance : std::uint8_t {
  calm,
  joins,           // A quarter more gateways join one after the other.
  deaths,          // A quarter of the gateways die and stay in the lists.
  cut_off,         // A quarter is cut off, while a quarter joins and the rows of those cut off are removed.
  all_start,       // All start within three seconds; a quarter is cut off during that time.
  different_lists  // Each list lacks other names, up to a fifth of them.
};
constexpr std::array k_disturbances{disturbance::calm,      disturbance::joins,
                                    disturbance::deaths,    disturbance::cut_off,
                                    disturbance::all_start, disturbance::different_lists};

struct simulated_gateway {
  explicit simulated_gateway(std::string gateway_name, time_point start)
      : name(std::move(gateway_name)), started_at(start), limiter(name) {}

  std::string name;
  time_point started_at;
  cold_rate_limiter limiter;
  std::optional<time_point> cut_off_at;
  std::optional<time_point> died_at;
  // The list that it received last.
  std::shared_ptr<const std::vector<std::string>> names = std::make_shared<std::vector<std::string>>();
};

struct run_result {
  std::size_t max_in_a_second = 0;
  double used_share = 0;  // Of the bound, in the second half of the run.
};

class simulation {
public:
  simulation(std::size_t size, disturbance kind, std::uint64_t seed)
      : m_kind(kind), m_seed(seed), m_random(seed) {
    const std::size_t quarter = (size + 3) / 4;
    for (std::size_t i = 0; i < size; ++i) {
      const bool starting = kind == disturbance::all_start;
      auto& added = add(k_start + (starting ? random_time(3000) : milliseconds{0}));
      if (kind == disturbance::deaths && i < quarter) {
        added.died_at = k_start + milliseconds{4000};
      } else if (kind == disturbance::cut_off && i < quarter) {
        added.cut_off_at = k_start + random_time(5000);
      } else if (starting && i < quarter) {
        added.cut_off_at = added.started_at + random_time(3000);
      }
    }
    if (kind == disturbance::joins || kind == disturbance::cut_off) {
      for (std::size_t i = 0; i < quarter; ++i) {
        add(k_start + milliseconds{3000} + random_time(3000));
      }
    }
  }

  run_result run() {
    const milliseconds length{9000};
    for (milliseconds passed{0}; passed < length; passed += k_step) {
      const time_point now = k_start + passed;
      update_rows(now);
      for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        step(m_gateways[i], i, now);
      }
    }
    return evaluate(length);
  }

private:
  simulated_gateway& add(time_point start) {
    m_gateways.emplace_back("gw-" + std::to_string(m_random() % 1'000'000'000), start);
    return m_gateways.back();
  }
  milliseconds random_time(std::size_t max_ms) { return milliseconds(random_index(m_random, max_ms)); }

  // The table of gateways. Rows are written 300 ms after the start; those of gateways that are cut off are
  // removed after a while.
  void update_rows(time_point now) {
    const std::size_t before = m_rows.size();
    for (const auto& each : m_gateways) {
      if (now - each.started_at >= milliseconds{300} && (!each.cut_off_at || now < *each.cut_off_at)) {
        m_rows.insert(each.name);
      } else if (m_kind == disturbance::cut_off && each.cut_off_at &&
                 now - *each.cut_off_at > milliseconds{1500}) {
        m_rows.erase(each.name);
      }
    }
    if (m_rows.size() != before || !m_list) {
      m_list = std::make_shared<std::vector<std::string>>(m_rows.begin(), m_rows.end());
    }
  }

  void step(simulated_gateway& self, std::size_t index, time_point now) {
    if (now < self.started_at || (self.died_at && now >= *self.died_at)) {
      return;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(now - self.started_at);
    const bool cut_off = self.cut_off_at && now >= *self.cut_off_at;
    if (age.count() % 400 < k_step.count()) {
      if (!cut_off) {
        self.names = m_kind == disturbance::different_lists ? lacking_list(index) : m_list;
      }
      self.limiter.set_members(*self.names, !cut_off && m_rows.contains(self.name), now);
    }
    for (std::size_t i = 0; i < k_upstreams.size(); ++i) {
      const auto jitter = random_time(k_step.count());
      if (self.limiter.may_send(k_upstreams[i], k_bound, now + jitter)) {
        self.limiter.on_sent(k_upstreams[i], k_bound, now + jitter);
        m_sent[i].push_back(now + jitter);
      }
    }
  }

  // Returns the list without a fifth of the names, which are the same all the time.
  [[nodiscard]] std::shared_ptr<const std::vector<std::string>> lacking_list(std::size_t index) const {
    random_source lacking(m_seed + (index << 32U));
    auto names = *m_list;
    std::erase_if(names, [&](const std::string&) { return random_index(lacking, 5) == 0; });
    return std::make_shared<std::vector<std::string>>(std::move(names));
  }

  run_result evaluate(milliseconds length) {
    run_result result;
    std::size_t late = 0;
    for (auto& times : m_sent) {
      std::sort(times.begin(), times.end());
      for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= seconds{1}) {
          ++first;
        }
        result.max_in_a_second = std::max(result.max_in_a_second, last - first + 1);
        late += times[last] >= k_start + length / 2 ? 1 : 0;
      }
    }
    const double seconds_counted = static_cast<double>(length.count()) / 2000;
    result.used_share = static_cast<double>(late) / (seconds_counted * k_bound * k_upstreams.size());
    return result;
  }

  disturbance m_kind;
  std::uint64_t m_seed;
  random_source m_random;
  std::vector<simulated_gateway> m_gateways;
  std::set<std::string> m_rows;
  std::shared_ptr<const std::vector<std::string>> m_list;
  std::array<std::vector<time_point>, k_upstreams.size()> m_sent;
};

struct fleet {
  std::size_t size;
  std::uint64_t runs;  // For each disturbance.
};

class cold_rate_simulation : public ::testing::TestWithParam<fleet> {};

// The environment variable SEED selects the first seed.
TEST_P(cold_rate_simulation, never_exceeds_the_bound_in_any_second) {
  const char* text = std::getenv("SEED");
  const std::uint64_t first = text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  const auto [size, runs] = GetParam();
  for (const disturbance kind : k_disturbances) {
    std::size_t max = 0;
    double min_share = 1;
    double sum = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
      const run_result result = simulation(size, kind, seed).run();
      ASSERT_LE(result.max_in_a_second, k_bound)
          << size << " gateways, disturbance " << static_cast<int>(kind) << ", seed " << seed;
      max = std::max(max, result.max_in_a_second);
      min_share = std::min(min_share, result.used_share);
      sum += result.used_share;
    }
    std::cout << size << " gateways, disturbance " << static_cast<int>(kind) << ", seeds " << first << " to "
              << first + runs - 1 << ": at most " << max << " of " << k_bound
              << " requests in a second, share used " << sum / static_cast<double>(runs) << " (at least "
              << min_share << ")\n";
    if (kind == disturbance::calm) {
      EXPECT_GE(min_share, 0.35);
    } else if (kind == disturbance::joins) {
      EXPECT_GE(min_share, 0.25);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(fleets, cold_rate_simulation,
                         ::testing::Values(fleet{18, 400}, fleet{64, 120}, fleet{148, 16}, fleet{1200, 1}));

}  // namespace
}  // namespace cuminpath::gateway
