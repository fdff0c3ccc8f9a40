// Carries out a leader's directive at one rank: decides which order its engine needs next. Performs no input
// or output. An order whose response was lost is sent again once the engine's status shows that it is not in
// effect.
#pragma once

#include <optional>

#include "core/balancer/engine_port.h"
#include "core/balancer/switch_directive.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

class rank_worker {
public:
  // Replaces the directive if the token of `value` is not lower than all earlier ones and has not been
  // refused. Null removes the directive.
  // Returns whether the directive has changed.
  bool set_directive(const directive* value);

  // Records a status that was requested after the last result of an order and the last change of the
  // directive.
  void on_status(const engine_status& status);

  // Returns the order that the engine needs now; absent while one is pending or if none is needed. After an
  // order's result, the next order requires a newer status.
  std::optional<order> next_order(time_point now);
  void on_result(order_result result, time_point now);

  // Returns the highest token that the engine has refused as too low. Directives up to it are ignored.
  [[nodiscard]] std::uint64_t refused_token() const { return m_refused_token; }
  // Returns the highest token of all directives so far.
  [[nodiscard]] std::uint64_t followed_token() const { return m_highest_token; }
  // Return the token and epoch of the last `disarm` that the engine has executed; 0 if there is none.
  [[nodiscard]] std::uint64_t disarmed_token() const { return m_disarmed_token; }
  [[nodiscard]] std::uint64_t disarmed_epoch() const { return m_disarmed_epoch; }
  // Returns the token of the last order of phase `fencing` that had been executed when the status was
  // requested.
  [[nodiscard]] const token_use& fenced() const { return m_fenced; }
  // Return the token and the version of the last `arm` that was accepted; 0 if there is none.
  [[nodiscard]] std::uint64_t armed_token() const { return m_armed_token; }
  [[nodiscard]] std::uint64_t armed_version() const { return m_armed_version; }
  [[nodiscard]] const status_check& checked() const { return m_checked; }
  [[nodiscard]] const latched_switch& latched() const { return m_latched; }
  [[nodiscard]] bool has_directive() const { return m_directive.has_value(); }
  // Whether the result of an order is awaited.
  [[nodiscard]] bool has_pending_order() const { return m_pending_order.has_value(); }

private:
  [[nodiscard]] std::optional<order_body> needed_order(time_point now) const;

  std::optional<directive> m_directive;
  std::optional<engine_status> m_status;
  std::optional<order> m_pending_order;
  std::uint64_t m_highest_token = 0;
  std::uint64_t m_refused_token = 0;
  std::uint64_t m_disarmed_token = 0;
  std::uint64_t m_disarmed_epoch = 0;
  token_use m_fence_executed;  // Since when the engine refuses lower tokens.
  token_use m_fenced;
  std::uint64_t m_armed_token = 0;
  std::uint64_t m_armed_version = 0;
  status_check m_checked;
  latched_switch m_latched;
  std::uint64_t m_accepted_prepare_version = 0;  // Version of the last `prepare` that was accepted.
  time_point m_prepare_accepted_at{};
  bool m_status_outdated = true;  // The status is older than the last order.
};

}  // namespace cuminpath::balancer
