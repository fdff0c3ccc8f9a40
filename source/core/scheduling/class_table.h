// State of the priority classes: queue, running jobs, and the slot time that the floor of a class owes it.
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

// One priority class. Its floor is the share of the slots that it gets whatever the other classes need.
struct class_state {
  config::priority_class declared;
  fair_queue queue;
  std::vector<job_id> running;
  std::size_t running_on_credit = 0;  // Runs that were started on `credit`.
  // Slot-seconds that the class may claim before more urgent classes. Grows by the slot time that the class
  // lacks from its floor while it has jobs. Shrinks only by runs that were started on credit, so that slot
  // time that no other class wanted does not count against the class when another class is overloaded.
  double credit = 0;
  double usage = 0;  // Moving average of the share of the slots in use.
};

class class_table {
public:
  void configure(std::span<const config::priority_class> classes, std::uint32_t slots);
  // Updates credit and usage for the time since the last call. Must be called before every change of
  // `running`.
  void advance(time_point now);

  // Returns the row of a class. A class that is not declared gets a row with the lowest priority, so that a
  // job that arrives during a configuration change is not lost.
  class_index row_of(std::string_view name);
  // Rows by priority, most urgent first.
  [[nodiscard]] std::span<const class_index> order() const { return m_order; }
  [[nodiscard]] class_state& at(class_index row) { return m_rows[static_cast<std::size_t>(row)]; }
  [[nodiscard]] const class_state& at(class_index row) const { return m_rows[static_cast<std::size_t>(row)]; }
  [[nodiscard]] std::uint32_t slots() const { return m_slots; }
  [[nodiscard]] std::uint32_t running() const;
  [[nodiscard]] std::uint32_t queued() const;
  // Returns how many runs of the class its floor protects from preemption.
  [[nodiscard]] std::size_t runs_protected_by_floor(class_index row) const;
  // Whether the floor protects all runs of the class from preemption.
  [[nodiscard]] bool protected_by_floor(class_index row) const;

private:
  void sort_order();

  std::vector<class_state> m_rows;
  std::vector<class_index> m_order;
  std::uint32_t m_slots = 1;
  time_point m_advanced_at{};
  bool m_has_advanced = false;
};

}  // namespace cuminpath::scheduling
