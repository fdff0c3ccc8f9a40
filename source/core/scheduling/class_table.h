// Rows of the priority classes: queue, running jobs, and the account of the slot time owed by the floor.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/config/manifest.h"
#include "core/scheduling/fair_queue.h"

namespace cuminpath::scheduling {

struct class_state {
  config::priority_class declared;
  fair_queue queue;
  std::vector<job_id> running;
  std::size_t running_on_credit = 0;  // Runs that were started on the floor's account.
  // Slot-seconds that the class may claim before more urgent classes. Grows by what the class gets less than
  // its floor while it has jobs; shrinks only by runs that were started on it, so that slot time which
  // nobody else wanted is not held against the class when a flood of another class begins.
  double credit = 0;
  double usage = 0;  // Moving average of the share of the slots in use.
};

class class_table {
public:
  void configure(std::span<const config::priority_class> classes, std::uint32_t slots);
  // Accounts for the time since the last call. To be called before every change of `running`.
  void advance(time_point now);

  // A class that is not declared gets a row with the last rank, so that a job that arrives during a change
  // of the configuration is not lost.
  class_index row_of(std::string_view name);
  // By rank, most urgent first.
  [[nodiscard]] std::span<const class_index> order() const { return m_order; }
  [[nodiscard]] class_state& at(class_index row) { return m_rows[static_cast<std::size_t>(row)]; }
  [[nodiscard]] const class_state& at(class_index row) const { return m_rows[static_cast<std::size_t>(row)]; }
  [[nodiscard]] std::uint32_t slots() const { return m_slots; }
  [[nodiscard]] std::uint32_t running() const;
  [[nodiscard]] std::uint32_t queued() const;
  // Runs that are not preempted because the class has no more than its floor.
  [[nodiscard]] std::size_t runs_kept_by_floor(class_index row) const;
  // The class runs no more than that: it is not preempted.
  [[nodiscard]] bool protected_by_floor(class_index row) const;

private:
  void sort_order();

  std::vector<class_state> m_rows;
  std::vector<class_index> m_order;
  std::uint32_t m_slots = 1;
  time_point m_accounted{};
  bool m_started = false;
};

}  // namespace cuminpath::scheduling
