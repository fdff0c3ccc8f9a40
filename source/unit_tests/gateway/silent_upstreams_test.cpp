// Simulates gateways in virtual time that dispatch streams to upstreams, some of which hang, and that tell
// each other in reports what they see.
#include "core/gateway/silent_upstreams.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/common/random.h"
#include "core/gateway/upstream_table.h"

namespace cuminpath::gateway {
namespace {

constexpr milliseconds k_step{10};
constexpr milliseconds k_tick{50};
constexpr milliseconds k_report_interval{200};
constexpr milliseconds k_pass{110};
constexpr milliseconds k_first_byte{200};
constexpr milliseconds k_stream_time{1800};
// A gateway asks another upstream after 1.2 s, and resets the silent one when that answers.
constexpr milliseconds k_release{1400};
constexpr milliseconds k_hang_begin{5000};
constexpr milliseconds k_hang{5000};
constexpr milliseconds k_end{14000};
constexpr std::size_t k_broadcast_fleet_size = 32;  // As in report_schedule_options.
constexpr double k_report_loss = 0.01;

struct scenario {
  std::size_t gateways = 18;
  std::size_t upstreams = 72;
  double requests_per_s = 300;
  bool shared = true;  // Gateways use what they know.
  // Returns true if no output of the upstream reaches the gateway.
  std::function<bool(std::size_t gateway, std::size_t upstream, milliseconds at)> hangs =
      [](auto, std::size_t upstream, milliseconds at) {
        return upstream < 8 && at >= k_hang_begin && at < k_hang_begin + k_hang;
      };
  // Returns true while the process of the gateway is suspended.
  std::function<bool(std::size_t gateway, milliseconds at)> suspended = [](auto, auto) { return false; };
};

class fleet_simulation {
public:
  fleet_simulation(scenario setup, std::uint64_t seed) : m_setup(std::move(setup)), m_random(seed) {
    std::vector<upstream_record> records;
    for (std::size_t i = 0; i < m_setup.upstreams; ++i) {
      const std::string id = "u" + std::to_string(i);
      records.push_back(
          {.id = id, .service = "s", .address = id + ":80", .availability_zone = "z", .slots = 10});
    }
    m_gateways.resize(m_setup.gateways);
    for (gateway& each : m_gateways) {
      each.table.apply(records, time_point{}, false);
    }
    first_attempts.resize(m_setup.upstreams);
    first_report.resize(m_setup.upstreams, k_end);
    late_first_attempts.resize(m_setup.upstreams);
    for (std::size_t i = 0; i < m_setup.upstreams; ++i) {
      m_ids.push_back(records[i].id);
      m_hashes.push_back(m_gateways[0].table.find(records[i].id)->hash);
      m_numbers.emplace(m_hashes.back(), i);
    }
  }

  // Time in which a gateway reaches all others.
  [[nodiscard]] milliseconds report_round() const {
    return m_gateways.size() <= k_broadcast_fleet_size ? k_report_interval : 4 * k_report_interval;
  }

  void run() {
    for (; m_at < k_end; m_at += k_step) {
      advance_streams();
      for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        if (!m_setup.suspended(i, m_at)) {
          tick(i);
        }
      }
      const double mean = m_setup.requests_per_s * static_cast<double>(k_step.count()) / 1000;
      for (int i = std::poisson_distribution<int>(mean)(m_random); i > 0; --i) {
        const std::size_t chosen = random_index(m_random, m_gateways.size());
        if (!m_setup.suspended(chosen, m_at)) {
          start_stream(chosen, true);
        }
      }
    }
  }

  std::vector<std::uint32_t> first_attempts;       // While the upstream hangs for the gateway.
  std::vector<std::uint32_t> late_first_attempts;  // Those after the first suspicion and a round of reports.
  std::vector<milliseconds> first_report;          // When the first gateway suspected the upstream.
  milliseconds longest_out{0};  // Longest time for which a gateway left out an upstream that works for it.
  std::size_t max_silent = 0;   // Most upstreams that a gateway left out at a time.
  std::uint32_t refused = 0;

private:
  struct gateway {
    upstream_table table;
    silent_upstreams silent;
    milliseconds last_report{0};
    std::size_t round = 0;
    std::map<std::size_t, milliseconds> out_since;  // Upstreams that are out, but work for this gateway.
  };
  struct stream {
    std::size_t gateway = 0;
    std::size_t upstream = 0;
    milliseconds begun{0};
    milliseconds next_event{0};
    milliseconds last_event{0};
    milliseconds work_left{0};
  };

  [[nodiscard]] static time_point time_of(milliseconds at) { return time_point{} + hours{1} + at; }
  [[nodiscard]] static std::string name(std::size_t gateway) { return "g" + std::to_string(gateway); }

  void start_stream(std::size_t number, bool first) {
    gateway& from = m_gateways[number];
    choice_options options{.availability_zone = "z"};
    if (first && m_setup.shared) {
      options.trials = from.silent.trials();
    }
    const auto* target = from.table.choose("s", options, time_of(m_at), m_random);
    if (target == nullptr) {
      ++refused;
      return;
    }
    const std::size_t upstream = m_numbers.at(target->hash);
    if (first && m_setup.hangs(number, upstream, m_at)) {
      ++first_attempts[upstream];
      late_first_attempts[upstream] += m_at > first_report[upstream] + report_round() ? 1 : 0;
    }
    from.silent.on_started(target->hash, "s", time_of(m_at));
    from.table.on_started(target->record.id, time_of(m_at));
    m_streams.push_back({number, upstream, m_at, m_at + k_first_byte, m_at, k_stream_time});
  }

  void advance_streams() {
    std::vector<std::size_t> released;  // Gateways that ask another upstream.
    std::erase_if(m_streams, [&](stream& each) {
      gateway& from = m_gateways[each.gateway];
      if (m_setup.suspended(each.gateway, m_at)) {
        return false;
      }
      const std::string& id = m_ids[each.upstream];
      const std::uint32_t hash = m_hashes[each.upstream];
      const bool hangs = m_setup.hangs(each.gateway, each.upstream, m_at);
      if (!hangs && m_at >= each.next_event) {
        from.silent.on_progress(hash, time_of(m_at));
        // Passes of the group are common to all streams.
        each.next_event = (m_at / k_pass + 1) * k_pass;
        each.last_event = m_at;
        each.work_left -= k_pass;
      }
      const bool stuck = m_at - each.last_event >= k_release;
      if (each.work_left.count() > 0 && !stuck) {
        return false;
      }
      from.silent.on_ended(hash);
      from.table.on_ended(id);
      if (stuck) {
        released.push_back(each.gateway);
      }
      return true;
    });
    for (const std::size_t number : released) {
      start_stream(number, false);
    }
  }

  void tick(std::size_t number) {
    if (m_at % k_tick != k_step * (number % 5)) {
      return;
    }
    gateway& self = m_gateways[number];
    std::vector<std::string> others;
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
      if (i != number) {
        others.push_back(name(i));
      }
    }
    for (const auto& change : self.silent.update(time_of(m_at), name(number), others)) {
      if (change.type == silent_upstreams::change::kind::suspected) {
        auto& first = first_report[m_numbers.at(change.upstream)];
        first = std::min(first, m_at);
      }
    }
    max_silent = std::max(max_silent, self.silent.silent().size());
    if (m_setup.shared) {
      self.table.set_silent(self.silent.silent());
    }
    std::map<std::size_t, milliseconds> out_since;
    for (const std::uint32_t hash : self.silent.silent()) {
      const std::size_t upstream = m_numbers.at(hash);
      if (!m_setup.hangs(number, upstream, m_at)) {
        const auto since = self.out_since.find(upstream);
        const milliseconds from = since == self.out_since.end() ? m_at : since->second;
        out_since.emplace(upstream, from);
        longest_out = std::max(longest_out, m_at - from);
      }
    }
    self.out_since = std::move(out_since);
    const bool news = self.silent.take_news();
    if (m_at - self.last_report >= (news ? k_report_interval / 2 : k_report_interval)) {
      send_report(number);
    }
  }

  // Three availability zones: in a fleet over 32 gateways, the others get one report in four.
  void send_report(std::size_t number) {
    gateway& self = m_gateways[number];
    self.last_report = m_at;
    ++self.round;
    const silence_report report = self.silent.report(time_of(m_at));
    const auto loads = self.table.local_loads();
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
      const bool near =
          m_gateways.size() <= k_broadcast_fleet_size || i % 3 == number % 3 || (i / 3 + self.round) % 4 == 0;
      const bool lost = std::bernoulli_distribution(k_report_loss)(m_random);
      if (i != number && near && !lost && !m_setup.suspended(i, m_at)) {
        m_gateways[i].table.set_member_loads(name(number), loads);
        m_gateways[i].silent.on_report(name(number), report, time_of(m_at));
      }
    }
  }

  scenario m_setup;
  random_source m_random;
  std::vector<gateway> m_gateways;
  std::vector<stream> m_streams;
  std::vector<std::string> m_ids;       // Of upstreams.
  std::vector<std::uint32_t> m_hashes;  // Of upstreams.
  std::map<std::uint32_t, std::size_t> m_numbers;
  milliseconds m_at{0};
};

std::uint32_t maximum(const std::vector<std::uint32_t>& counts) {
  return *std::max_element(counts.begin(), counts.end());
}

// Guards against gateways that each find the same silent upstreams by requests of their own.
TEST(silent_upstreams, get_at_most_three_first_attempts_after_the_first_reports) {
  for (const std::size_t gateways : {18U, 64U}) {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
      fleet_simulation alone({.gateways = gateways, .shared = false}, seed);
      alone.run();
      fleet_simulation fleet({.gateways = gateways}, seed);
      fleet.run();
      std::string counts;
      for (std::size_t i = 0; i < 8; ++i) {
        EXPECT_LE(fleet.late_first_attempts[i], 3U) << gateways << " gateways, seed " << seed;
        counts += std::to_string(fleet.first_attempts[i]) + "/" +
                  std::to_string(fleet.late_first_attempts[i]) + "/" +
                  std::to_string(alone.first_attempts[i]) + " at " +
                  std::to_string((fleet.first_report[i] - k_hang_begin).count()) + " ms, ";
      }
      EXPECT_EQ(maximum({fleet.first_attempts.begin() + 8, fleet.first_attempts.end()}), 0U);
      EXPECT_LE(fleet.longest_out, milliseconds{2000}) << gateways << " gateways, seed " << seed;
      RecordProperty("hang_" + std::to_string(gateways) + "_" + std::to_string(seed),
                     counts + "out wrongly for " + std::to_string(fleet.longest_out.count()) +
                         " ms, refused " + std::to_string(fleet.refused));
    }
  }
}

// Guards against a gateway behind a slow link that takes a sound upstream from the others, and against
// upstreams that stay out because nobody tries them. With few requests, nobody else has progress from the
// upstream.
TEST(silent_upstreams, one_behind_a_slow_link_is_back_within_two_seconds_elsewhere) {
  for (const double rate : {20.0, 60.0, 300.0}) {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
      fleet_simulation fleet(
          {.requests_per_s = rate,
           .hangs = [](std::size_t gateway, std::size_t upstream,
                       milliseconds at) { return gateway == 0 && upstream < 8 && at >= k_hang_begin; }},
          seed);
      fleet.run();
      EXPECT_LE(fleet.longest_out, milliseconds{2000}) << rate << " requests a second, seed " << seed;
      RecordProperty("link_" + std::to_string(static_cast<int>(rate)) + "_" + std::to_string(seed),
                     std::to_string(fleet.longest_out.count()) + " ms, suspected " +
                         std::to_string(std::count_if(fleet.first_report.begin(), fleet.first_report.end(),
                                                      [](auto at) { return at < k_end; })));
    }
  }
}

// Guards against suspicions whose cause is shared: a held group, or a pause of the gateway's own process. If
// half of the upstreams are held, the gateways may use the other half, but all are to be back soon after the
// end.
TEST(silent_upstreams, shared_causes_raise_no_suspicion) {
  const auto paused = [](milliseconds at) { return at >= k_hang_begin && at < k_hang_begin + seconds{4}; };
  for (const std::size_t held : {72U, 36U}) {
    fleet_simulation fleet(
        {.hangs = [&](auto, std::size_t upstream, milliseconds at) { return upstream < held && paused(at); }},
        1);
    fleet.run();
    EXPECT_EQ(fleet.max_silent == 0, held == 72);
    EXPECT_LE(fleet.longest_out, milliseconds{500});
    RecordProperty("held_" + std::to_string(held),
                   std::to_string(fleet.max_silent) + " out, " + std::to_string(fleet.longest_out.count()));
  }
  fleet_simulation fleet(
      {.hangs = [](auto, auto, auto) { return false; },
       .suspended = [&](std::size_t gateway, milliseconds at) { return gateway == 3 && paused(at); }},
      1);
  fleet.run();
  EXPECT_EQ(fleet.max_silent, 0U);
}

// Guards against a fleet that takes more upstreams out than the others can stand in for.
TEST(silent_upstreams, at_most_a_quarter_of_a_service_is_left_out) {
  upstream_table table;
  std::vector<upstream_record> records;
  for (int i = 0; i < 8; ++i) {
    const std::string id = "u" + std::to_string(i);
    records.push_back({.id = id, .service = "s", .address = id + ":80", .slots = 1});
  }
  table.apply(records, time_point{}, false);
  std::vector<std::uint32_t> hashes;
  std::transform(records.begin(), records.end(), std::back_inserter(hashes),
                 [&](const upstream_record& record) { return table.find(record.id)->hash; });
  table.set_silent(hashes);
  EXPECT_EQ(table.totals("s", time_point{}).upstreams, 6U);
  EXPECT_TRUE(table.find("u0")->silent);
  random_source random(1);
  for (int i = 0; i < 100; ++i) {
    EXPECT_FALSE(table.choose("s", {}, time_point{}, random)->silent);
  }
  EXPECT_EQ(table.choose("s", {.trials = std::span(hashes).first(1)}, time_point{}, random)->record.id, "u0");
  table.set_silent({});
  EXPECT_EQ(table.totals("s", time_point{}).upstreams, 8U);
}

}  // namespace
}  // namespace cuminpath::gateway
