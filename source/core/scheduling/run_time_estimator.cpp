#include "core/scheduling/run_time_estimator.h"

#include <algorithm>

namespace cuminpath::scheduling {
namespace {

// Weight of a new sample. Averages over about twenty runs, which follows a change of the engine's speed
// within seconds but not a single long run.
constexpr double k_sample_weight = 0.05;

void update_average(double& value, double sample) {
  value = value > 0 ? value + k_sample_weight * (sample - value) : sample;
}

}  // namespace

void run_time_estimator::on_first_token(double elapsed_s) {
  update_average(m_first_token_s, elapsed_s);
}

void run_time_estimator::on_decoded(double elapsed_s, std::uint32_t tokens) {
  update_average(m_token_s, elapsed_s / std::max(tokens, 1U));
}

void run_time_estimator::on_length(std::uint32_t tokens, std::uint32_t announced) {
  update_average(m_length_ratio, static_cast<double>(tokens) / std::max(announced, 1U));
}

}  // namespace cuminpath::scheduling
