#include "core/agent/expert_planning.h"

#include <algorithm>
#include <utility>

namespace cuminpath::agent {

expert_planning::expert_planning(planning_options options)
    : m_options(options), m_sample(options.shape.layers, std::vector<float>(options.shape.experts, 0.0F)) {}

bool expert_planning::add(const wire::expert_load& report) {
  const auto fits = [this](const auto& layer) { return layer.size() == m_options.shape.experts; };
  if (report.rank >= m_options.shape.ranks || report.layers.size() != m_options.shape.layers ||
      !std::all_of(report.layers.begin(), report.layers.end(), fits)) {
    return false;
  }
  for (std::size_t layer = 0; layer < report.layers.size(); ++layer) {
    for (std::size_t expert = 0; expert < report.layers[layer].size(); ++expert) {
      m_sample[layer][expert] += static_cast<float>(report.layers[layer][expert]);
      m_sample_empty = m_sample_empty && report.layers[layer][expert] == 0;
    }
  }
  return true;
}

void expert_planning::tick(time_point now) {
  if (!m_sample_end) {
    m_sample_end = now + m_options.sample_interval;
  }
  if (now >= *m_sample_end && !m_sample_empty) {
    close_sample(now);
  }
}

void expert_planning::close_sample(time_point now) {
  m_estimator.add(now, m_sample);
  for (auto& layer : m_sample) {
    std::fill(layer.begin(), layer.end(), 0.0F);
  }
  m_sample_empty = true;
  m_sample_end = now + m_options.sample_interval;
}

result<void> expert_planning::set_map(std::string digest, placement::expert_map map) {
  auto checked = placement::check(map, m_options.shape);
  if (checked) {
    m_digest = std::move(digest);
    m_map = std::move(map);
  }
  return checked;
}

const placement::expert_map* expert_planning::map(std::string_view digest) const {
  return m_map && m_digest == digest ? &*m_map : nullptr;
}

result<placement::plan> expert_planning::make_plan(time_point now) {
  if (!m_map) {
    return make_error(error_code::not_found, "the map in use is not known yet");
  }
  if (m_estimator.loads().empty() && !m_sample_empty) {
    close_sample(now);
  }
  if (m_estimator.loads().empty()) {
    return make_error(error_code::not_found, "the ranks have not reported any expert load yet");
  }
  // All ranks are assumed to be equally fast: the step time that an engine reports does not show the time of
  // its experts separately.
  const std::vector<float> speeds(m_options.shape.ranks, 1.0F);
  placement::planner_options options;
  options.expert_bytes = m_options.expert_bytes;
  options.weight_store_bytes_per_s = m_options.weight_store_bytes_per_s;
  options.pattern_lifetime_s = m_estimator.expected_lifetime_s();
  return placement::make_plan(m_options.shape, *m_map, m_estimator.loads(), speeds, options);
}

}  // namespace cuminpath::agent
