// Token bucket that bounds retries to a share of the first attempts, so that a failing fleet does not get
// more load by retries.
#pragma once

namespace cuminpath::routing {

struct retry_budget_options {
  // Retries earned by each first attempt. Attempts must stay under 1.1 times the requests; the difference
  // to 0.1 leaves room for the initial content of the bucket.
  double earned = 0.08;
  // Capacity. In any interval, attempts <= (1 + earned) * requests + capacity.
  double capacity = 10;
  // Content at the start.
  double initial = 10;
};

class retry_budget {
public:
  static constexpr retry_budget_options k_defaults{};

  explicit retry_budget(const retry_budget_options& options = k_defaults)
      : m_options(options), m_tokens(options.initial) {}

  void on_first_attempt();
  // Takes a retry out of the budget; false if there is none left.
  bool try_take();
  [[nodiscard]] bool available() const { return m_tokens >= 1; }
  // Changes the limits, for example when the number of processes that share them has changed.
  void set_options(const retry_budget_options& options);

private:
  retry_budget_options m_options;
  double m_tokens;
};

}  // namespace cuminpath::routing
