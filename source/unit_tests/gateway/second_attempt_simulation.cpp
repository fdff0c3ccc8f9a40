#include "second_attempt_simulation.h"

#include <algorithm>
#include <utility>

#include "core/gateway/attempt_policy.h"

namespace cuminpath::gateway {
namespace {

constexpr milliseconds k_event_gap{40};
constexpr milliseconds k_stall_timeout{1300};
constexpr milliseconds k_stall_recheck{500};
constexpr milliseconds k_fixed_time{300};
constexpr milliseconds k_report_interval{200};
constexpr milliseconds k_timeout{10000};
constexpr double k_quantile = 0.95;
constexpr std::uint64_t k_tokens = 1000;

duration usual_first_event(bool long_tail, random_source& random) {
  if (long_tail) {
    const double tail_ms = std::exponential_distribution<double>(1.0 / 30)(random);
    return microseconds(150'000 + static_cast<std::int64_t>(1000 * tail_ms));
  }
  return microseconds(std::uniform_int_distribution<std::int64_t>(150'000, 250'000)(random));
}

std::size_t count_since(const std::deque<time_point>& times, time_point from) {
  return static_cast<std::size_t>(times.end() - std::upper_bound(times.begin(), times.end(), from));
}

std::string name_of(std::size_t upstream) {
  return "u" + std::to_string(upstream);
}

}  // namespace

second_attempt_simulation::second_attempt_simulation(const simulation_options& options)
    : m_options(options), m_random(options.seed), m_gateways(options.gateways) {
  std::vector<upstream_record> records;
  for (std::size_t i = 0; i < options.upstreams; ++i) {
    m_names.push_back(name_of(i));
    records.push_back({.id = name_of(i),
                       .service = "s",
                       .address = name_of(i),
                       .availability_zone = "z",
                       .slots = options.slots});
  }
  for (auto& gateway : m_gateways) {
    gateway.table.apply(records, m_now, false);
    gateway.retries = routing::retry_budget(options.retries);
    for (int i = 0; options.known_times && i < 400; ++i) {
      gateway.policy.on_answer(awaited::first_event, "u0",
                               m_now - usual_first_event(m_options.long_tail, m_random), m_now);
      gateway.policy.on_answer(awaited::next_event, "u0", m_now - k_event_gap, m_now);
    }
  }
}

void second_attempt_simulation::run() {
  arrive();
  report_loads();
  const time_point end = m_start + m_options.length;
  while (!m_events.empty() && m_events.top().at < end + k_timeout) {
    const event next = m_events.top();
    m_events.pop();
    m_now = next.at;
    next.action();
  }
}

void second_attempt_simulation::at(time_point when, std::function<void()> action) {
  m_events.push({when, m_event_number++, std::move(action)});
}

void second_attempt_simulation::report_loads() {
  for (std::size_t from = 0; from < m_gateways.size(); ++from) {
    const auto loads = m_gateways[from].table.local_loads();
    for (std::size_t to = 0; to < m_gateways.size(); ++to) {
      if (to != from) {
        m_gateways[to].table.set_member_loads("g" + std::to_string(from), loads);
      }
    }
  }
  if (m_now < m_start + m_options.length) {
    at(m_now + k_report_interval, [this] { report_loads(); });
  }
}

void second_attempt_simulation::arrive() {
  const auto roll = [this](double share) { return std::bernoulli_distribution(share)(m_random); };
  simulated_request& request = m_requests.emplace_back();
  request.gateway = random_index(m_random, m_gateways.size());
  request.arrived = m_now;
  request.repeatable = !roll(m_options.share_not_repeatable);
  request.quarantined = roll(m_options.share_quarantined);
  gateway_state& gateway = m_gateways[request.gateway];
  gateway.requests.push_back(m_now);
  gateway.retries.on_first_attempt();
  gateway.policy.on_request(k_tokens, m_now);
  if (const auto* target = choose(request, 1.0)) {
    begin(request, std::stoul(target->record.id.substr(1)), false);
    if (roll(m_options.share_leaving)) {
      at(m_now + milliseconds(random_index(m_random, 1000)), [this, &request] {
        request.left = !request.done;
        end_request(request);
      });
    }
    at(m_now + k_timeout, [this, &request] { end_request(request); });
  } else {
    request.refused = true;
    request.done = true;
  }
  const double wait_s = std::exponential_distribution<double>(m_options.requests_per_second)(m_random);
  const auto next = m_now + microseconds(static_cast<std::int64_t>(wait_s * 1e6));
  if (next < m_start + m_options.length) {
    at(next, [this] { arrive(); });
  }
}

const upstream_table::upstream* second_attempt_simulation::choose(const simulated_request& request,
                                                                  double max_utilization,
                                                                  std::vector<std::string> tried) {
  for (const auto& attempt : request.attempts) {
    tried.push_back(name_of(attempt.upstream));
  }
  return m_gateways[request.gateway].table.choose(
      "s", {.availability_zone = "z", .excluded = tried, .max_utilization = max_utilization}, m_now,
      m_random);
}

time_point second_attempt_simulation::end_of(std::size_t upstream, duration usual) const {
  time_point end = m_now + usual;
  for (const auto& fault : m_options.faults) {
    if (fault.upstream != upstream || end <= fault.from || m_now >= fault.until) {
      continue;
    }
    end = fault.factor > 0 ? m_now + std::chrono::duration_cast<duration>(usual * fault.factor)
                           : fault.until + (end - std::max(m_now, fault.from));
  }
  if (end > m_options.stall_from && m_now < m_options.stall_until) {
    end = m_options.stall_until + (end - std::max(m_now, m_options.stall_from));
  }
  return end;
}

void second_attempt_simulation::begin(simulated_request& request, std::size_t upstream, bool second) {
  gateway_state& gateway = m_gateways[request.gateway];
  check_send(request);
  if (!request.attempts.empty()) {
    gateway.extra.push_back(m_now);
  }
  request.attempts.push_back({.upstream = upstream, .sent = m_now, .last_progress = m_now, .second = second});
  gateway.table.on_started(name_of(upstream), m_now);
  gateway.policy.on_attempt_sent();
  schedule_event(request, request.attempts.size() - 1);
  consider(request);
  at(m_now + k_stall_timeout, [this, &request] { on_stall(request); });
}

void second_attempt_simulation::schedule_event(simulated_request& request, std::size_t index) {
  simulated_attempt& attempt = request.attempts[index];
  const duration usual = attempt.events > 0 ? k_event_gap : usual_first_event(m_options.long_tail, m_random);
  at(end_of(attempt.upstream, usual), [this, &request, index] { on_event(request, index); });
}

void second_attempt_simulation::on_event(simulated_request& request, std::size_t index) {
  simulated_attempt& attempt = request.attempts[index];
  if (attempt.ended) {
    return;
  }
  gateway_state& gateway = m_gateways[request.gateway];
  const auto what = attempt.events > 0 ? awaited::next_event : awaited::first_event;
  if (std::exchange(attempt.no_answer_recorded, false)) {
    gateway.policy.on_progress(name_of(attempt.upstream), m_now);
  } else {
    gateway.policy.on_answer(what, name_of(attempt.upstream), attempt.last_progress, m_now);
  }
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    simulated_attempt& other = request.attempts[i];
    if (i != index && !other.ended) {
      if (attempt.second && !std::exchange(other.silent, true)) {
        gateway.table.on_failure(name_of(other.upstream), m_now);
      }
      end_attempt(request, i);
    }
  }
  if (request.owner && *request.owner != index && !request.attempts[*request.owner].ended) {
    m_violations.emplace_back("two owners");
  }
  request.owner = index;
  request.first_event_at = request.first_event_at.value_or(m_now);
  attempt.last_progress = m_now;
  ++attempt.events;
  if (++request.events == m_options.events) {
    gateway.table.on_success(name_of(attempt.upstream), m_now);
    end_request(request);
    return;
  }
  schedule_event(request, index);
}

void second_attempt_simulation::end_attempt(simulated_request& request, std::size_t index) {
  simulated_attempt& attempt = request.attempts[index];
  gateway_state& gateway = m_gateways[request.gateway];
  attempt.ended = true;
  gateway.table.on_ended(name_of(attempt.upstream));
  gateway.policy.on_attempt_ended();
  if (attempt.events == 0 && !std::exchange(attempt.no_answer_recorded, true)) {
    gateway.policy.on_no_answer(awaited::first_event, name_of(attempt.upstream), attempt.sent, m_now);
  }
}

void second_attempt_simulation::end_request(simulated_request& request) {
  request.done = true;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (!request.attempts[i].ended) {
      end_attempt(request, i);
    }
  }
}

second_attempt_facts second_attempt_simulation::describe(const simulated_request& request) const {
  const auto running =
      std::count_if(request.attempts.begin(), request.attempts.end(), [](const auto& a) { return !a.ended; });
  const auto first =
      std::find_if(request.attempts.begin(), request.attempts.end(), [](const auto& a) { return !a.ended; });
  second_attempt_facts facts{
      .may_run_again = request.repeatable,
      .finished = request.done || request.second_begun,
      .running_attempts = static_cast<std::uint32_t>(running),
      .sent_attempts = static_cast<std::uint32_t>(request.attempts.size()),
      .max_attempts = m_options.max_attempts,
      .time_left = std::chrono::duration_cast<milliseconds>(request.arrived + k_timeout - m_now),
      .quarantined = request.quarantined,
      .engine = true,
      .grouped = true,
      .tokens = k_tokens};
  if (first != request.attempts.end()) {
    facts.what = first->events > 0 ? awaited::next_event : awaited::first_event;
    facts.waiting_since = first->last_progress;
    facts.upstream_id = m_names[first->upstream];
    facts.late_at = first->events > 0 ? first->last_progress + m_options.max_event_gap
                                      : request.arrived + m_options.target;
  }
  return facts;
}

void second_attempt_simulation::consider(simulated_request& request) {
  if (request.done || request.second_begun || m_options.variant == second_attempt_variant::off) {
    return;
  }
  gateway_state& gateway = m_gateways[request.gateway];
  auto facts = describe(request);
  const auto look = [this, &request](time_point when) { at(when, [this, &request] { consider(request); }); };
  if (m_options.variant != second_attempt_variant::quantile_with_budget) {
    gateway.policy.when_to_look(facts, m_now);  // Updates the quantiles.
    const duration wait = m_options.variant == second_attempt_variant::fixed_time
                              ? k_fixed_time
                              : gateway.policy.quantile(facts.what, k_quantile, m_now).value_or(k_fixed_time);
    if (facts.running_attempts != 1 || facts.what != awaited::first_event || !facts.may_run_again) {
      return;
    }
    if (m_now < facts.waiting_since + wait) {
      look(facts.waiting_since + wait);
      return;
    }
    if (const auto* target = choose(request, 1.0); target != nullptr && gateway.retries.try_take()) {
      request.second_begun = true;
      begin(request, std::stoul(target->record.id.substr(1)), true);
    }
    return;
  }
  const auto look_at = gateway.policy.when_to_look(facts, m_now);
  if (!look_at || m_now < *look_at) {
    if (look_at) {
      look(*look_at);
    }
    return;
  }
  facts.totals = gateway.table.totals("s", m_now);
  facts.retry_available = gateway.retries.available();
  const auto* target =
      choose(request, second_attempt_policy::k_max_utilization, gateway.policy.slow_upstreams(m_now));
  facts.slot_available = target != nullptr;
  const auto decision = gateway.policy.decide(facts, m_options.shares, m_now, m_random);
  if (std::holds_alternative<begin_second_attempt>(decision)) {
    request.second_begun = true;
    gateway.retries.try_take();
    gateway.policy.on_second_attempt(facts, m_now);
    gateway.second_attempts.push_back(m_now);
    check_shares(gateway);
    begin(request, std::stoul(target->record.id.substr(1)), true);
  } else if (const auto* later = std::get_if<look_later>(&decision)) {
    ++m_refusals[later->reason];
    look(std::min(later->at, facts.late_at));
  } else if (m_now < facts.late_at) {
    look(facts.late_at);
  } else {
    auto& attempt = *std::find_if(request.attempts.begin(), request.attempts.end(),
                                  [](const auto& a) { return !a.ended; });
    if (!std::exchange(attempt.no_answer_recorded, true)) {
      gateway.policy.on_no_answer(facts.what, name_of(attempt.upstream), facts.waiting_since, m_now);
    }
    look(m_now + milliseconds{100});
  }
}

void second_attempt_simulation::on_stall(simulated_request& request) {
  const auto facts = describe(request);
  if (facts.finished && !request.second_begun) {
    return;
  }
  if (request.done || facts.running_attempts == 0 || facts.sent_attempts >= facts.max_attempts ||
      !facts.may_run_again) {
    return;
  }
  gateway_state& gateway = m_gateways[request.gateway];
  const auto look = [this, &request](time_point when) { at(when, [this, &request] { on_stall(request); }); };
  time_point last{};
  for (const auto& attempt : request.attempts) {
    last = attempt.ended ? last : std::max(last, attempt.last_progress);
  }
  if (m_now < last + k_stall_timeout) {
    look(last + k_stall_timeout);
    return;
  }
  const auto* target = choose(request, 1.0);
  if (target == nullptr || request.quarantined || !gateway.retries.available()) {
    look(m_now + k_stall_recheck);
    return;
  }
  for (auto& attempt : request.attempts) {
    if (!attempt.ended && !std::exchange(attempt.silent, true)) {
      gateway.table.on_failure(name_of(attempt.upstream), m_now);
    }
  }
  gateway.retries.try_take();
  begin(request, std::stoul(target->record.id.substr(1)), false);
}

void second_attempt_simulation::check_send(const simulated_request& request) {
  if (request.done || request.left) {
    m_violations.emplace_back("sent after the end of the request");
  }
  if (!request.repeatable && !request.attempts.empty()) {
    m_violations.emplace_back("ran more than once");
  }
  if (request.quarantined && !request.attempts.empty()) {
    m_violations.emplace_back("a quarantined prompt part was sent again");
  }
  if (request.attempts.size() >= m_options.max_attempts) {
    m_violations.emplace_back("too many attempts");
  }
  const gateway_state& gateway = m_gateways[request.gateway];
  for (const duration window : {duration(seconds{1}), duration(seconds{10})}) {
    const double allowed =
        m_options.retries.capacity + m_options.retries.retries_per_attempt *
                                         static_cast<double>(count_since(gateway.requests, m_now - window));
    if (!request.attempts.empty() &&
        static_cast<double>(count_since(gateway.extra, m_now - window) + 1) > allowed + 1e-9) {
      m_violations.emplace_back("retry budget exceeded");
    }
  }
  if (m_options.variant == second_attempt_variant::quantile_with_budget &&
      m_now >= m_options.stall_from + milliseconds{200} && m_now < m_options.stall_until &&
      request.second_begun && request.attempts.size() == 1) {
    m_violations.emplace_back("second attempt during a stall of all upstreams");
  }
}

// The share must hold in the window that ends with each second attempt.
void second_attempt_simulation::check_shares(gateway_state& gateway) {
  const time_point from = m_now - second_attempt_budget::k_window;
  if (static_cast<double>(count_since(gateway.second_attempts, from)) >
      m_options.shares.requests * static_cast<double>(count_since(gateway.requests, from))) {
    m_violations.emplace_back("share of extra requests exceeded");
  }
}

second_attempt_simulation::totals second_attempt_simulation::count(time_point from) const {
  totals sum;
  for (const auto& request : m_requests) {
    if (request.arrived < from || request.refused || request.left) {
      continue;
    }
    ++sum.requests;
    sum.late +=
        !request.first_event_at || *request.first_event_at > request.arrived + m_options.target ? 1 : 0;
    sum.extra += request.attempts.size() - 1;
    sum.second += static_cast<std::size_t>(std::count_if(request.attempts.begin(), request.attempts.end(),
                                                         [](const auto& attempt) { return attempt.second; }));
  }
  return sum;
}

}  // namespace cuminpath::gateway
