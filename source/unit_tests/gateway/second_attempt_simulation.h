// Simulates gateways that send requests to upstreams of which some are slow, in virtual time. Requests follow
// the rules of proxy::exchange; the decisions are those of the product's classes.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "core/gateway/second_attempt_policy.h"
#include "core/gateway/upstream_table.h"
#include "core/routing/retry_budget.h"

namespace cuminpath::gateway {

// When a second attempt is begun beside a slow first one.
enum class second_attempt_variant : std::uint8_t {
  off,                   // Only after the stall timeout, as without the setting.
  fixed_time,            // After 300 ms.
  quantile,              // After the time that 95 in 100 recent responses did not exceed.
  quantile_with_budget,  // second_attempt_policy.
};

// What is wrong with an upstream in a time span.
struct fault {
  std::size_t upstream = 0;
  time_point from{};
  time_point until{};
  double factor = 1;  // Of all times; 0: sends nothing until the end of the span.
};

struct simulation_options {
  second_attempt_variant variant = second_attempt_variant::quantile_with_budget;
  std::size_t gateways = 6;
  std::size_t upstreams = 36;
  std::uint32_t slots = 10;
  double requests_per_second = 150;  // Of all gateways.
  seconds length{50};
  milliseconds target{500};
  // Usual times to the first event: 150 to 250 ms, or 150 ms and an exponential tail with a mean of 30 ms.
  bool long_tail = false;
  milliseconds max_event_gap{150};
  int events = 30;  // Of a stream; one every 40 ms.
  std::uint32_t max_attempts = 3;
  double share_not_repeatable = 0;
  double share_leaving = 0;  // Of callers that leave within a second.
  double share_quarantined = 0;
  bool known_times = false;  // The policies know the usual times from the start.
  second_attempt_shares shares{.requests = 0.05, .tokens = 0.05};
  routing::retry_budget_options retries{.retries_per_attempt = 0.1, .capacity = 8, .initial = 5};
  std::vector<fault> faults;
  time_point stall_from{};  // Nobody sends anything in this span.
  time_point stall_until{};
  std::uint64_t seed = 1;
};

struct simulated_attempt {
  std::size_t upstream = 0;
  time_point sent{};
  time_point last_progress{};
  int events = 0;
  bool second = false;
  bool silent = false;
  bool ended = false;
  bool no_answer_recorded = false;
};

struct simulated_request {
  std::size_t gateway = 0;
  time_point arrived{};
  bool repeatable = true;
  bool quarantined = false;
  bool refused = false;
  bool done = false;
  bool left = false;
  int events = 0;  // That the caller has received.
  std::optional<std::size_t> owner;
  bool second_begun = false;
  std::optional<time_point> first_event_at;
  std::deque<simulated_attempt> attempts;
};

class second_attempt_simulation {
public:
  explicit second_attempt_simulation(const simulation_options& options);
  void run();

  struct totals {
    std::size_t requests = 0;  // That were not refused.
    std::size_t late = 0;      // First event later than the target.
    std::size_t extra = 0;     // Attempts beyond the first.
    std::size_t second = 0;    // Of these, begun before the stall timeout.
  };
  [[nodiscard]] totals count(time_point from) const;
  [[nodiscard]] const std::deque<simulated_request>& requests() const { return m_requests; }
  // What went against the rules; empty if nothing did.
  [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
  // Looks at which a limit refused a second attempt.
  [[nodiscard]] const std::map<second_attempt_refusal, std::size_t>& refusals() const { return m_refusals; }

private:
  struct event {
    time_point at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator>(const event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  struct gateway_state {
    upstream_table table;
    second_attempt_policy policy;
    routing::retry_budget retries;
    std::deque<time_point> requests;
    std::deque<time_point> second_attempts;
    std::deque<time_point> extra;
  };

  void at(time_point when, std::function<void()> action);
  void arrive();
  void report_loads();
  void begin(simulated_request& request, std::size_t upstream, bool second);
  void on_event(simulated_request& request, std::size_t index);
  void end_attempt(simulated_request& request, std::size_t index);
  void end_request(simulated_request& request);
  void consider(simulated_request& request);
  void on_stall(simulated_request& request);
  void schedule_event(simulated_request& request, std::size_t index);
  // Time at which something that takes `usual` from now on happens at an upstream.
  [[nodiscard]] time_point end_of(std::size_t upstream, duration usual) const;
  [[nodiscard]] second_attempt_facts describe(const simulated_request& request) const;
  const upstream_table::upstream* choose(const simulated_request& request, double max_utilization,
                                         std::vector<std::string> tried = {});
  void check_send(const simulated_request& request);
  void check_shares(gateway_state& gateway);

  simulation_options m_options;
  random_source m_random;
  time_point m_now{seconds{1000}};
  time_point m_start = m_now;
  std::uint64_t m_event_number = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
  std::vector<gateway_state> m_gateways;
  std::vector<std::string> m_names;  // Of the upstreams.
  std::deque<simulated_request> m_requests;
  std::vector<std::string> m_violations;
  std::map<second_attempt_refusal, std::size_t> m_refusals;
};

// Times of the simulation begin here.
constexpr time_point k_simulation_start{seconds{1000}};

}  // namespace cuminpath::gateway
