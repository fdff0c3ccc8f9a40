// Carries out a leader's directive at one rank: decides which order its engine needs next. A core without
// input or output. Orders whose answer was lost are given again once the engine's status shows that they are
// not in force.
#pragma once

#include <optional>

#include "core/balancer/engine_port.h"
#include "core/balancer/switch_leader.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

class rank_worker {
public:
  // Takes a directive if it is of the highest token so far. Null ends the work.
  void set_directive(const directive* value);

  // A status that was asked for after the last result of an order.
  void on_status(const engine_status& status) {
    m_status = status;
    m_status_used = false;
  }

  // The order that the engine needs now; absent while one is under way or none is needed. After an order has
  // been taken, the next one needs a newer status.
  std::optional<order> next_order(time_point now);
  void on_result(order_result result, time_point now);

  // Highest token that the engine has refused as too low; directives up to it are ignored.
  [[nodiscard]] std::uint64_t refused_token() const { return m_refused_token; }
  // Highest token of a directive so far.
  [[nodiscard]] std::uint64_t followed_token() const { return m_highest_token; }
  // Token and epoch of the last `disarm` that the engine has carried out; 0 if there is none.
  [[nodiscard]] std::uint64_t disarmed_token() const { return m_disarmed_token; }
  [[nodiscard]] std::uint64_t disarmed_epoch() const { return m_disarmed_epoch; }
  [[nodiscard]] bool working() const { return m_directive.has_value(); }

private:
  [[nodiscard]] std::optional<order_body> needed(time_point now) const;

  std::optional<directive> m_directive;
  std::optional<engine_status> m_status;
  std::optional<order> m_under_way;
  std::uint64_t m_highest_token = 0;
  std::uint64_t m_refused_token = 0;
  std::uint64_t m_disarmed_token = 0;
  std::uint64_t m_disarmed_epoch = 0;
  std::uint64_t m_prepare_given = 0;  // Version of the last `prepare` that was accepted.
  time_point m_prepare_given_at{};
  bool m_status_used = true;  // The status is older than the last order.
};

}  // namespace cuminpath::balancer
