// Many gateways place requests by loads that reach them late. The load is that of a steady day: two thirds of
// all places are taken on average.

#include <gtest/gtest.h>

#include <algorithm>
#include <queue>
#include <vector>

#include "core/common/random.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {
namespace {

constexpr std::size_t k_gateways = 48;
constexpr std::size_t k_upstreams = 64;
constexpr std::uint32_t k_slots = 10;
constexpr milliseconds k_reports{200};
constexpr milliseconds k_service_time{1650};
constexpr double k_requests_per_ms = 0.6 * k_upstreams * k_slots / 1650;
constexpr milliseconds k_length{8000};

class gateways_with_late_reports {
public:
  // `least` takes the least loaded of all upstreams that a gateway knows, else the table chooses.
  gateways_with_late_reports(bool least, std::uint64_t seed)
      : m_least(least), m_random(seed), m_tables(k_gateways), m_taken(k_upstreams) {
    std::vector<upstream_record> records;
    for (std::size_t i = 0; i < k_upstreams; ++i) {
      const std::string id = "u" + std::to_string(i);
      records.push_back(
          {.id = id, .service = "s", .address = id + ":80", .availability_zone = "z", .slots = k_slots});
    }
    for (auto& table : m_tables) {
      table.apply(records, time_point(), false);
    }
  }

  // Share of the requests that found all places of their upstream taken.
  double share_at_full_upstreams() {
    for (int ms = 0; ms < k_length.count(); ++ms) {
      const time_point now{milliseconds(ms)};
      end_requests(now);
      report(ms);
      std::poisson_distribution<int> arrivals(k_requests_per_ms);
      for (int i = arrivals(m_random); i > 0; --i) {
        begin_request(now);
      }
    }
    return static_cast<double>(m_full) / static_cast<double>(m_requests);
  }

private:
  struct open_request {
    time_point until;
    std::size_t gateway = 0;
    std::size_t upstream = 0;
    bool operator>(const open_request& other) const { return until > other.until; }
  };

  static std::size_t number_of(const upstream_table::upstream& chosen) {
    return static_cast<std::size_t>(std::stoul(chosen.record.id.substr(1)));
  }

  std::size_t place(std::size_t gateway, time_point now) {
    const auto& table = m_tables[gateway];
    if (!m_least) {
      return number_of(*table.choose("s", {.availability_zone = "z", .max_fill = 10}, now, m_random));
    }
    std::size_t best = 0;
    std::uint32_t least = 0;
    const std::size_t first = random_index(m_random, k_upstreams);
    for (std::size_t i = 0; i < k_upstreams; ++i) {
      const std::size_t number = (first + i) % k_upstreams;
      const auto* known = table.find("u" + std::to_string(number));
      if (i == 0 || known->own + known->peers < least) {
        best = number;
        least = known->own + known->peers;
      }
    }
    return best;
  }

  void begin_request(time_point now) {
    const std::size_t gateway = random_index(m_random, k_gateways);
    const std::size_t upstream = place(gateway, now);
    m_tables[gateway].on_started("u" + std::to_string(upstream), now);
    ++m_requests;
    m_full += m_taken[upstream] >= k_slots ? 1 : 0;
    ++m_taken[upstream];
    std::uniform_int_distribution<std::int64_t> spread(k_service_time.count() / 3,
                                                       k_service_time.count() * 5 / 3);
    m_open.push({now + milliseconds(spread(m_random)), gateway, upstream});
  }

  void end_requests(time_point now) {
    while (!m_open.empty() && m_open.top().until <= now) {
      --m_taken[m_open.top().upstream];
      m_tables[m_open.top().gateway].on_ended("u" + std::to_string(m_open.top().upstream));
      m_open.pop();
    }
  }

  // Each gateway reports at its own time.
  void report(int ms) {
    for (std::size_t gateway = 0; gateway < k_gateways; ++gateway) {
      if (ms % k_reports.count() != static_cast<int>(gateway * k_reports.count() / k_gateways)) {
        continue;
      }
      const auto loads = m_tables[gateway].own_loads();
      for (std::size_t other = 0; other < k_gateways; ++other) {
        if (other != gateway) {
          m_tables[other].set_peer_loads("g" + std::to_string(gateway), loads);
        }
      }
    }
  }

  bool m_least;
  random_source m_random;
  std::vector<upstream_table> m_tables;
  std::vector<std::uint32_t> m_taken;
  std::priority_queue<open_request, std::vector<open_request>, std::greater<>> m_open;
  std::size_t m_requests = 0;
  std::size_t m_full = 0;
};

TEST(stale_loads, few_requests_meet_a_full_upstream_while_a_third_of_all_places_is_free) {
  for (const std::uint64_t seed : {1U, 2U}) {
    const double least = gateways_with_late_reports(true, seed).share_at_full_upstreams();
    const double own = gateways_with_late_reports(false, seed).share_at_full_upstreams();
    RecordProperty("least_outstanding", std::to_string(least));
    RecordProperty("chosen", std::to_string(own));
    EXPECT_LT(own, least / 4) << "seed " << seed << ": " << own << ", least outstanding " << least;
  }
}

}  // namespace
}  // namespace cuminpath::gateway
