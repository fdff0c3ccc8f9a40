// What the coordinator of a group plans from: the expert loads of all ranks and the map in use. A core
// without input or output.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/placement/drift_estimator.h"
#include "core/placement/planner.h"
#include "core/wire/messages.h"

namespace cuminpath::agent {

struct planning_options {
  placement::group_shape shape;
  std::uint64_t expert_bytes = 0;
  double weight_store_bytes_per_s = 1e9;
  // Reports of the ranks are added up for this long before they count as one interval of the estimator.
  milliseconds sample_interval{15000};
};

class expert_planning {
public:
  explicit expert_planning(planning_options options);

  // Tokens since the last report of a rank. False if the report does not fit the group.
  bool add(const wire::expert_load& report);
  void tick(time_point now);
  // Errors: invalid_input if the map does not fit the group.
  result<void> set_map(std::string digest, placement::expert_map map);
  // The map of this digest, if it is the one that was set last.
  [[nodiscard]] const placement::expert_map* map(std::string_view digest) const;

  // A plan from the map that was set. Errors: not_found while the map or the loads are not known.
  result<placement::plan> make(time_point now);
  [[nodiscard]] const placement::group_shape& shape() const { return m_options.shape; }
  // Time for which the load pattern is expected to last.
  [[nodiscard]] double expected_lifetime_s() const { return m_estimator.expected_lifetime_s(); }

private:
  void close_sample(time_point now);

  planning_options m_options;
  placement::drift_estimator m_estimator;
  placement::expert_loads m_sample;
  bool m_sample_empty = true;
  std::optional<time_point> m_sample_end;
  std::string m_digest;
  std::optional<placement::expert_map> m_map;
};

}  // namespace cuminpath::agent
