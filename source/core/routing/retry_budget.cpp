#include "core/routing/retry_budget.h"

#include <algorithm>

namespace cuminpath::routing {

void retry_budget::on_first_attempt() {
  m_tokens = std::min(m_tokens + m_options.retries_per_attempt, m_options.capacity);
}

bool retry_budget::try_take() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void retry_budget::set_options(const retry_budget_options& options) {
  m_options = options;
  m_tokens = std::min(m_tokens, m_options.capacity);
}

}  // namespace cuminpath::routing
