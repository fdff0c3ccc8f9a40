#include "core/balancer/switch_directive.h"

namespace cuminpath::balancer {

std::string_view phase_name(phase value) {
  switch (value) {
    case phase::idle:
      return "idle";
    case phase::preparing:
      return "preparing";
    case phase::checking:
      return "checking";
    case phase::holding:
      return "holding";
    case phase::arming:
      return "arming";
    case phase::arming_holder:
      return "arming_holder";
    case phase::arming_leader:
      return "arming_leader";
    case phase::going:
      return "going";
    case phase::fencing:
      return "fencing";
    case phase::disarming:
      return "disarming";
    case phase::releasing:
      return "releasing";
  }
  return "";
}

bool is_armed(const rank_view& rank, const directive& active) {
  if (rank.status.epoch != active.epoch || rank.status.armed != armed_switch{active.version, active.step}) {
    return false;
  }
  // All ranks have prepared a version of the leader's own token by an order with that token.
  return token_of_version(active.version) == active.token ||
         (rank.armed_token == active.token && rank.armed_version == active.version);
}

bool is_turn_to_arm(std::uint32_t rank, const directive& active) {
  switch (active.kind) {
    case phase::arming:
      return rank != active.leader && rank != active.holder;
    case phase::arming_holder:
      return rank != active.leader;
    case phase::arming_leader:
      return true;
    default:
      return false;
  }
}

bool has_to_act(const rank_view& rank, const directive& active) {
  const engine_status& status = rank.status;
  if (active.absent == status.rank) {
    return false;
  }
  switch (active.kind) {
    case phase::idle:
    case phase::preparing:
      return false;
    case phase::checking:
      return rank.checked != status_check{active.version, active.round};
    case phase::holding:
    case phase::going:
      return status.rank == active.holder;
    case phase::releasing:
      return status.held.has_value();
    case phase::arming:
    case phase::arming_holder:
    case phase::arming_leader:
      return is_turn_to_arm(status.rank, active) && status.map_version != active.version &&
             !is_armed(rank, active);
    case phase::fencing:
      return rank.fenced != token_use{active.token, active.epoch};
    case phase::disarming:
      return status.armed || rank.disarmed_token != active.token || rank.disarmed_epoch != active.epoch;
  }
  return true;
}

}  // namespace cuminpath::balancer
