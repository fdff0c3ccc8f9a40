#include "core/scheduling/run_time_estimator.h"

#include <algorithm>

namespace cuminpath::scheduling {
namespace {

// About twenty runs: follows a change of the engine's speed within seconds, but not a single long run.
constexpr double k_weight = 0.05;

void average(double& value, double sample) {
  value = value > 0 ? value + k_weight * (sample - value) : sample;
}

}  // namespace

void run_time_estimator::on_first_token(double elapsed_s) {
  average(m_first_token_s, elapsed_s);
}

void run_time_estimator::on_decoded(double elapsed_s, std::uint32_t tokens) {
  average(m_token_s, elapsed_s / std::max(tokens, 1U));
}

void run_time_estimator::on_length(std::uint32_t tokens, std::uint32_t announced) {
  average(m_length_ratio, static_cast<double>(tokens) / std::max(announced, 1U));
}

}  // namespace cuminpath::scheduling
