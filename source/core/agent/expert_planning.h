// Plans the expert map of a group from the expert loads of all ranks and the map in use. Performs no input or
// output.
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
  // The reports of the ranks are summed over this interval and then added to the estimator as one sample.
  milliseconds sample_interval{15000};
};

// Collects expert loads and makes plans from them. Runs in the agent of rank 0.
class expert_planning {
public:
  explicit expert_planning(planning_options options);

  // Adds a report of a rank: the tokens since its last report. Returns false if the shape of the report does
  // not match the group.
  bool add(const wire::expert_load& report);
  void tick(time_point now);
  // Sets the map in use. Errors: invalid_input if the map does not match the group.
  result<void> set_map(std::string digest, placement::expert_map map);
  // Returns the map that was set last if it has this digest, otherwise null.
  [[nodiscard]] const placement::expert_map* map(std::string_view digest) const;

  // Makes a plan that starts from the map in use. Errors: not_found while the map or the loads are not known.
  result<placement::plan> make_plan(time_point now);
  [[nodiscard]] const placement::group_shape& shape() const { return m_options.shape; }
  // Returns the time in seconds for which the load pattern is expected to last.
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
