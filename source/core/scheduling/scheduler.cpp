#include "core/scheduling/scheduler.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <unordered_map>

#include "core/common/assert.h"
#include "core/scheduling/admission.h"
#include "core/scheduling/class_table.h"
#include "core/scheduling/job_table.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/run_time_estimator.h"

namespace cuminpath::scheduling {
namespace {

constexpr seconds k_prune_interval{1};
// Workspaces that are checked, in fair order, for one that is clearly below its share. Bounds the cost of a
// tick; such a workspace is near the front because it has used little.
constexpr std::size_t k_max_checked_workspaces = 8;
constexpr std::size_t k_max_stale_deadlines = 1000;

struct queued_deadline {
  time_point at{};
  job_id id{};
  std::uint64_t sequence = 0;
  bool operator>(const queued_deadline& other) const { return at > other.at; }
};

double seconds_of(duration value) {
  return std::chrono::duration<double>(value).count();
}

milliseconds to_milliseconds(double value_s) {
  return milliseconds(static_cast<std::int64_t>(std::ceil(value_s * 1000)));
}

}  // namespace

class scheduler::impl {
public:
  explicit impl(scheduler_options options) : m_options(options) {}

  void configure(time_point now, std::span<const config::priority_class> classes,
                 std::span<const config::workspace> workspaces, std::uint32_t slots);
  admission submit(time_point now, const job& value);
  void tick(time_point now, std::vector<decision>& decisions);
  void on_tokens(time_point now, job_id id, std::uint32_t count);
  void on_finished(time_point now, job_id id);
  void cancel(time_point now, job_id id);
  void drain(time_point now, std::vector<decision>& decisions);

  [[nodiscard]] const class_table& classes() const { return m_classes; }
  [[nodiscard]] std::vector<wire::class_load> loads(time_point now) const;

private:
  struct workspace_state {
    double share = 1;
  };

  workspace_index workspace_row(const std::string& name);
  [[nodiscard]] double share_of(workspace_index row) const;
  // Describes the load for a job of the class `row`. `workspace_flow` is the flow of its workspace, or null.
  [[nodiscard]] load_view make_load_view(time_point now, class_index row, const flow* workspace_flow,
                                         double share) const;
  // Returns the number of slots that the class may use under the policy for urgent jobs.
  [[nodiscard]] std::uint32_t slots_open_to(class_index row) const;
  // Returns when to retry if the queue is full for the workspace, otherwise nothing.
  [[nodiscard]] std::optional<milliseconds> queue_limit_retry_after(const class_state& row,
                                                                    const flow* workspace_flow,
                                                                    const load_view& view,
                                                                    class_index index) const;
  void enqueue(job_id id, job_state& state, bool in_front);
  void remove_running(const job_state& state, job_id id);
  void expire(time_point now, std::vector<decision>& decisions);
  void prune();
  bool start_next(time_point now, std::vector<decision>& decisions);
  void start(time_point now, class_index row, job_id id, bool on_credit, std::vector<decision>& decisions);
  bool preempt_next(time_point now, const preempt_running& policy, std::vector<decision>& decisions);

  scheduler_options m_options;
  class_table m_classes;
  job_table m_jobs;
  run_time_estimator m_times;
  std::unordered_map<std::string, workspace_index> m_workspace_rows;
  std::vector<workspace_state> m_workspaces;
  std::priority_queue<queued_deadline, std::vector<queued_deadline>, std::greater<>> m_deadlines;
  std::uint64_t m_sequence = 0;
  time_point m_pruned_at{};
  bool m_draining = false;
};

void scheduler::impl::configure(time_point now, std::span<const config::priority_class> classes,
                                std::span<const config::workspace> workspaces, std::uint32_t slots) {
  m_classes.advance(now);
  m_classes.configure(classes, slots);
  for (const config::workspace& value : workspaces) {
    m_workspaces[static_cast<std::size_t>(workspace_row(value.name))].share = std::max(value.share, 1e-6);
  }
}

workspace_index scheduler::impl::workspace_row(const std::string& name) {
  const auto [found, added] =
      m_workspace_rows.try_emplace(name, static_cast<workspace_index>(m_workspaces.size()));
  if (added) {
    m_workspaces.emplace_back();
  }
  return found->second;
}

double scheduler::impl::share_of(workspace_index row) const {
  return m_workspaces[static_cast<std::size_t>(row)].share;
}

std::uint32_t scheduler::impl::slots_open_to(class_index row) const {
  const std::uint32_t slots = m_classes.slots();
  const auto* reserve = std::get_if<reserve_slots>(&m_options.urgent);
  if (reserve == nullptr || row == m_classes.order().front()) {
    return slots;
  }
  const auto reserved = static_cast<std::uint32_t>(std::ceil(reserve->share * slots));
  return slots - std::min(reserved, slots - 1);
}

load_view scheduler::impl::make_load_view(time_point now, class_index row, const flow* workspace_flow,
                                          double share) const {
  load_view view{m_classes, m_jobs, m_times, next_slot_s(now, m_classes, m_jobs, m_times), 0};
  const auto* policy = std::get_if<preempt_running>(&m_options.urgent);
  if (policy == nullptr || view.next_slot_s == 0) {
    return view;
  }
  const class_state& state = m_classes.at(row);
  flow new_flow;
  new_flow.share = share;
  if (clearly_below_share(state, workspace_flow == nullptr ? new_flow : *workspace_flow) &&
      choose_victim_in_class(now, *policy, state, m_jobs)) {
    view.next_slot_s = 0;
    return view;
  }
  const milliseconds target = state.declared.first_token_target.count() > 0
                                  ? state.declared.first_token_target
                                  : state.declared.total_target;
  view.slots_by_preemption =
      target.count() > 0 ? count_victims_below(now, *policy, m_classes, m_jobs, row) : 0;
  if (view.slots_by_preemption > 0) {
    view.next_slot_s = std::min(view.next_slot_s, seconds_of(target) * policy->min_wait_fraction);
  }
  return view;
}

std::optional<milliseconds> scheduler::impl::queue_limit_retry_after(const class_state& row,
                                                                     const flow* workspace_flow,
                                                                     const load_view& view,
                                                                     class_index index) const {
  // The limit applies to each class separately, and a workspace below its part of the limit is still
  // admitted, so that an overload of another class or workspace can't fill the queue.
  const std::uint32_t workspace_queued = workspace_flow == nullptr ? 0 : workspace_flow->queued;
  const std::size_t workspaces = std::max<std::size_t>(row.queue.active_flows(), 1);
  if (row.queue.queued() < m_options.max_queued || workspace_queued < m_options.max_queued / workspaces) {
    return std::nullopt;
  }
  return to_milliseconds(std::max(estimate_wait(view, index, workspace_flow, 1).wait_s, 1.0));
}

admission scheduler::impl::submit(time_point now, const job& value) {
  m_classes.advance(now);
  if (m_draining) {
    return refused{wire::refusal_reason::draining, milliseconds(0)};
  }
  if (now >= value.deadline) {
    return refused{wire::refusal_reason::deadline_passed, milliseconds(0)};
  }
  const class_index row = m_classes.row_of(value.priority_class);
  const workspace_index workspace =
      m_options.fair_queueing ? workspace_row(value.workspace) : workspace_row(std::string());
  const flow* workspace_flow = m_classes.at(row).queue.find(workspace);
  const load_view view = make_load_view(now, row, workspace_flow, share_of(workspace));
  if (const auto retry_after = queue_limit_retry_after(m_classes.at(row), workspace_flow, view, row)) {
    return refused{wire::refusal_reason::queue_full, *retry_after};
  }
  if (m_options.feasibility) {
    const admission verdict = check_feasibility(now, view, value, row, workspace_flow, share_of(workspace));
    if (std::holds_alternative<refused>(verdict)) {
      return verdict;
    }
  }
  const auto [found, added] = m_jobs.try_emplace(value.id);
  CUMINPATH_ASSERT(added);
  job_state& state = found->second;
  state.class_row = row;
  state.workspace_row = workspace;
  state.expected_tokens = std::max(value.expected_tokens, 1U);
  state.deadline = value.deadline;
  state.queued_at = now;
  state.preemptible = value.preemptible;
  enqueue(value.id, state, false);
  return admitted{};
}

void scheduler::impl::enqueue(job_id id, job_state& state, bool in_front) {
  state.sequence = ++m_sequence;
  state.running = false;
  fair_queue& queue = m_classes.at(state.class_row).queue;
  if (in_front) {
    queue.push_front(id, state, share_of(state.workspace_row));
  } else {
    queue.push_back(id, state, share_of(state.workspace_row));
  }
  m_deadlines.push({state.deadline, id, state.sequence});
}

void scheduler::impl::expire(time_point now, std::vector<decision>& decisions) {
  while (!m_deadlines.empty() && m_deadlines.top().at <= now) {
    const queued_deadline due = m_deadlines.top();
    m_deadlines.pop();
    const auto found = m_jobs.find(due.id);
    if (found == m_jobs.end() || found->second.sequence != due.sequence || found->second.running) {
      continue;
    }
    m_classes.at(found->second.class_row).queue.on_cancelled(found->second);
    m_jobs.erase(found);
    decisions.emplace_back(refuse_job{due.id, wire::refusal_reason::deadline_passed, milliseconds(0)});
  }
}

void scheduler::impl::start(time_point now, class_index row, job_id id, bool on_credit,
                            std::vector<decision>& decisions) {
  class_state& state = m_classes.at(row);
  job_state& started = m_jobs.at(id);
  state.queue.start(m_jobs, started.workspace_row);
  started.running = true;
  started.started_at = now;
  started.sequence = ++m_sequence;
  started.run_tokens = remaining_tokens(started);
  started.run_produced = 0;
  started.on_credit = on_credit;
  state.running.push_back(id);
  state.running_on_credit += on_credit ? 1 : 0;
  decisions.emplace_back(start_job{id, started.has_run});
  started.has_run = true;
}

bool scheduler::impl::start_next(time_point now, std::vector<decision>& decisions) {
  const std::uint32_t running = m_classes.running();
  const auto startable = [&](class_index row) {
    return running < slots_open_to(row) && m_classes.at(row).queue.queued() > 0;
  };
  const auto try_start = [&](class_index row, bool on_credit) {
    const auto id = m_classes.at(row).queue.front(m_jobs);
    if (id) {
      start(now, row, *id, on_credit, decisions);
    }
    return id.has_value();
  };
  if (m_options.floors) {
    // A start that does not delay a more urgent job is not charged to the credit of the class.
    bool more_urgent_waits = false;
    for (const class_index row : m_classes.order()) {
      if (startable(row) && m_classes.at(row).credit > 0 && try_start(row, more_urgent_waits)) {
        return true;
      }
      more_urgent_waits = more_urgent_waits || m_classes.at(row).queue.queued() > 0;
    }
  }
  return std::any_of(m_classes.order().begin(), m_classes.order().end(),
                     [&](class_index row) { return startable(row) && try_start(row, false); });
}

bool scheduler::impl::preempt_next(time_point now, const preempt_running& policy,
                                   std::vector<decision>& decisions) {
  for (const class_index row : m_classes.order()) {
    class_state& waiting_class = m_classes.at(row);
    auto waiting = waiting_class.queue.find_first(
        m_jobs, k_max_checked_workspaces,
        [&](const flow& workspace_flow) { return clearly_below_share(waiting_class, workspace_flow); });
    auto victim = waiting ? choose_victim_in_class(now, policy, waiting_class, m_jobs) : std::nullopt;
    if (!victim) {
      waiting = waiting_class.queue.front(m_jobs);
      if (waiting && may_preempt(now, policy, waiting_class.declared, m_jobs.at(*waiting))) {
        victim = choose_victim_below(now, policy, m_classes, m_jobs, row);
      }
    }
    if (victim) {
      decisions.emplace_back(preempt_job{*victim});
      // The waiting job must be started first: once the victim is queued again, it may come before that job.
      start(now, row, *waiting, false, decisions);
      job_state& state = m_jobs.at(*victim);
      remove_running(state, *victim);
      enqueue(*victim, state, true);
      return true;
    }
  }
  return false;
}

void scheduler::impl::tick(time_point now, std::vector<decision>& decisions) {
  m_classes.advance(now);
  expire(now, decisions);
  while (start_next(now, decisions)) {
  }
  if (const auto* policy = std::get_if<preempt_running>(&m_options.urgent)) {
    while (preempt_next(now, *policy, decisions)) {
    }
  }
  if (now - m_pruned_at >= k_prune_interval) {
    m_pruned_at = now;
    prune();
  }
}

void scheduler::impl::prune() {
  for (const class_index row : m_classes.order()) {
    m_classes.at(row).queue.prune();
  }
  // Callers may set deadlines hours ahead. Without this, the entries of jobs that have ended would stay until
  // then.
  if (m_deadlines.size() > 2 * m_jobs.size() + k_max_stale_deadlines) {
    std::vector<queued_deadline> rows;
    for (const auto& [id, state] : m_jobs) {
      if (!state.running) {
        rows.push_back({state.deadline, id, state.sequence});
      }
    }
    m_deadlines = decltype(m_deadlines)(std::greater<>(), std::move(rows));
  }
}

void scheduler::impl::on_tokens(time_point now, job_id id, std::uint32_t count) {
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end() || !found->second.running || count == 0) {
    return;
  }
  job_state& state = found->second;
  if (state.run_produced == 0) {
    state.first_token_at = now;
    m_times.on_first_token(seconds_of(now - state.started_at));
  }
  state.run_produced += count;
  const std::uint32_t before = std::max(state.produced_tokens, state.expected_tokens);
  state.produced_tokens += count;
  if (state.produced_tokens > before) {
    m_classes.at(state.class_row).queue.charge(state.workspace_row, state.produced_tokens - before);
  }
}

void scheduler::impl::remove_running(const job_state& state, job_id id) {
  class_state& row = m_classes.at(state.class_row);
  std::erase(row.running, id);
  row.running_on_credit -= state.on_credit ? 1 : 0;
  row.queue.on_run_ended(state);
}

void scheduler::impl::on_finished(time_point now, job_id id) {
  m_classes.advance(now);
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end() || !found->second.running) {
    return;
  }
  const job_state& state = found->second;
  if (state.run_produced > 0) {
    m_times.on_decoded(seconds_of(now - state.first_token_at), state.run_produced);
    m_times.on_length(state.produced_tokens, state.expected_tokens);
  } else {
    m_times.on_first_token(seconds_of(now - state.started_at));
  }
  remove_running(state, id);
  m_jobs.erase(found);
}

void scheduler::impl::cancel(time_point now, job_id id) {
  m_classes.advance(now);
  const auto found = m_jobs.find(id);
  if (found == m_jobs.end()) {
    return;
  }
  if (found->second.running) {
    remove_running(found->second, id);
  } else {
    m_classes.at(found->second.class_row).queue.on_cancelled(found->second);
  }
  m_jobs.erase(found);
}

void scheduler::impl::drain(time_point now, std::vector<decision>& decisions) {
  m_classes.advance(now);
  m_draining = true;
  std::vector<job_id> refused_jobs;
  for (const auto& [id, state] : m_jobs) {
    if (!state.running && !state.has_run) {
      refused_jobs.push_back(id);
    }
  }
  std::sort(refused_jobs.begin(), refused_jobs.end());
  for (const job_id id : refused_jobs) {
    cancel(now, id);
    decisions.emplace_back(refuse_job{id, wire::refusal_reason::draining, milliseconds(0)});
  }
}

std::vector<wire::class_load> scheduler::impl::loads(time_point now) const {
  std::vector<wire::class_load> result;
  for (const class_index row : m_classes.order()) {
    const class_state& state = m_classes.at(row);
    // Computes the wait of a workspace that has used its share and queues behind the whole class.
    flow class_total;
    class_total.queued = state.queue.queued();
    class_total.queued_tokens = state.queue.queued_tokens();
    class_total.running = static_cast<std::uint32_t>(state.running.size());
    const load_view view = make_load_view(now, row, &class_total, 1);
    const double wait_s = estimate_wait(view, row, &class_total, 1).wait_s;
    result.push_back({state.declared.name, state.queue.queued(),
                      static_cast<std::uint32_t>(state.running.size()),
                      static_cast<std::uint32_t>(to_milliseconds(wait_s).count())});
  }
  return result;
}

scheduler::scheduler(scheduler_options options) : m_impl(std::make_unique<impl>(options)) {}
scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

void scheduler::configure(time_point now, std::span<const config::priority_class> classes,
                          std::span<const config::workspace> workspaces, std::uint32_t slots) {
  m_impl->configure(now, classes, workspaces, slots);
}

admission scheduler::submit(time_point now, const job& value) {
  return m_impl->submit(now, value);
}

void scheduler::tick(time_point now, std::vector<decision>& decisions) {
  m_impl->tick(now, decisions);
}

void scheduler::on_tokens(time_point now, job_id id, std::uint32_t count) {
  m_impl->on_tokens(now, id, count);
}

void scheduler::on_finished(time_point now, job_id id) {
  m_impl->on_finished(now, id);
}

void scheduler::cancel(time_point now, job_id id) {
  m_impl->cancel(now, id);
}

void scheduler::drain(time_point now, std::vector<decision>& decisions) {
  m_impl->drain(now, decisions);
}

std::uint32_t scheduler::running() const {
  return m_impl->classes().running();
}

std::uint32_t scheduler::queued() const {
  return m_impl->classes().queued();
}

std::vector<wire::class_load> scheduler::loads(time_point now) const {
  return m_impl->loads(now);
}

}  // namespace cuminpath::scheduling
