#include "core/wire/messages.h"

namespace cuminpath::wire {

std::string_view to_string(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::draining:
      return "draining";
    case refusal_reason::stale_configuration:
      return "stale_configuration";
    case refusal_reason::infeasible:
      return "infeasible";
    case refusal_reason::queue_full:
      return "queue_full";
    case refusal_reason::over_share:
      return "over_share";
    case refusal_reason::deadline_passed:
      return "deadline_passed";
    case refusal_reason::duplicate_attempt:
      return "duplicate_attempt";
    case refusal_reason::upstream_failed:
      return "upstream_failed";
    case refusal_reason::unknown_upstream:
      return "unknown_upstream";
    case refusal_reason::cancelled:
      return "cancelled";
    case refusal_reason::agent_restarted:
      return "agent_restarted";
  }
  return "";
}

}  // namespace cuminpath::wire
