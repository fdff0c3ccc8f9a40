// Start-time fair queueing by tokens between the workspaces of one class.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/scheduling/job_table.h"

namespace cuminpath::scheduling {

// Jobs of one workspace. A job that is cancelled stays in `jobs` until it comes to the front.
struct flow {
  std::deque<std::pair<job_id, std::uint64_t>> jobs;  // With the sequence of the job's row.
  double share = 1;
  double start_tag = 0;   // Of the first job; the key in the order of the queue.
  double finish_tag = 0;  // Virtual time up to which the workspace has used its share.
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint64_t queued_tokens = 0;
};

class fair_queue {
public:
  void push_back(job_id id, const job_state& value, double share);
  // A preempted job comes first in its workspace. It is not charged again when it is resumed.
  void push_front(job_id id, const job_state& value, double share);
  // The job that is due, without removing it.
  std::optional<job_id> front(const job_table& jobs);
  // The first job of the first workspace in order whose flow `accept` takes, among the first `limit`.
  std::optional<job_id> find_first(const job_table& jobs, std::size_t limit,
                                   const std::function<bool(const flow&)>& accept);
  // Removes the first job of a workspace and charges its tokens.
  void start(const job_table& jobs, workspace_index workspace);
  // Accounts for a queued job that is cancelled; its entry is dropped when it comes to the front.
  void on_cancelled(const job_state& value);
  void on_run_ended(const job_state& value);
  // Charges tokens beyond those that the job had announced.
  void charge(workspace_index workspace, std::uint32_t tokens);

  [[nodiscard]] std::uint32_t queued() const { return m_queued; }
  [[nodiscard]] std::uint64_t queued_tokens() const { return m_queued_tokens; }
  [[nodiscard]] const flow* find(workspace_index workspace) const;
  // Sum of the shares of the workspaces with queued or running jobs.
  [[nodiscard]] double active_share() const { return m_active_share; }
  [[nodiscard]] std::size_t active_flows() const { return m_active; }

  // Forgets workspaces that have no jobs and no debt.
  void prune();

private:
  flow& open(workspace_index workspace, double share);
  void reorder(workspace_index workspace, flow& value);
  void drop_dead(const job_table& jobs, flow& value);
  void close_if_idle(flow& value);

  std::unordered_map<workspace_index, flow> m_flows;
  std::set<std::pair<double, workspace_index>> m_order;  // Workspaces with entries in `jobs`.
  double m_virtual_time = 0;
  double m_active_share = 0;
  std::size_t m_active = 0;
  std::uint32_t m_queued = 0;
  std::uint64_t m_queued_tokens = 0;
};

}  // namespace cuminpath::scheduling
