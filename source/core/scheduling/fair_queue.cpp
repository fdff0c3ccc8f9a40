#include "core/scheduling/fair_queue.h"

#include <algorithm>

#include "core/common/assert.h"

namespace cuminpath::scheduling {
namespace {

bool active(const flow& value) {
  return value.queued > 0 || value.running > 0;
}

}  // namespace

flow& fair_queue::activate(workspace_index workspace, double share) {
  flow& value = m_flows[workspace];
  if (active(value)) {
    m_active_share += share - value.share;
  } else {
    m_active_share += share;
    ++m_active;
  }
  value.share = share;
  return value;
}

void fair_queue::deactivate_if_idle(flow& value) {
  if (!active(value)) {
    m_active_share -= value.share;
    --m_active;
    if (m_active == 0) {
      // The busy period has ended: the virtual time passes every finish tag, so no workspace starts the next
      // busy period behind another.
      m_active_share = 0;
      for (auto& [workspace, other] : m_flows) {
        m_virtual_time = std::max(m_virtual_time, other.finish_tag);
      }
    }
  }
}

void fair_queue::reorder(workspace_index workspace, flow& value) {
  m_order.erase({value.start_tag, workspace});
  if (!value.jobs.empty()) {
    value.start_tag = std::max(m_virtual_time, value.finish_tag);
    m_order.emplace(value.start_tag, workspace);
  }
}

void fair_queue::push_back(job_id id, const job_state& value, double share) {
  flow& target = activate(value.workspace_row, share);
  const bool first = target.jobs.empty();
  target.jobs.emplace_back(id, value.sequence);
  ++target.queued;
  target.queued_tokens += remaining_tokens(value);
  ++m_queued;
  m_queued_tokens += remaining_tokens(value);
  if (first) {
    reorder(value.workspace_row, target);
  }
}

void fair_queue::push_front(job_id id, const job_state& value, double share) {
  flow& target = activate(value.workspace_row, share);
  target.jobs.emplace_front(id, value.sequence);
  ++target.queued;
  target.queued_tokens += remaining_tokens(value);
  ++m_queued;
  m_queued_tokens += remaining_tokens(value);
  reorder(value.workspace_row, target);
}

void fair_queue::drop_stale_entries(const job_table& jobs, flow& value) {
  while (!value.jobs.empty()) {
    const auto found = jobs.find(value.jobs.front().first);
    if (found != jobs.end() && found->second.sequence == value.jobs.front().second) {
      return;
    }
    value.jobs.pop_front();
  }
}

std::optional<job_id> fair_queue::front(const job_table& jobs) {
  while (!m_order.empty()) {
    const workspace_index workspace = m_order.begin()->second;
    flow& value = m_flows.at(workspace);
    drop_stale_entries(jobs, value);
    if (!value.jobs.empty()) {
      return value.jobs.front().first;
    }
    m_order.erase(m_order.begin());
  }
  return std::nullopt;
}

std::optional<job_id> fair_queue::find_first(const job_table& jobs, std::size_t limit,
                                             const std::function<bool(const flow&)>& accept) {
  for (auto position = m_order.begin(); position != m_order.end() && limit > 0; --limit) {
    flow& value = m_flows.at(position->second);
    drop_stale_entries(jobs, value);
    if (value.jobs.empty()) {
      position = m_order.erase(position);
      continue;
    }
    if (accept(value)) {
      return value.jobs.front().first;
    }
    ++position;
  }
  return std::nullopt;
}

void fair_queue::start(const job_table& jobs, workspace_index workspace) {
  flow& value = m_flows.at(workspace);
  const job_state& started = jobs.at(value.jobs.front().first);
  // Only a job taken in fair order advances the virtual time. A job that preempts within its class is started
  // ahead of that order.
  if (m_order.begin()->second == workspace) {
    m_virtual_time = std::max(m_virtual_time, value.start_tag);
  }
  m_order.erase({value.start_tag, workspace});
  value.jobs.pop_front();
  const double charged = started.has_run ? 0 : remaining_tokens(started) / value.share;
  value.finish_tag = std::max(value.start_tag, value.finish_tag) + charged;
  --value.queued;
  value.queued_tokens -= remaining_tokens(started);
  ++value.running;
  --m_queued;
  m_queued_tokens -= remaining_tokens(started);
  reorder(workspace, value);
}

void fair_queue::on_cancelled(const job_state& value) {
  flow& target = m_flows.at(value.workspace_row);
  --target.queued;
  target.queued_tokens -= remaining_tokens(value);
  --m_queued;
  m_queued_tokens -= remaining_tokens(value);
  deactivate_if_idle(target);
}

void fair_queue::on_run_ended(const job_state& value) {
  flow& target = m_flows.at(value.workspace_row);
  CUMINPATH_ASSERT(target.running > 0);
  --target.running;
  deactivate_if_idle(target);
}

void fair_queue::charge(workspace_index workspace, std::uint32_t tokens) {
  flow& value = m_flows.at(workspace);
  value.finish_tag += tokens / value.share;
  reorder(workspace, value);
}

const flow* fair_queue::find(workspace_index workspace) const {
  const auto found = m_flows.find(workspace);
  return found == m_flows.end() ? nullptr : &found->second;
}

void fair_queue::prune() {
  std::erase_if(m_flows, [this](const auto& row) {
    return !active(row.second) && row.second.jobs.empty() && row.second.finish_tag <= m_virtual_time;
  });
}

}  // namespace cuminpath::scheduling
