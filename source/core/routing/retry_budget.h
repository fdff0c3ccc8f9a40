// Token bucket that bounds retries to a share of the first attempts, so that a failing fleet does not get
// more load by retries.
#pragma once

namespace cuminpath::routing {

class retry_budget {
public:
  // Retries earned by each first attempt. Attempts must stay under 1.1 times the requests; the difference
  // to 0.1 leaves room for the initial content of the bucket.
  static constexpr double k_earned = 0.08;
  // Capacity and initial content. In any interval, attempts <= 1.08 * requests + k_capacity.
  static constexpr double k_capacity = 10;

  void on_first_attempt();
  // Takes a retry out of the budget; false if there is none left.
  bool try_take();

private:
  double m_tokens = k_capacity;
};

}  // namespace cuminpath::routing
