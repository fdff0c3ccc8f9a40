// The planner for a group of 32 ranks with 256 experts in each layer, against the number of layers.
#include <algorithm>

#include "bench/capacity/measure.h"
#include "bench/capacity/sample_fleet.h"
#include "bench/placement/drift_trace.h"
#include "core/placement/planner.h"
#include "core/wire/codec.h"

namespace cuminpath::bench {
namespace {

constexpr std::uint64_t k_seed = 20260203;
constexpr int k_plans = 4;

void measure(std::uint32_t layers) {
  const placement::group_shape shape{
      .ranks = k_ranks, .layers = layers, .experts = 256, .slots_per_rank = 10};
  const placement::planner_options options{.expert_bytes = 44'000'000, .weight_store_bytes_per_s = 500e6};
  drift_trace trace(trace_kind::day, shape, k_seed);
  const std::vector<float> speeds(shape.ranks, 1.0F);
  const double before = heap_bytes();
  auto map = placement::contiguous_map(shape);
  const auto loads = trace.counts(0);
  const double state = heap_bytes() - before;
  double longest = 0;
  double sum = 0;
  for (int i = 0; i < k_plans; ++i) {
    const auto present = trace.counts(i);
    placement::plan made;
    const double cost = cpu_us_of([&] { made = placement::make_plan(shape, map, present, speeds, options); });
    longest = std::max(longest, cost);
    sum += cost;
    map = std::move(made.map);
  }
  wire::expert_load report{.group = "group-1", .rank = 1, .step = 100000, .step_ms = 40, .layers = {}};
  for (const auto& layer : loads) {
    auto& row = report.layers.emplace_back();
    for (const float count : layer) {
      row.push_back(static_cast<std::uint32_t>(count / static_cast<float>(k_ranks)));
    }
  }
  print_point("planner", "layers", layers,
              {{"state_bytes", state},
               {"plan_us", sum / k_plans},
               {"longest_plan_us", longest},
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
