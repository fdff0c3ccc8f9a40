#include "core/scheduling/class_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminpath::scheduling {
namespace {

// Limit on the slot time beyond its floor that counts against a class, in seconds of its floor. Must be
// longer than a run, otherwise a class with a small floor gets more than its floor during an overload of an
// urgent class.
constexpr double k_max_debt_s = 30;
// Limit on the slot time owed to a class while no slot becomes free, in seconds of its floor.
constexpr double k_max_claim_s = 10;
// Slot-seconds for which a run started on credit keeps its slot, so that it is not preempted as soon as the
// credit is used up.
constexpr double k_min_run_slot_seconds = 1;
constexpr double k_usage_time_constant_s = 2;

bool has_jobs(const class_state& value) {
  return value.queue.queued() > 0 || !value.running.empty();
}

}  // namespace

void class_table::configure(std::span<const config::priority_class> classes, std::uint32_t slots) {
  m_slots = std::max(slots, 1U);
  for (class_state& row : m_rows) {
    // Classes that are no longer declared finish their jobs after all others.
    row.declared = {.name = row.declared.name, .priority = std::numeric_limits<std::uint32_t>::max()};
  }
  for (const config::priority_class& value : classes) {
    at(row_of(value.name)).declared = value;
  }
  sort_order();
}

class_index class_table::row_of(std::string_view name) {
  const auto found = std::find_if(m_rows.begin(), m_rows.end(),
                                  [&](const class_state& row) { return row.declared.name == name; });
  if (found != m_rows.end()) {
    return static_cast<class_index>(found - m_rows.begin());
  }
  class_state& row = m_rows.emplace_back();
  row.declared = {.name = std::string(name), .priority = std::numeric_limits<std::uint32_t>::max()};
  sort_order();
  return static_cast<class_index>(m_rows.size() - 1);
}

void class_table::sort_order() {
  m_order.resize(m_rows.size());
  for (std::size_t i = 0; i < m_rows.size(); ++i) {
    m_order[i] = static_cast<class_index>(i);
  }
  std::stable_sort(m_order.begin(), m_order.end(), [this](class_index left, class_index right) {
    return at(left).declared.priority < at(right).declared.priority;
  });
}

void class_table::advance(time_point now) {
  const double elapsed_s = m_has_advanced ? std::chrono::duration<double>(now - m_advanced_at).count() : 0;
  m_advanced_at = now;
  m_has_advanced = true;
  if (elapsed_s <= 0) {
    return;
  }
  const double weight = 1 - std::exp(-elapsed_s / k_usage_time_constant_s);
  for (class_state& row : m_rows) {
    const auto used = static_cast<double>(row.running.size());
    const double floor_slots = row.declared.floor * m_slots;
    const double min_credit = -std::max(floor_slots * k_max_debt_s, 2 * k_min_run_slot_seconds);
    const double max_claim = has_jobs(row) ? floor_slots * k_max_claim_s : 0;
    const auto on_credit = static_cast<double>(row.running_on_credit);
    // The floor pays off a debt at any time. A claim arises only while the class gets less than its floor.
    const double change = row.credit < 0 ? floor_slots - on_credit : std::max(floor_slots - used, -on_credit);
    const double max_credit = row.credit < 0 && used >= floor_slots ? 0 : max_claim;
    row.credit = std::clamp(row.credit + change * elapsed_s, min_credit, max_credit);
    row.usage += weight * (used / m_slots - row.usage);
  }
}

std::uint32_t class_table::running() const {
  std::size_t sum = 0;
  for (const class_state& row : m_rows) {
    sum += row.running.size();
  }
  return static_cast<std::uint32_t>(sum);
}

std::uint32_t class_table::queued() const {
  std::uint32_t sum = 0;
  for (const class_state& row : m_rows) {
    sum += row.queue.queued();
  }
  return sum;
}

std::size_t class_table::runs_protected_by_floor(class_index row) const {
  const class_state& state = at(row);
  return state.credit > -k_min_run_slot_seconds
             ? static_cast<std::size_t>(std::ceil(state.declared.floor * m_slots))
             : 0;
}

bool class_table::protected_by_floor(class_index row) const {
  return at(row).running.size() <= runs_protected_by_floor(row);
}

}  // namespace cuminpath::scheduling
