// Simulates the routers of several entries and the schedulers and fake engines of several upstreams over a
// trace. Messages arrive in the tick in which they are sent, except for load reports, which are delayed.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "bench/fake_engine.h"
#include "bench/trace.h"
#include "core/routing/router.h"
#include "core/scheduling/scheduler.h"

namespace cuminpath::bench {

// Baselines, which choose among all upstreams.
enum class baseline_choice : std::uint8_t { round_robin, random, least_outstanding, prefix_hash };
struct router_choice {
  routing::router_options options;
  bool affinity = true;
};
using choice_policy = std::variant<baseline_choice, router_choice>;

struct retry_policy {
  bool budget = true;  // If false, only max_attempts limits the retries of a request.
  std::uint32_t max_attempts = 3;
  // Whether entries also retry requests that were refused because of load, where another attempt does not
  // help.
  bool retry_refusals = false;
  // An attempt without a first token within this time is cancelled and, like a failed one, retried within
  // the limits above; 0 disables the timeout.
  double attempt_timeout_s = 0;
};

struct failure_plan {
  std::uint32_t upstreams = 0;  // This many upstreams fail, starting with the first.
  double rate = 1;              // Share of their attempts that fail.
  double from_s = 0;
  double to_s = 0;
  bool reported = false;  // Whether the agents report the failure in their load reports.
};

struct fleet_setup {
  std::uint32_t entries = 18;
  std::uint32_t upstreams = 16;
  std::uint32_t slots = 8;
  engine_profile engine;
  double slow_factor = 1;  // Multiplies the times of upstream 5.
  double report_interval_s = 0.5;
  double report_lag_s = 0.3;
  scheduling::scheduler_options scheduler;
  choice_policy choice = router_choice{};
  retry_policy retry;
  failure_plan failure;
  double window_from_s = 0;  // Start of the interval in which the load of the upstreams is measured.
  double window_to_s = 0;
};

struct fleet_outcome {
  std::uint32_t attempts = 0;
  std::uint32_t attempts_at_failing = 0;
  std::optional<double> first_token_s;  // Since the arrival.
  std::optional<double> total_s;
  bool cached = false;      // Of the last attempt.
  bool cross_zone = false;  // Of the last attempt.
};

struct fleet_result {
  std::vector<fleet_outcome> outcomes;  // One per arrival.
  std::vector<double> load;  // Mean number of running and queued requests by upstream in the window.
  // Attempts started in each second: at upstreams of the failure plan, and in total.
  std::vector<std::pair<double, double>> starts;
};

fleet_result run_fleet(const fleet_setup& setup, std::span<const arrival> trace, std::uint64_t seed);

}  // namespace cuminpath::bench
