// Routing against the number of upstreams, and scheduling against the number of workspaces.
#include <fmt/format.h>

#include <algorithm>
#include <optional>

#include "bench/capacity/measure.h"
#include "bench/capacity/sample_fleet.h"
#include "core/routing/router.h"
#include "core/scheduling/scheduler.h"
#include "core/wire/codec.h"

namespace cuminpath::bench {
namespace {

constexpr int k_decisions = 20000;
constexpr int k_ticks = 200;
constexpr int k_rounds = 5;

std::vector<routing::upstream_info> upstream_infos(std::uint32_t count) {
  std::vector<routing::upstream_info> infos;
  infos.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    // Consecutive upstreams are the ranks of a group, which lies in one availability zone.
    const auto group = i / k_ranks;
    infos.push_back({fmt::format("engine-{:05}", i), fmt::format("model-{}", group % k_models),
                     zone_name(group), region_name(group), peer_address(i), 8});
  }
  return infos;
}

wire::load_report report_of(const std::string& name) {
  return {.upstream = name,
          .running = 6,
          .queued = 3,
          .slots = 8,
          .draining = false,
          .upstream_healthy = true,
          .classes = {{"live", 1, 4, 120}, {"booking", 1, 1, 700}, {"digest", 1, 1, 9000}}};
}

double envelope_bytes(wire::message message) {
  return static_cast<double>(wire::encode({.sender = "agent-host-00000",
                                           .sender_address = peer_address(0),
                                           .sender_incarnation = incarnation{0x123456789abcdef0},
                                           .sequence = 100000,
                                           .version = configuration_version{1000000},
                                           .logical_time = 0x0193000000000000,
                                           .messages = {std::move(message)}})
                                 .size());
}

void measure_routing(std::uint32_t upstreams) {
  const auto infos = upstream_infos(upstreams);
  random_source random(1);
  const double heap_before = heap_bytes();
  std::optional<routing::router> router;
  const double set_us = cpu_us_of([&] {
    router.emplace(routing::router_options{
        .entry_name = "entry-00000", .availability_zone = zone_name(0), .region = region_name(0)});
    router->set_upstreams(k_start, infos);
  });
  const double state_bytes = heap_bytes() - heap_before;
  const double set_again_us = cpu_us_of([&] { router->set_upstreams(k_start, infos); });
  const auto subset = router->subset();
  const double report_us = cpu_us_of([&] {
    for (const auto id : subset) {
      router->on_load_report(k_start, report_of(router->upstream(id).name));
    }
  });
  double choose_us = 1e12;
  double tick_us = 1e12;
  for (int round = 0; round < k_rounds; ++round) {
    std::uint64_t prefix = 0;
    choose_us =
        std::min(choose_us, cpu_us_of([&] {
                              for (int i = 0; i < k_decisions; ++i) {
                                const auto id = router->choose(k_start, {"model-0", ++prefix, {}}, random);
                                router->on_attempt_started(k_start, *id);
                                router->on_attempt_finished(k_start, *id, routing::attempt_outcome::succeeded,
                                                            milliseconds(100));
                              }
                            }) / k_decisions);
    tick_us = std::min(tick_us, cpu_us_of([&] {
                                  for (int i = 0; i < k_ticks; ++i) {
                                    router->tick(k_start);
                                  }
                                }) / k_ticks);
  }
  print_point("routing", "upstreams", upstreams,
              {{"state_bytes", state_bytes},
               {"set_upstreams_us", set_us},
               {"set_again_us", set_again_us},
               {"subset", static_cast<double>(subset.size())},
               {"report_us", report_us / static_cast<double>(subset.size())},
               {"report_bytes", envelope_bytes(report_of("engine-00000"))},
               {"subscribe_bytes", envelope_bytes(wire::subscribe_load{10000})},
               {"choose_us", choose_us},
               {"tick_us", tick_us}});
}

void measure_scheduling(std::uint32_t workspaces) {
  const auto manifest = sample_manifest(k_ranks, workspaces);
  const double heap_before = heap_bytes();
  scheduling::scheduler target({.max_queued = 100000, .feasibility = false});
  const double configure_us =
      cpu_us_of([&] { target.configure(k_start, manifest.classes, manifest.workspaces, 32); });
  const double state_bytes = heap_bytes() - heap_before;
  std::vector<scheduling::decision> decisions;
  const double idle_tick_us = cpu_us_of([&] {
                                for (int i = 0; i < k_ticks; ++i) {
                                  target.tick(k_start + milliseconds(10) * i, decisions);
                                }
                              }) /
                              k_ticks;
  std::uint64_t next = 0;
  const auto submit = [&] {
    const auto id = ++next;
    target.submit(k_start, {scheduling::job_id{id}, manifest.workspaces[id % workspaces].name,
                            manifest.classes[id % 3].name, 100, k_start + std::chrono::hours(1), false});
  };
  const double submit_us = cpu_us_of([&] {
    while (next < 4ULL * workspaces) {
      submit();
    }
  });
  const double queued_bytes = heap_bytes() - heap_before - state_bytes;
  std::vector<scheduling::job_id> running;
  double tick_us = 0;
  for (int i = 0; i < k_ticks; ++i) {
    const auto now = k_start + milliseconds(10) * (k_ticks + i);
    decisions.clear();
    tick_us += cpu_us_of([&] { target.tick(now, decisions); }) / k_ticks;
    for (const auto& value : decisions) {
      if (const auto* start = std::get_if<scheduling::start_job>(&value)) {
        running.push_back(start->id);
      }
    }
    target.on_finished(now, running.front());
    running.erase(running.begin());
    submit();
  }
  print_point("scheduling", "workspaces", workspaces,
              {{"state_bytes", state_bytes},
               {"configure_us", configure_us},
               {"idle_tick_us", idle_tick_us},
               {"submit_us", submit_us / (4.0 * workspaces)},
               {"queued_job_bytes", queued_bytes / (4.0 * workspaces)},
               {"busy_tick_us", tick_us}});
}

}  // namespace

void routing_slope() {
  for (const std::uint32_t upstreams : {1536U, 3008U, 6016U, 12000U}) {
    measure_routing(upstreams);
  }
}

void scheduling_slope() {
  for (const std::uint32_t workspaces : {260U, 525U, 1050U, 2100U}) {
    measure_scheduling(workspaces);
  }
}

}  // namespace cuminpath::bench
