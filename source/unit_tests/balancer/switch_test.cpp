// The whole switch protocol: leaders and workers of a group over engines with late, lost and repeated orders,
// frozen and restarted balancers, lost reports and ranks that restart. In every pass all ranks must have the
// same map.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "../support/property.h"
#include "core/balancer/rank_worker.h"
#include "core/balancer/switch_leader.h"
#include "engine_group.h"

namespace cuminpath::balancer {
namespace {

constexpr std::uint32_t k_ranks = 4;
constexpr milliseconds k_tick{20};
constexpr milliseconds k_silent{700};
constexpr time_point k_start{seconds{100}};

struct faults {
  double lost_orders = 0;   // Share of orders without an answer, carried out 2 to 12 s later.
  double lost_reports = 0;  // Share of reports and directives that do not arrive.
  double freezes = 0;       // A balancer stands still for up to 4 s, this often a second.
  double kills = 0;         // A balancer starts anew, this often a second.
  double restarts = 0;      // A rank restarts, this often a second.
  bool fencing = true;
};

struct balancer {
  rank_worker worker;
  std::vector<std::unique_ptr<rank_worker>> remote{k_ranks};
  switch_leader leader;
  std::vector<std::optional<rank_view>> views{k_ranks};
  std::vector<time_point> heard{k_ranks};
  std::uint64_t token = 0;
  std::uint64_t versions = 0;
  time_point running_since{};
  time_point frozen_until{};
  // Orders that the balancer was about to give when it froze.
  std::vector<std::pair<std::uint32_t, order>> pending;
};

class world {
public:
  world(std::uint64_t seed, faults with) : m_random(seed), m_faults(with), m_group(k_ranks, with.fencing) {
    for (std::uint32_t i = 0; i < k_ranks; ++i) {
      m_balancers.push_back(std::make_unique<balancer>());
      m_balancers.back()->running_since = k_start;
    }
  }

  void run(seconds length, bool with_faults) {
    for (const time_point end = m_now + length; m_now < end; m_now += k_tick) {
      if (with_faults) {
        inject();
      }
      for (std::uint32_t rank = 0; rank < k_ranks; ++rank) {
        if (m_balancers[rank]->frozen_until <= m_now) {
          turn(rank, with_faults);
        }
      }
      // Idle for whole seconds at times: passes begin only with work.
      const bool idle = std::chrono::duration_cast<seconds>(m_now.time_since_epoch()).count() % 5 == 0;
      m_group.tick(m_now, !idle && chance(0.3));
      if (m_group.mixed()) {
        return;
      }
    }
  }

  [[nodiscard]] const engine_group& group() const { return m_group; }
  [[nodiscard]] std::uint64_t switches() const { return m_switches; }

private:
  bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
  milliseconds any(std::int64_t low, std::int64_t high) {
    return milliseconds{std::uniform_int_distribution<std::int64_t>(low, high)(m_random)};
  }
  bool each_second(double rate) { return chance(rate * std::chrono::duration<double>(k_tick).count()); }

  void inject() {
    const auto rank = static_cast<std::uint32_t>(random_index(m_random, k_ranks));
    if (each_second(m_faults.freezes)) {
      m_balancers[rank]->frozen_until = m_now + any(200, 4000);
    }
    if (each_second(m_faults.kills)) {
      m_balancers[rank] = std::make_unique<balancer>();
      m_balancers[rank]->running_since = m_now + any(100, 1500);
      m_balancers[rank]->frozen_until = m_balancers[rank]->running_since;
    }
    if (each_second(m_faults.restarts)) {
      m_group.restart();
    }
  }

  void give(rank_worker& worker, std::uint32_t rank, const order& value, bool with_faults) {
    if (with_faults && chance(m_faults.lost_orders)) {
      m_group.apply_later(rank, value, m_now + any(2000, 12000));
      worker.on_result(order_result::no_answer, m_now);
    } else {
      worker.on_result(m_group.apply(rank, value, m_now), m_now);
    }
  }

  void work(balancer& self, rank_worker& worker, std::uint32_t rank, bool with_faults) {
    worker.on_status(m_group.status(rank));
    if (auto next = worker.next_order(m_now)) {
      // A process can stand still between its decision and its order.
      if (with_faults && chance(m_faults.freezes * 0.02)) {
        self.frozen_until = m_now + any(200, 4000);
        self.pending.emplace_back(rank, *next);
        worker.on_result(order_result::no_answer, m_now);
        return;
      }
      give(worker, rank, *next, with_faults);
    }
  }

  void turn(std::uint32_t own, bool with_faults) {
    balancer& self = *m_balancers[own];
    for (const auto& [rank, value] : std::exchange(self.pending, {})) {
      m_group.apply(rank, value, m_now);
    }
    work(self, self.worker, own, with_faults);
    if (self.frozen_until > m_now) {
      return;
    }
    note(self, own, own, self.worker);
    for (std::uint32_t other = 0; other < k_ranks; ++other) {
      balancer& peer = *m_balancers[other];
      if (other != own && peer.frozen_until <= m_now && !(with_faults && chance(m_faults.lost_reports))) {
        note(peer, own, own, self.worker);
        peer.heard[own] = m_now;
      }
    }
    lead(self, own, with_faults);
  }

  void note(balancer& at, std::uint32_t rank, std::uint32_t read_rank, const rank_worker& worker) {
    at.views[rank] = rank_view{.status = m_group.status(read_rank),
                               .at = m_now,
                               .disarmed_token = worker.disarmed_token(),
                               .disarmed_epoch = worker.disarmed_epoch(),
                               .refused_token = worker.refused_token(),
                               .followed_token = worker.followed_token()};
  }

  void lead(balancer& self, std::uint32_t own, bool with_faults) {
    bool lowest = m_now - self.running_since >= seconds{1};
    for (std::uint32_t rank = 0; rank < own; ++rank) {
      lowest = lowest && m_now - self.heard[rank] > k_silent;
    }
    if (!lowest) {
      self.token = 0;
      self.leader.step(self.views, own, 0, m_now);
      return;
    }
    drive_silent(self, own, with_faults);
    const phase before = self.leader.current();
    self.leader.step(self.views, own, self.token, m_now);
    const bool outdated = self.leader.outdated_token() != 0 && self.token <= self.leader.outdated_token();
    if ((self.token == 0 && chance(0.1)) || outdated) {
      self.token = ++m_tokens;
      self.versions = 0;
    }
    if (self.leader.current() == phase::idle && chance(0.05)) {
      const std::uint64_t version = self.token * 1000 + ++self.versions;
      // The content differs from version to version, as plans do.
      if (self.leader.start(self.views, self.token, version,
                            rank_map(1, {{static_cast<std::uint32_t>(version)}}), m_now)) {
        ++m_switches;
      }
    }
    if (self.leader.current() == phase::idle && before == phase::idle) {
      return;
    }
    for (std::uint32_t rank = 0; rank < k_ranks; ++rank) {
      balancer& peer = *m_balancers[rank];
      if (rank == own) {
        self.worker.set_directive(self.leader.order());
      } else if (peer.frozen_until <= m_now && !(with_faults && chance(m_faults.lost_reports))) {
        peer.worker.set_directive(self.leader.order());
      }
      if (self.remote[rank]) {
        self.remote[rank]->set_directive(self.leader.order());
      }
    }
  }

  void drive_silent(balancer& self, std::uint32_t own, bool with_faults) {
    for (std::uint32_t rank = 0; rank < k_ranks; ++rank) {
      if (rank == own || m_now - self.heard[rank] <= k_silent) {
        self.remote[rank].reset();
        continue;
      }
      if (!self.remote[rank]) {
        self.remote[rank] = std::make_unique<rank_worker>();
        self.remote[rank]->set_directive(self.leader.order());
      }
      work(self, *self.remote[rank], rank, with_faults);
      if (self.frozen_until > m_now) {
        return;
      }
      note(self, rank, rank, *self.remote[rank]);
    }
  }

  random_source m_random;
  faults m_faults;
  engine_group m_group;
  std::vector<std::unique_ptr<balancer>> m_balancers;
  time_point m_now = k_start;
  std::uint64_t m_tokens = 0;
  std::uint64_t m_switches = 0;
};

TEST(map_switch, completes_within_a_few_passes_without_faults) {
  world all(1, {});
  all.run(seconds{20}, false);
  EXPECT_FALSE(all.group().mixed());
  EXPECT_GT(all.switches(), 5U);
  EXPECT_GT(all.group().map_version(), 0U);
}

// Runs with faults, then some seconds without: no pass may be mixed, and the group must go on afterwards.
void expect_safe_and_live(std::uint64_t seed, faults with) {
  world all(seed, with);
  all.run(seconds{40}, true);
  RC_ASSERT(!all.group().mixed());
  all.run(seconds{16}, false);
  RC_ASSERT(!all.group().mixed());
  const std::uint64_t passes = all.group().passes();
  const std::uint64_t switches = all.switches();
  all.run(seconds{8}, false);
  RC_ASSERT(!all.group().mixed());
  RC_ASSERT(all.group().passes() > passes);
  RC_ASSERT(all.switches() > switches);
}

TEST(map_switch, no_pass_is_mixed_when_orders_are_lost_and_late) {
  EXPECT_TRUE(support::check_property(
      60, [](std::uint64_t seed) { expect_safe_and_live(seed, {.lost_orders = 0.4, .lost_reports = 0.1}); }));
}

TEST(map_switch, no_pass_is_mixed_when_balancers_freeze_and_start_anew) {
  EXPECT_TRUE(support::check_property(400, [](std::uint64_t seed) {
    expect_safe_and_live(seed, {.lost_orders = 0.2, .lost_reports = 0.2, .freezes = 0.6, .kills = 0.3});
  }));
}

TEST(map_switch, no_pass_is_mixed_when_ranks_restart) {
  EXPECT_TRUE(support::check_property(400, [](std::uint64_t seed) {
    expect_safe_and_live(
        seed, {.lost_orders = 0.3, .lost_reports = 0.1, .freezes = 0.3, .kills = 0.1, .restarts = 0.2});
  }));
}

}  // namespace
}  // namespace cuminpath::balancer
