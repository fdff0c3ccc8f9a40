// Decides whether and when an agent runs each request on its upstream.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/time.h"
#include "core/config/manifest.h"
#include "core/wire/messages.h"

namespace cuminpath::scheduling {

enum class job_id : std::uint64_t {};  // Chosen by the caller, unique among its jobs.

struct job {
  job_id id{};
  std::string workspace;
  std::string priority_class;
  std::uint32_t expected_tokens = 1;
  time_point deadline{};     // Set by the caller; on the local clock.
  bool preemptible = false;  // A run of the job may be cancelled and resumed later.
};

struct admitted {};
struct refused {
  wire::refusal_reason reason{};
  milliseconds retry_after{0};
};
using admission = std::variant<admitted, refused>;

// Decisions that the caller of the scheduler must carry out.
struct start_job {
  job_id id{};
  bool resumed = false;  // The job has run before and was preempted.
};
struct preempt_job {  // Its run must be cancelled. The job is queued again and started later.
  job_id id{};
};
struct refuse_job {  // The job left the queue without a run or, if it was preempted, before its end.
  job_id id{};
  wire::refusal_reason reason{};
  milliseconds retry_after{0};
};
using decision = std::variant<start_job, preempt_job, refuse_job>;

// The policies decide how an urgent job gets a slot when jobs of lower classes occupy all slots.

// Cancels runs of lower classes and resumes them later from their next token.
struct preempt_running {
  // Runs younger than this are not preempted, so that preemption does not cost more in restarts than it
  // gains.
  milliseconds min_run{0};
  // Fraction of the first-token target of its class that the first queued job waits before it preempts.
  double min_wait_fraction = 0.1;
  // Whether a workspace below its share of the runs of a class may preempt a run of one above its share.
  bool between_workspaces = true;
};
// Keeps this share of the slots free for the most urgent class.
struct reserve_slots {
  double share = 0.25;
};
// Never preempts: an urgent job waits until a run ends.
struct wait_for_slot {};
using urgent_policy = std::variant<preempt_running, reserve_slots, wait_for_slot>;

struct scheduler_options {
  std::uint32_t max_queued = 10000;
  urgent_policy urgent = preempt_running{};
  bool floors = true;
  bool fair_queueing = true;  // If false, the jobs of a class start in the order of their arrival.
  bool feasibility = true;    // If false, every job is admitted up to max_queued.
};

class scheduler {
public:
  explicit scheduler(scheduler_options options);
  ~scheduler();
  scheduler(scheduler&&) noexcept;
  scheduler& operator=(scheduler&&) noexcept;

  // May be called again at any time. Queued jobs keep their position.
  void configure(time_point now, std::span<const config::priority_class> classes,
                 std::span<const config::workspace> workspaces, std::uint32_t slots);

  // Queues the job if it is admitted.
  admission submit(time_point now, const job& value);
  // Appends the decisions that are due at `now`.
  void tick(time_point now, std::vector<decision>& decisions);

  // Record the progress of a started job.
  void on_tokens(time_point now, job_id id, std::uint32_t count);
  void on_finished(time_point now, job_id id);
  // Removes a job, queued or running. Unknown ids are ignored.
  void cancel(time_point now, job_id id);

  // Refuses all queued jobs that have not run and all later submissions with the reason draining.
  void drain(time_point now, std::vector<decision>& decisions);

  [[nodiscard]] std::uint32_t running() const;
  [[nodiscard]] std::uint32_t queued() const;
  [[nodiscard]] std::vector<wire::class_load> loads(time_point now) const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::scheduling
