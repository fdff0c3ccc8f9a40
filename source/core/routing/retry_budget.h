// Token bucket that bounds retries to a share of the first attempts, so that a failing fleet does not get
// more load by retries.
#pragma once

namespace cuminpath::routing {

class retry_budget {
public:
  void on_first_attempt();
  // Takes a retry out of the budget; false if there is none left.
  bool try_take();

private:
  double m_tokens = 10;
};

}  // namespace cuminpath::routing
