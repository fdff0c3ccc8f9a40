// Simulates many gateways that dispatch requests by delayed load reports. The load is that of a steady day:
// two thirds of all slots are in use on average.

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
constexpr milliseconds k_report_interval{200};
constexpr milliseconds k_service_time{1650};
constexpr double k_requests_per_ms = 0.6 * k_upstreams * k_slots / 1650;
constexpr milliseconds k_duration{8000};

class delayed_reports_simulation {
public:
  // If `least_loaded` is set, a gateway chooses the least loaded of all upstreams that it knows, otherwise
  // upstream_table::choose() decides.
  delayed_reports_simulation(bool least_loaded, std::uint64_t seed)
      : m_choose_least_loaded(least_loaded), m_random(seed), m_tables(k_gateways), m_used_slots(k_upstreams) {
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

  // Returns the share of the requests whose upstream had no free slot.
  double run() {
    for (int ms = 0; ms < k_duration.count(); ++ms) {
      const time_point now{milliseconds(ms)};
      end_requests(now);
      report(ms);
      std::poisson_distribution<int> arrivals(k_requests_per_ms);
      for (int i = arrivals(m_random); i > 0; --i) {
        start_request(now);
      }
    }
    return static_cast<double>(m_requests_at_full_upstreams) / static_cast<double>(m_requests);
  }

private:
  struct open_request {
    time_point until;
    std::size_t gateway = 0;
    std::size_t upstream = 0;
    bool operator>(const open_request& other) const { return until > other.until; }
  };

  static std::size_t index_of(const upstream_table::upstream& chosen) {
    return static_cast<std::size_t>(std::stoul(chosen.record.id.substr(1)));
  }

  std::size_t choose_upstream(std::size_t gateway, time_point now) {
    const auto& table = m_tables[gateway];
    if (!m_choose_least_loaded) {
      return index_of(*table.choose("s", {.availability_zone = "z", .max_utilization = 10}, now, m_random));
    }
    std::size_t best = 0;
    std::uint32_t min_load = 0;
    const std::size_t first = random_index(m_random, k_upstreams);
    for (std::size_t i = 0; i < k_upstreams; ++i) {
      const std::size_t number = (first + i) % k_upstreams;
      const auto* known = table.find("u" + std::to_string(number));
      if (i == 0 || known->local_requests + known->member_requests < min_load) {
        best = number;
        min_load = known->local_requests + known->member_requests;
      }
    }
    return best;
  }

  void start_request(time_point now) {
    const std::size_t gateway = random_index(m_random, k_gateways);
    const std::size_t upstream = choose_upstream(gateway, now);
    m_tables[gateway].on_started("u" + std::to_string(upstream), now);
    ++m_requests;
    m_requests_at_full_upstreams += m_used_slots[upstream] >= k_slots ? 1 : 0;
    ++m_used_slots[upstream];
    std::uniform_int_distribution<std::int64_t> service_time_ms(k_service_time.count() / 3,
                                                                k_service_time.count() * 5 / 3);
    m_open_requests.push({now + milliseconds(service_time_ms(m_random)), gateway, upstream});
  }

  void end_requests(time_point now) {
    while (!m_open_requests.empty() && m_open_requests.top().until <= now) {
      --m_used_slots[m_open_requests.top().upstream];
      m_tables[m_open_requests.top().gateway].on_ended("u" + std::to_string(m_open_requests.top().upstream));
      m_open_requests.pop();
    }
  }

  // The reports of the gateways are staggered over the interval.
  void report(int ms) {
    for (std::size_t gateway = 0; gateway < k_gateways; ++gateway) {
      if (ms % k_report_interval.count() !=
          static_cast<int>(gateway * k_report_interval.count() / k_gateways)) {
        continue;
      }
      const auto loads = m_tables[gateway].local_loads();
      for (std::size_t other = 0; other < k_gateways; ++other) {
        if (other != gateway) {
          m_tables[other].set_member_loads("g" + std::to_string(gateway), loads);
        }
      }
    }
  }

  bool m_choose_least_loaded;
  random_source m_random;
  std::vector<upstream_table> m_tables;
  std::vector<std::uint32_t> m_used_slots;
  std::priority_queue<open_request, std::vector<open_request>, std::greater<>> m_open_requests;
  std::size_t m_requests = 0;
  std::size_t m_requests_at_full_upstreams = 0;
};

TEST(stale_loads, few_requests_reach_a_full_upstream_while_a_third_of_all_slots_is_free) {
  for (const std::uint64_t seed : {1U, 2U}) {
    const double least_loaded = delayed_reports_simulation(true, seed).run();
    const double chosen_by_table = delayed_reports_simulation(false, seed).run();
    RecordProperty("least_outstanding", std::to_string(least_loaded));
    RecordProperty("chosen", std::to_string(chosen_by_table));
    EXPECT_LT(chosen_by_table, least_loaded / 4)
        << "seed " << seed << ": " << chosen_by_table << ", least outstanding " << least_loaded;
  }
}

}  // namespace
}  // namespace cuminpath::gateway
