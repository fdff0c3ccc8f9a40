#include "bench/agent_run.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>

namespace cuminpath::bench {
namespace {

constexpr double k_tick_s = 0.01;

// Serves requests in the order of arrival, over all classes or within each class by priority.
class baseline_queue {
public:
  baseline_queue(const agent_setup& setup, bool by_priority) : m_setup(setup), m_by_priority(by_priority) {}

  scheduling::admission submit(time_point /*now*/, const scheduling::job& value) {
    std::uint32_t priority = 0;
    for (const config::priority_class& row : m_setup.classes) {
      priority = m_by_priority && row.name == value.priority_class ? row.priority : priority;
    }
    m_queues[priority].push_back(value);
    return scheduling::admitted{};
  }
  void tick(time_point now, std::vector<scheduling::decision>& decisions) {
    for (auto& [priority, queue] : m_queues) {
      while (!queue.empty() && m_running < m_setup.slots) {
        const scheduling::job value = queue.front();
        queue.pop_front();
        if (value.deadline <= now) {
          decisions.emplace_back(scheduling::refuse_job{value.id, wire::refusal_reason::deadline_passed, {}});
          continue;
        }
        ++m_running;
        decisions.emplace_back(scheduling::start_job{value.id, false});
      }
    }
  }
  void on_tokens(time_point /*now*/, scheduling::job_id /*id*/, std::uint32_t /*count*/) {}
  void on_finished(time_point /*now*/, scheduling::job_id /*id*/) { --m_running; }

private:
  const agent_setup& m_setup;
  bool m_by_priority;
  std::map<std::uint32_t, std::deque<scheduling::job>> m_queues;
  std::uint32_t m_running = 0;
};

class simulation {
public:
  simulation(const agent_setup& setup, std::span<const arrival> trace)
      : m_setup(setup), m_trace(trace), m_engine(setup.engine), m_produced(trace.size()) {
    m_result.outcomes.resize(trace.size());
  }

  template <class queue_type>
  agent_result run(queue_type& queue) {
    std::size_t next = 0;
    for (std::uint64_t step = 0;; ++step) {
      const double now_s = static_cast<double>(step) * k_tick_s;
      apply_engine_events(queue, now_s);
      for (; next < m_trace.size() && m_trace[next].at_s <= now_s; ++next) {
        submit(queue, now_s, next);
      }
      m_decisions.clear();
      queue.tick(time_at(now_s), m_decisions);
      for (const scheduling::decision& value : m_decisions) {
        std::visit([&](const auto& decided) { apply(now_s, decided); }, value);
      }
      if (next == m_trace.size() && m_pending == 0) {
        return m_result;
      }
      count_slot_time(now_s);
    }
  }

private:
  template <class queue_type>
  void apply_engine_events(queue_type& queue, double now_s) {
    m_events.clear();
    m_engine.step(time_at(now_s), m_events);
    for (const engine_event& value : m_events) {
      outcome& result = m_result.outcomes[value.id];
      const double elapsed_s = now_s - m_trace[value.id].at_s;
      if (!result.first_token_s) {
        result.first_token_s = elapsed_s;
      }
      m_produced[value.id] += value.tokens;
      queue.on_tokens(time_at(now_s), scheduling::job_id{value.id}, value.tokens);
      if (value.finished) {
        result.total_s = elapsed_s;
        --m_pending;
        --m_running[m_trace[value.id].priority_class];
        queue.on_finished(time_at(now_s), scheduling::job_id{value.id});
      }
    }
  }

  template <class queue_type>
  void submit(queue_type& queue, double now_s, std::size_t index) {
    const arrival& value = m_trace[index];
    const auto admission =
        queue.submit(time_at(now_s), {scheduling::job_id{index}, value.workspace, value.priority_class,
                                      value.expected_tokens, time_at(value.at_s + value.timeout_s), true});
    if (std::holds_alternative<scheduling::admitted>(admission)) {
      ++m_pending;
    } else {
      m_result.outcomes[index].refused = true;
    }
  }

  void apply(double now_s, const scheduling::start_job& value) {
    const auto index = static_cast<std::uint64_t>(value.id);
    m_engine.start(time_at(now_s), index, m_trace[index].tokens, m_produced[index], m_trace[index].prefix);
    ++m_running[m_trace[index].priority_class];
  }
  void apply(double /*now_s*/, const scheduling::preempt_job& value) {
    const auto index = static_cast<std::uint64_t>(value.id);
    m_engine.cancel(index);
    --m_running[m_trace[index].priority_class];
    ++m_result.preemptions;
  }
  void apply(double /*now_s*/, const scheduling::refuse_job& value) {
    m_result.outcomes[static_cast<std::uint64_t>(value.id)].refused = true;
    --m_pending;
  }

  void count_slot_time(double now_s) {
    if (now_s >= m_setup.window_from_s && now_s < m_setup.window_to_s) {
      for (const auto& [name, count] : m_running) {
        m_result.slot_s[name] += count * k_tick_s;
      }
    }
  }

  const agent_setup& m_setup;
  std::span<const arrival> m_trace;
  fake_engine m_engine;
  std::vector<std::uint32_t> m_produced;
  std::map<std::string, int> m_running;
  std::vector<engine_event> m_events;
  std::vector<scheduling::decision> m_decisions;
  agent_result m_result;
  std::size_t m_pending = 0;
};

}  // namespace

agent_result run_agent(const agent_setup& setup, const agent_policy& policy, std::span<const arrival> trace) {
  simulation agent(setup, trace);
  if (const auto* options = std::get_if<scheduling::scheduler_options>(&policy)) {
    scheduling::scheduler queue(*options);
    queue.configure(time_at(0), setup.classes, setup.workspaces, setup.slots);
    return agent.run(queue);
  }
  baseline_queue queue(setup, std::holds_alternative<strict_priority>(policy));
  return agent.run(queue);
}

bool within_target(const config::priority_class& value, const outcome& result) {
  if (!result.total_s || !result.first_token_s) {
    return false;
  }
  const auto meets = [](milliseconds target, double actual_s) {
    return target.count() == 0 || actual_s * 1000 <= static_cast<double>(target.count());
  };
  return meets(value.first_token_target, *result.first_token_s) && meets(value.total_target, *result.total_s);
}

double percentile(std::vector<double> values, double p) {
  if (values.empty()) {
    return std::numeric_limits<double>::quiet_NaN();
  }
  const auto rank = static_cast<std::size_t>(std::ceil(p * static_cast<double>(values.size())));
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

}  // namespace cuminpath::bench
