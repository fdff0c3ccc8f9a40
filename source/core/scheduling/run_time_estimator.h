// Estimates run times from the past runs on the local upstream.
#pragma once

#include <cstdint>

namespace cuminpath::scheduling {

class run_time_estimator {
public:
  // Records the time from the start of a run to its first token.
  void on_first_token(double elapsed_s);
  // Records the time from the first token of a run to its end, and the tokens produced in that time.
  void on_decoded(double elapsed_s, std::uint32_t tokens);
  // Records the length of a response beside the announced length. They differ because callers announce limits
  // rather than lengths.
  void on_length(std::uint32_t tokens, std::uint32_t announced);

  // 0 until the first run, so that no job is refused before there are measurements.
  [[nodiscard]] double first_token_s() const { return m_first_token_s; }
  // Returns the slot time of `runs` runs with `announced` tokens in total.
  [[nodiscard]] double run_s(double runs, double announced) const {
    return runs * m_first_token_s + announced * m_length_ratio * m_token_s;
  }

private:
  double m_first_token_s = 0;
  double m_token_s = 0;
  double m_length_ratio = 0;
};

}  // namespace cuminpath::scheduling
