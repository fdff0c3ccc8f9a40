// Expected times of runs, learned from the runs of this upstream.
#pragma once

#include <cstdint>

namespace cuminpath::scheduling {

class run_time_estimator {
public:
  // Seconds from the start of a run to its first token.
  void on_first_token(double elapsed_s);
  // Seconds from the first token to the end, and the tokens produced in that time.
  void on_decoded(double elapsed_s, std::uint32_t tokens);
  // Whole length of a response against the announced one. Callers announce limits rather than lengths.
  void on_length(std::uint32_t tokens, std::uint32_t announced);

  // 0 until something has been learned: without knowledge nothing is refused.
  [[nodiscard]] double first_token_s() const { return m_first_token_s; }
  // Slot time of `runs` runs with `announced` tokens together.
  [[nodiscard]] double run_s(double runs, double announced) const {
    return runs * m_first_token_s + announced * m_length_ratio * m_token_s;
  }

private:
  double m_first_token_s = 0;
  double m_token_s = 0;
  double m_length_ratio = 0;
};

}  // namespace cuminpath::scheduling
