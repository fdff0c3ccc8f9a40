// Token bucket that limits retries to a share of the first attempts, so that retries add little load to a
// failing fleet.
#pragma once

#include <cstdint>

namespace cuminpath::routing {

struct retry_budget_options {
  // Retries added by each first attempt. Attempts must stay below 1.1 times the requests; the difference to
  // 0.1 covers the initial content of the bucket.
  double retries_per_attempt = 0.08;
  // Capacity of the bucket. In any interval, attempts <= (1 + retries_per_attempt) * requests + capacity.
  double capacity = 10;
  // Initial content of the bucket.
  double initial = 10;
};

class retry_budget {
public:
  static constexpr retry_budget_options k_defaults{};

  explicit retry_budget(const retry_budget_options& options = k_defaults)
      : m_options(options), m_tokens(options.initial) {}

  void on_first_attempt();
  // Takes one retry from the budget. Returns false if none is left.
  bool try_take();
  [[nodiscard]] bool available() const { return m_tokens >= 1; }
  [[nodiscard]] std::uint32_t retries_left() const { return static_cast<std::uint32_t>(m_tokens); }
  // Changes the limits, for example when the number of processes that share them has changed.
  void set_options(const retry_budget_options& options);

private:
  retry_budget_options m_options;
  double m_tokens;
};

}  // namespace cuminpath::routing
