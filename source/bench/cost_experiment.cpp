// Experiment (d): cost of a routing decision and of a scheduler tick. It measures wall time, so the figures
// differ between runs; the ratios compare measurements of the same run.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "bench/experiments.h"
#include "core/routing/router.h"

namespace cuminpath::bench {
namespace {

constexpr int k_rounds = 15;
constexpr int k_decisions = 4000;
constexpr int k_ticks = 200;

double elapsed_ns(std::chrono::steady_clock::time_point from) {
  return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count();
}

routing::router make_router(std::uint32_t upstreams) {
  // The present fleet of 16 upstreams serves one model in one region; larger ones serve 13 models in three.
  const std::uint32_t models = upstreams <= 16 ? 1 : 13;
  const std::uint32_t zones = upstreams <= 16 ? 3 : 11;
  const std::uint32_t regions = upstreams <= 16 ? 1 : 3;
  std::vector<routing::upstream_info> infos;
  for (std::uint32_t i = 0; i < upstreams; ++i) {
    infos.push_back({fmt::format("engine-{}", i), fmt::format("m{}", i % models),
                     fmt::format("az-{}", i / models % zones),
                     fmt::format("region-{}", i / models % zones % regions),
                     fmt::format("10.0.{}.{}:1", i / 250, i % 250), 8});
  }
  routing::router target({.entry_name = "entry-1",
                          .availability_zone = "az-1",
                          .region = fmt::format("region-{}", 1 % regions),
                          .subset_size = 24});
  target.set_upstreams(k_start, infos);
  return target;
}

double measure(routing::router& target, random_source& random) {
  const auto from = std::chrono::steady_clock::now();
  std::uint64_t prefix = 0;
  for (int i = 0; i < k_decisions; ++i) {
    const auto id = target.choose(k_start, {"m0", ++prefix, {}}, random);
    target.on_attempt_started(k_start, *id);
    target.on_attempt_finished(k_start, *id, routing::attempt_outcome::succeeded, milliseconds(100));
  }
  return elapsed_ns(from) / k_decisions;
}

struct tick_cost {
  double submit_ns = 0;
  double tick_ns = 0;
};

// Measures submissions and ticks while every workspace has several queued jobs. In each tick, one run ends
// and one job is submitted.
tick_cost measure_ticks(std::uint32_t workspaces) {
  scheduling::scheduler target({.max_queued = 100000, .feasibility = false});
  std::vector<config::workspace> declared(workspaces);
  for (std::uint32_t i = 0; i < workspaces; ++i) {
    declared[i].name = fmt::format("w{}", i);
  }
  target.configure(k_start, sample_classes(), declared, 32);
  std::uint64_t next = 0;
  const char* classes[] = {"live", "booking", "digest"};
  const auto submit = [&] {
    const std::uint64_t id = ++next;
    target.submit(k_start, {scheduling::job_id{id}, declared[id % workspaces].name, classes[id % 3], 100,
                            k_start + std::chrono::hours(1), false});
  };
  auto from = std::chrono::steady_clock::now();
  while (next < 4 * static_cast<std::uint64_t>(workspaces)) {
    submit();
  }
  const double submit_ns = elapsed_ns(from) / static_cast<double>(next);
  std::vector<scheduling::decision> decisions;
  std::vector<scheduling::job_id> running;
  double tick_ns = 0;
  for (int i = 0; i < k_ticks; ++i) {
    const time_point now = k_start + milliseconds(10) * (i + 1);
    decisions.clear();
    from = std::chrono::steady_clock::now();
    target.tick(now, decisions);
    tick_ns += elapsed_ns(from) / k_ticks;
    for (const scheduling::decision& value : decisions) {
      running.push_back(std::get<scheduling::start_job>(value).id);
    }
    target.on_finished(now, running.front());
    running.erase(running.begin());
    submit();
  }
  return {submit_ns, tick_ns};
}

}  // namespace

std::vector<std::pair<std::uint32_t, double>> decision_costs() {
  std::vector<std::pair<std::uint32_t, double>> costs{{16, 1e12}, {900, 1e12}, {12000, 1e12}};
  std::vector<routing::router> routers;
  routers.reserve(costs.size());
  for (const auto& [size, cost] : costs) {
    routers.push_back(make_router(size));
  }
  random_source random(1);
  // Takes the minimum over interleaved rounds, which other load on the host disturbed least.
  for (int round = 0; round < k_rounds; ++round) {
    for (std::size_t i = 0; i < costs.size(); ++i) {
      costs[i].second = std::min(costs[i].second, measure(routers[i], random));
    }
  }
  return costs;
}

std::vector<table> cost_experiment() {
  table decisions{"routing_decision_cost",
                  "one choice with its start and end, affinity on, subset of at most 24; least of 15 rounds "
                  "(wall time; compare the ratios)",
                  {"upstreams known", "ns", "ratio to 16"},
                  {}};
  const auto costs = decision_costs();
  for (const auto& [size, cost] : costs) {
    decisions.rows.push_back({std::to_string(size), cost, cost / costs[0].second});
  }
  table ticks{"scheduler_tick_cost",
              "four queued jobs for each workspace, 32 slots, one run ends in each tick; least of 15 rounds "
              "(wall time; compare the ratios)",
              {"workspaces", "submit ns", "tick ns", "ratio to 10"},
              {}};
  double first_tick_ns = 0;
  for (const std::uint32_t workspaces : {10U, 210U, 2100U}) {
    tick_cost min_cost{1e12, 1e12};
    for (int round = 0; round < k_rounds; ++round) {
      const tick_cost value = measure_ticks(workspaces);
      min_cost = {std::min(min_cost.submit_ns, value.submit_ns), std::min(min_cost.tick_ns, value.tick_ns)};
    }
    first_tick_ns = first_tick_ns > 0 ? first_tick_ns : min_cost.tick_ns;
    ticks.rows.push_back(
        {std::to_string(workspaces), min_cost.submit_ns, min_cost.tick_ns, min_cost.tick_ns / first_tick_ns});
  }
  return {decisions, ticks};
}

}  // namespace cuminpath::bench
