// Expected times of runs, learned from the runs of this upstream.
#pragma once

#include <cstdint>

namespace cuminpath::scheduling {

class run_time_estimator {
public:
  // Seconds from the start of a run to its first token.
  void on_first_token(double elapsed_s);
  // `expected_tokens` is what the run was announced with, so errors of announcements average out.
  void on_finished(double elapsed_s, std::uint32_t expected_tokens);

  // 0 until something has been learned: without knowledge nothing is refused.
  [[nodiscard]] double first_token_s() const { return m_first_token_s; }
  [[nodiscard]] double run_s(double expected_tokens) const { return expected_tokens * m_token_s; }

private:
  double m_first_token_s = 0;
  double m_token_s = 0;
};

}  // namespace cuminpath::scheduling
