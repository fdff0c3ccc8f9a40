#include "bench/fleet_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <string>

#include "bench/experiments.h"
#include "core/common/hash.h"
#include "core/routing/retry_budget.h"

namespace cuminpath::bench {
namespace {

constexpr double k_tick_s = 0.01;
// Time after which an attempt at a failing upstream fails.
constexpr double k_failure_delay_s = 0.05;
constexpr std::uint64_t k_max_attempts = 16;  // Job ids are request index * k_max_attempts + attempt.

std::string zone_name(std::uint32_t index) {
  return fmt::format("az-{}", index % 3);
}

// Chooses the upstreams of one entry, with its router or with a baseline.
class upstream_chooser {
public:
  upstream_chooser(const fleet_setup& setup, std::uint32_t entry,
                   std::span<const routing::upstream_info> upstreams)
      : m_outstanding(setup.upstreams),
        m_next(hash64(std::to_string(entry))),
        m_router(options(setup, entry)) {
    if (const auto* baseline = std::get_if<baseline_choice>(&setup.choice)) {
      m_baseline = *baseline;
    } else {
      m_affinity = std::get<router_choice>(setup.choice).affinity;
    }
    m_router.set_upstreams(time_at(0), upstreams);
  }

  std::optional<routing::upstream_id> choose(time_point now, std::uint64_t prefix,
                                             std::span<const routing::upstream_id> excluded,
                                             random_source& random) {
    if (!m_baseline) {
      return m_router.choose(now, {"m", m_affinity ? prefix : 0, excluded}, random);
    }
    std::vector<std::uint32_t> candidates;
    for (std::uint32_t i = 0; i < m_outstanding.size(); ++i) {
      if (std::find(excluded.begin(), excluded.end(), routing::upstream_id{i}) == excluded.end()) {
        candidates.push_back(i);
      }
    }
    if (candidates.empty()) {
      return std::nullopt;
    }
    return routing::upstream_id{candidates[choose_baseline(candidates, prefix, random)]};
  }
  void started(time_point now, routing::upstream_id id) {
    ++m_outstanding[static_cast<std::size_t>(id)];
    m_router.on_attempt_started(now, id);
  }
  void finished(time_point now, routing::upstream_id id, routing::attempt_outcome outcome,
                std::optional<duration> first_token) {
    --m_outstanding[static_cast<std::size_t>(id)];
    m_router.on_attempt_finished(now, id, outcome, first_token);
  }
  routing::router& router() { return m_router; }
  routing::retry_budget& budget() { return m_budget; }

private:
  static routing::router_options options(const fleet_setup& setup, std::uint32_t entry) {
    const auto* value = std::get_if<router_choice>(&setup.choice);
    routing::router_options result = value == nullptr ? routing::router_options{} : value->options;
    result.entry_name = fmt::format("entry-{}", entry);
    result.availability_zone = zone_name(entry);
    result.region = "region";
    return result;
  }

  std::size_t choose_baseline(const std::vector<std::uint32_t>& candidates, std::uint64_t prefix,
                              random_source& random) {
    switch (*m_baseline) {
      case baseline_choice::round_robin:
        return m_next++ % candidates.size();
      case baseline_choice::random:
        return random() % candidates.size();
      case baseline_choice::least_outstanding:
        // Breaks ties from a random offset; otherwise the first upstreams would get all requests.
        m_next = random() % candidates.size();
        return index_of_best(candidates, [&](std::uint32_t id) {
          return std::pair(-static_cast<double>(m_outstanding[id]),
                           static_cast<double>((id + m_next) % candidates.size()));
        });
      case baseline_choice::prefix_hash:
        return index_of_best(candidates,
                             [&](std::uint32_t id) { return hash64(std::to_string(prefix), id + 1); });
    }
    return 0;
  }
  template <class score_type>
  static std::size_t index_of_best(const std::vector<std::uint32_t>& candidates, const score_type& score) {
    std::size_t result = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
      result = score(candidates[i]) > score(candidates[result]) ? i : result;
    }
    return result;
  }

  std::vector<std::uint32_t> m_outstanding;
  std::size_t m_next;
  std::optional<baseline_choice> m_baseline;
  bool m_affinity = true;
  routing::router m_router;
  routing::retry_budget m_budget;
};

struct upstream {
  scheduling::scheduler queue;
  fake_engine engine;
};

struct request_state {
  std::uint32_t entry = 0;
  std::uint32_t attempt = 0;  // Number of the current attempt; 0 once the request has ended.
  routing::upstream_id target{};
  std::vector<routing::upstream_id> tried_upstreams;
  double attempt_start_s = 0;
  bool has_token = false;  // Whether the current attempt has produced a token.
};

class simulation {
public:
  simulation(const fleet_setup& setup, std::span<const arrival> trace, std::uint64_t seed)
      : m_setup(setup), m_trace(trace), m_random(seed), m_requests(trace.size()) {
    for (std::uint32_t i = 0; i < setup.upstreams; ++i) {
      const std::string name = fmt::format("engine-{}", i);
      m_upstream_infos.push_back({name, "m", zone_name(i), "region", name, setup.slots});
      engine_profile profile = setup.engine;
      profile.slowness = i == 5 ? setup.slow_factor : 1;
      m_upstreams.push_back({scheduling::scheduler(setup.scheduler), fake_engine(profile)});
      m_upstreams.back().queue.configure(time_at(0), sample_classes(), {}, setup.slots);
    }
    for (std::uint32_t i = 0; i < setup.entries; ++i) {
      m_entries.emplace_back(setup, i, m_upstream_infos);
    }
    m_result.outcomes.resize(trace.size());
    m_result.load.resize(setup.upstreams);
  }

  fleet_result run() {
    std::size_t next = 0;
    for (m_step = 0; next < m_trace.size() || m_active_requests > 0; ++m_step) {
      m_now_s = static_cast<double>(m_step) * k_tick_s;
      m_now = time_at(m_now_s);
      deliver_reports();
      for (std::uint32_t i = 0; i < m_upstreams.size(); ++i) {
        apply_engine_events(i);
      }
      deliver_failures();
      cancel_expired(next);
      for (; next < m_trace.size() && m_trace[next].at_s <= m_now_s; ++next) {
        on_arrival(next);
      }
      for (std::uint32_t i = 0; i < m_upstreams.size(); ++i) {
        tick_upstream(i);
      }
      for (upstream_chooser& entry : m_entries) {
        entry.router().tick(m_now);
      }
    }
    return m_result;
  }

private:
  static std::uint64_t job_number(std::size_t index, std::uint32_t attempt) {
    return index * k_max_attempts + attempt;
  }

  void on_arrival(std::size_t index) {
    request_state& state = m_requests[index];
    state.entry = static_cast<std::uint32_t>(random_index(m_random, m_entries.size()));
    ++m_active_requests;
    m_entries[state.entry].budget().on_first_attempt();
    start_attempt(index);
  }

  void start_attempt(std::size_t index) {
    request_state& state = m_requests[index];
    upstream_chooser& entry = m_entries[state.entry];
    const auto target = entry.choose(m_now, m_trace[index].prefix, state.tried_upstreams, m_random);
    if (!target) {
      end_request(index);
      return;
    }
    ++state.attempt;
    state.target = *target;
    state.attempt_start_s = m_now_s;
    state.has_token = false;
    const auto upstream_index = static_cast<std::uint32_t>(*target);
    fleet_outcome& result = m_result.outcomes[index];
    ++result.attempts;
    result.cross_zone = zone_name(upstream_index) != zone_name(state.entry);
    entry.started(m_now, *target);
    count_attempt(upstream_index);
    if (upstream_index < m_setup.failure.upstreams && m_now_s >= m_setup.failure.from_s &&
        m_now_s < m_setup.failure.to_s) {
      ++result.attempts_at_failing;
      if (static_cast<double>(random_index(m_random, 1000)) < m_setup.failure.rate * 1000) {
        m_failures.emplace_back(m_now_s + k_failure_delay_s, job_number(index, state.attempt));
        return;
      }
    }
    const arrival& value = m_trace[index];
    const auto admission = m_upstreams[upstream_index].queue.submit(
        m_now, {scheduling::job_id{job_number(index, state.attempt)}, value.workspace, value.priority_class,
                value.expected_tokens, time_at(value.at_s + value.timeout_s), true});
    if (std::holds_alternative<scheduling::refused>(admission)) {
      finish_attempt(index, routing::attempt_outcome::refused);
      m_setup.retry.retry_refusals ? retry(index) : end_request(index);
    }
  }

  void count_attempt(std::uint32_t upstream_index) {
    m_result.starts.resize(std::max(m_result.starts.size(), static_cast<std::size_t>(m_now_s) + 1));
    auto& [failing, all] = m_result.starts[static_cast<std::size_t>(m_now_s)];
    failing += upstream_index < m_setup.failure.upstreams ? 1 : 0;
    all += 1;
  }

  void finish_attempt(std::size_t index, routing::attempt_outcome outcome) {
    const request_state& state = m_requests[index];
    std::optional<duration> first;
    if (state.has_token) {
      first = time_at(m_trace[index].at_s + *m_result.outcomes[index].first_token_s) -
              time_at(state.attempt_start_s);
    }
    m_entries[state.entry].finished(m_now, state.target, outcome, first);
  }

  void retry(std::size_t index) {
    request_state& state = m_requests[index];
    state.tried_upstreams.push_back(state.target);
    if (state.attempt >= m_setup.retry.max_attempts ||
        (m_setup.retry.budget && !m_entries[state.entry].budget().try_take())) {
      end_request(index);
      return;
    }
    start_attempt(index);
  }

  void end_request(std::size_t index) {
    m_requests[index].attempt = 0;
    --m_active_requests;
  }

  // Returns the request of a job if the job is its current attempt.
  [[nodiscard]] std::optional<std::size_t> request_of_job(std::uint64_t job) const {
    const std::size_t index = job / k_max_attempts;
    return m_requests[index].attempt == job % k_max_attempts ? std::optional(index) : std::nullopt;
  }

  void apply_engine_events(std::uint32_t upstream_index) {
    m_events.clear();
    m_upstreams[upstream_index].engine.step(m_now, m_events);
    for (const engine_event& event : m_events) {
      m_upstreams[upstream_index].queue.on_tokens(m_now, scheduling::job_id{event.id}, event.tokens);
      if (event.finished) {
        m_upstreams[upstream_index].queue.on_finished(m_now, scheduling::job_id{event.id});
      }
      const auto index = request_of_job(event.id);
      if (!index) {
        continue;
      }
      request_state& state = m_requests[*index];
      fleet_outcome& result = m_result.outcomes[*index];
      if (!state.has_token) {
        state.has_token = true;
        result.first_token_s = m_now_s - m_trace[*index].at_s;
      }
      if (event.finished) {
        result.total_s = m_now_s - m_trace[*index].at_s;
        finish_attempt(*index, routing::attempt_outcome::succeeded);
        end_request(*index);
      }
    }
  }

  void deliver_failures() {
    while (!m_failures.empty() && m_failures.front().first <= m_now_s) {
      const auto index = request_of_job(m_failures.front().second);
      m_failures.pop_front();
      if (index) {
        finish_attempt(*index, routing::attempt_outcome::failed);
        retry(*index);
      }
    }
  }

  void cancel_attempt(std::size_t index) {
    const request_state& state = m_requests[index];
    upstream& target = m_upstreams[static_cast<std::size_t>(state.target)];
    target.queue.cancel(m_now, scheduling::job_id{job_number(index, state.attempt)});
    target.engine.cancel(job_number(index, state.attempt));
    finish_attempt(index, routing::attempt_outcome::abandoned);
  }

  void cancel_expired(std::size_t arrival_count) {
    const double timeout_s = m_setup.retry.attempt_timeout_s;
    for (std::size_t i = m_first_active; i < arrival_count; ++i) {
      const request_state& state = m_requests[i];
      if (state.attempt == 0) {
        m_first_active += i == m_first_active ? 1 : 0;
      } else if (m_now_s >= m_trace[i].at_s + m_trace[i].timeout_s) {
        cancel_attempt(i);
        end_request(i);
      } else if (timeout_s > 0 && !state.has_token && m_now_s >= state.attempt_start_s + timeout_s) {
        cancel_attempt(i);
        retry(i);
      }
    }
  }

  void tick_upstream(std::uint32_t upstream_index) {
    upstream& value = m_upstreams[upstream_index];
    m_decisions.clear();
    value.queue.tick(m_now, m_decisions);
    for (const scheduling::decision& decision : m_decisions) {
      if (const auto* start = std::get_if<scheduling::start_job>(&decision)) {
        const auto job = static_cast<std::uint64_t>(start->id);
        const std::size_t index = job / k_max_attempts;
        m_result.outcomes[index].cached =
            value.engine.start(m_now, job, m_trace[index].tokens, 0, m_trace[index].prefix);
      } else if (const auto* refusal = std::get_if<scheduling::refuse_job>(&decision)) {
        if (const auto index = request_of_job(static_cast<std::uint64_t>(refusal->id))) {
          finish_attempt(*index, routing::attempt_outcome::refused);
          end_request(*index);
        }
      }
    }
    if (m_now_s >= m_setup.window_from_s && m_now_s < m_setup.window_to_s) {
      m_result.load[upstream_index] += (value.queue.running() + value.queue.queued()) * k_tick_s /
                                       (m_setup.window_to_s - m_setup.window_from_s);
    }
    const auto report_interval_steps = static_cast<std::uint64_t>(m_setup.report_interval_s / k_tick_s);
    if (m_step % report_interval_steps == upstream_index * report_interval_steps / m_setup.upstreams) {
      wire::load_report report;
      report.upstream = m_upstream_infos[upstream_index].name;
      report.running = value.queue.running();
      report.queued = value.queue.queued();
      report.slots = m_setup.slots;
      report.upstream_healthy = !(m_setup.failure.reported && upstream_index < m_setup.failure.upstreams &&
                                  m_now_s >= m_setup.failure.from_s && m_now_s < m_setup.failure.to_s);
      m_reports.emplace_back(m_now_s + m_setup.report_lag_s, std::move(report));
    }
  }

  void deliver_reports() {
    while (!m_reports.empty() && m_reports.front().first <= m_now_s) {
      for (upstream_chooser& entry : m_entries) {
        entry.router().on_load_report(m_now, m_reports.front().second);
      }
      m_reports.pop_front();
    }
  }

  const fleet_setup& m_setup;
  std::span<const arrival> m_trace;
  random_source m_random;
  std::vector<request_state> m_requests;
  std::vector<routing::upstream_info> m_upstream_infos;
  std::vector<upstream> m_upstreams;
  std::vector<upstream_chooser> m_entries;
  std::deque<std::pair<double, wire::load_report>> m_reports;
  std::deque<std::pair<double, std::uint64_t>> m_failures;
  std::vector<engine_event> m_events;
  std::vector<scheduling::decision> m_decisions;
  fleet_result m_result;
  std::size_t m_active_requests = 0;
  std::size_t m_first_active = 0;
  std::uint64_t m_step = 0;
  double m_now_s = 0;
  time_point m_now{};
};

}  // namespace

fleet_result run_fleet(const fleet_setup& setup, std::span<const arrival> trace, std::uint64_t seed) {
  return simulation(setup, trace, seed).run();
}

}  // namespace cuminpath::bench
