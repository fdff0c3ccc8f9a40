#include "core/routing/retry_budget.h"

#include <algorithm>

namespace cuminpath::routing {

void retry_budget::on_first_attempt() {
  m_tokens = std::min(m_tokens + k_earned, k_capacity);
}

bool retry_budget::try_take() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace cuminpath::routing
