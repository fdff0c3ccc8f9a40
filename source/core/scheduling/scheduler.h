// Decides when and whether an agent runs each request on its upstream.
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
  time_point deadline{};     // The caller's, on this process's clock.
  bool preemptible = false;  // Its run may be cancelled and resumed later.
};

struct admitted {};
struct refused {
  wire::refusal_reason reason{};
  milliseconds retry_after{0};
};
using admission = std::variant<admitted, refused>;

// Decisions to carry out.
struct start_job {
  job_id id{};
  bool resumed = false;  // It has run before and was preempted.
};
struct preempt_job {  // Cancel its run; it is queued again and started later.
  job_id id{};
};
struct refuse_job {  // It left the queue without a run (or, if preempted before, without its end).
  job_id id{};
  wire::refusal_reason reason{};
  milliseconds retry_after{0};
};
using decision = std::variant<start_job, preempt_job, refuse_job>;

// How urgent work gets a slot when work of lower classes runs in all of them.

// Runs of lower classes are cancelled and resumed later at the next token.
struct preempt_running {
  // A run is left alone until it has used its slot for this long since its start, so that preemption does
  // not spend more on restarts than it gains.
  milliseconds min_run{0};
  // The first job in the queue waits for this share of its class's first-token target before it preempts.
  double patience = 0.1;
  // A workspace below its share of the runs of a class may also preempt one above its share.
  bool between_workspaces = true;
};
// Lower classes leave this share of the slots free for the most urgent class.
struct reserve_slots {
  double share = 0.25;
};
struct wait_for_slot {};
using urgent_policy = std::variant<preempt_running, reserve_slots, wait_for_slot>;

struct scheduler_options {
  std::uint32_t max_queued = 10000;
  urgent_policy urgent = preempt_running{};
  bool floors = true;
  bool fair_queueing = true;  // Off: first come, first served inside a class.
  bool feasibility = true;    // Off: everything is admitted up to max_queued.
};

class scheduler {
public:
  explicit scheduler(scheduler_options options);
  ~scheduler();
  scheduler(scheduler&&) noexcept;
  scheduler& operator=(scheduler&&) noexcept;

  // May be called again at any time; queued jobs keep their place.
  void configure(time_point now, std::span<const config::priority_class> classes,
                 std::span<const config::workspace> workspaces, std::uint32_t slots);

  admission submit(time_point now, const job& value);
  // Appends the decisions that are due.
  void tick(time_point now, std::vector<decision>& decisions);

  // Progress of a started job.
  void on_tokens(time_point now, job_id id, std::uint32_t count);
  void on_finished(time_point now, job_id id);
  // Removes a job, queued or running. Unknown ids are ignored.
  void cancel(time_point now, job_id id);

  // From now on nothing is admitted; queued jobs that have not run are refused with reason draining.
  void drain(time_point now, std::vector<decision>& decisions);

  [[nodiscard]] std::uint32_t running() const;
  [[nodiscard]] std::uint32_t queued() const;
  [[nodiscard]] std::vector<wire::class_load> loads(time_point now) const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::scheduling
