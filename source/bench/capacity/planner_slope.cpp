// Measures the cost of the expert map planner against the number of layers, for a group of 32 ranks with 256
// experts per layer.
#include <algorithm>

#include "bench/capacity/measure.h"
#include "bench/capacity/sample_fleet.h"
#include "bench/placement/drift_trace.h"
#include "core/placement/planner.h"
#include "core/wire/codec.h"

namespace cuminpath::bench {
namespace {

constexpr std::uint64_t k_seed = 20260203;
constexpr int k_plan_count = 4;  // One plan per hour of the trace.

void measure(std::uint32_t layers) {
  const placement::group_shape shape{
      .ranks = k_ranks, .layers = layers, .experts = 256, .slots_per_rank = 10};
  const placement::planner_options options{.expert_bytes = 44'000'000, .weight_store_bytes_per_s = 500e6};
  drift_trace trace(trace_kind::day, shape, k_seed);
  const std::vector<float> speeds(shape.ranks, 1.0F);
  const double heap_before = heap_bytes();
  auto map = placement::contiguous_map(shape);
  const auto initial_loads = trace.counts(0);
  const double map_and_load_bytes = heap_bytes() - heap_before;
  double max_us = 0;
  double total_us = 0;
  for (int hour = 0; hour < k_plan_count; ++hour) {
    const auto current_loads = trace.counts(hour);
    placement::plan new_plan;
    const double plan_us =
        cpu_us_of([&] { new_plan = placement::make_plan(shape, map, current_loads, speeds, options); });
    max_us = std::max(max_us, plan_us);
    total_us += plan_us;
    map = std::move(new_plan.map);
  }
  wire::expert_load report{.group = "group-1", .rank = 1, .step = 100000, .step_ms = 40, .layers = {}};
  for (const auto& layer : initial_loads) {
    auto& row = report.layers.emplace_back();
    for (const float count : layer) {
      row.push_back(static_cast<std::uint32_t>(count / static_cast<float>(k_ranks)));
    }
  }
  print_point("planner", "layers", layers,
              {{"state_bytes", map_and_load_bytes},
               {"plan_us", total_us / k_plan_count},
               {"longest_plan_us", max_us},
               {"map_bytes", static_cast<double>(placement::to_json(map).dump().size())},
               {"expert_load_bytes", static_cast<double>(wire::encode({.messages = {report}}).size())}});
}

}  // namespace

void planner_slope() {
  for (const std::uint32_t layers : {8U, 15U, 30U, 60U}) {
    measure(layers);
  }
}

}  // namespace cuminpath::bench
