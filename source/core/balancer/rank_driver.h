// Drives one rank: reads its engine's status and sends the orders that its worker decides on.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/balancer/engine_port.h"
#include "core/balancer/rank_worker.h"
#include "core/balancer/switch_directive.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

class rank_driver {
public:
  // `address` is the engine's and only logged. `on_status` is called after each new status.
  rank_driver(std::unique_ptr<engine_port> engine, std::string address,
              std::function<void(time_point)> on_status);

  // Reads the status if the last one is older than `interval`, and more often during a switch.
  void tick(time_point now, milliseconds interval);
  // Applies the leader's directive (null for none) and sends the order that it requires, if one is needed.
  void apply_directive(const directive* value, time_point now);

  engine_port& engine() { return *m_engine; }
  // Whether a status has been read.
  [[nodiscard]] bool known() const { return m_known; }
  [[nodiscard]] bool has_directive() const { return m_worker.has_directive(); }
  [[nodiscard]] bool has_pending_order() const { return m_worker.has_pending_order(); }
  // `updated_at` is when the last status was read.
  [[nodiscard]] const rank_view& view() const { return m_view; }

private:
  void read(time_point now);
  void send_order(time_point now);
  void copy_worker_state();

  std::unique_ptr<engine_port> m_engine;
  std::string m_address;
  std::function<void(time_point)> m_on_status;
  rank_worker m_worker;
  rank_view m_view;
  // Responses can arrive after the driver has been destroyed.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  bool m_known = false;
  bool m_reading = false;
  // Counts the results of orders and the changes of the directive. A status that was requested before the
  // last one says nothing about them.
  std::uint64_t m_changes = 0;
  time_point m_read_at{};
};

}  // namespace cuminpath::balancer
