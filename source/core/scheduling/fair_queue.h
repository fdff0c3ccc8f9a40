// Start-time fair queueing between the workspaces of one class, with tokens as the cost of a job.
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

// Jobs of one workspace. A cancelled job stays in `jobs` until it reaches the front.
struct flow {
  std::deque<std::pair<job_id, std::uint64_t>> jobs;  // With job_state::sequence.
  double share = 1;
  double start_tag = 0;   // Of the first job; the sort key of the workspace.
  double finish_tag = 0;  // Virtual time up to which the workspace has used its share.
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint64_t queued_tokens = 0;
};

class fair_queue {
public:
  // Adds a job at the end of its workspace's jobs.
  void push_back(job_id id, const job_state& value, double share);
  // Adds a preempted job in front of its workspace's jobs. It is not charged again when it is resumed.
  void push_front(job_id id, const job_state& value, double share);
  // Returns the next job in fair order without removing it.
  std::optional<job_id> front(const job_table& jobs);
  // Returns the first job of the first workspace for whose flow `accept` returns true. Checks at most `limit`
  // workspaces, in fair order.
  std::optional<job_id> find_first(const job_table& jobs, std::size_t limit,
                                   const std::function<bool(const flow&)>& accept);
  // Removes the first job of a workspace, counts it as running and charges its tokens.
  void start(const job_table& jobs, workspace_index workspace);
  // Updates the counters for a queued job that is cancelled. Its entry is dropped when it reaches the front.
  void on_cancelled(const job_state& value);
  void on_run_ended(const job_state& value);
  // Charges tokens that a job produced beyond the announced count.
  void charge(workspace_index workspace, std::uint32_t tokens);

  [[nodiscard]] std::uint32_t queued() const { return m_queued; }
  [[nodiscard]] std::uint64_t queued_tokens() const { return m_queued_tokens; }
  [[nodiscard]] const flow* find(workspace_index workspace) const;
  // Sum of the shares of all workspaces with queued or running jobs.
  [[nodiscard]] double active_share() const { return m_active_share; }
  [[nodiscard]] std::size_t active_flows() const { return m_active; }

  // Removes the workspaces that have no jobs and have not used more than their share.
  void prune();

private:
  // Returns the flow of a workspace and counts it as active with `share`.
  flow& activate(workspace_index workspace, double share);
  // Computes the start tag of a workspace anew and moves it to its position in `m_order`.
  void reorder(workspace_index workspace, flow& value);
  // Removes the entries at the front whose jobs were cancelled or queued again.
  void drop_stale_entries(const job_table& jobs, flow& value);
  // Stops counting a flow without jobs as active. Ends the busy period if it was the last one.
  void deactivate_if_idle(flow& value);

  std::unordered_map<workspace_index, flow> m_flows;
  std::set<std::pair<double, workspace_index>> m_order;  // Workspaces with entries in `jobs`.
  double m_virtual_time = 0;
  double m_active_share = 0;
  std::size_t m_active = 0;
  std::uint32_t m_queued = 0;
  std::uint64_t m_queued_tokens = 0;
};

}  // namespace cuminpath::scheduling
