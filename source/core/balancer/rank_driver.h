// The work at one rank: reads its engine's status and gives the orders that its worker asks for.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/balancer/engine_port.h"
#include "core/balancer/rank_worker.h"
#include "core/balancer/switch_leader.h"
#include "core/common/time.h"

namespace cuminpath::balancer {

class rank_driver {
public:
  // `address` of the engine, for the log. `changed` is called after each new status.
  rank_driver(std::unique_ptr<engine_port> engine, std::string address,
              std::function<void(time_point)> changed);

  // Reads the status if the last one is older than `interval`, and more often during a switch.
  void tick(time_point now, milliseconds interval);
  // Takes the leader's directive and gives the order that it asks for, if one is needed.
  void follow(const directive* value, time_point now);

  engine_port& engine() { return *m_engine; }
  // True once a status has been read.
  [[nodiscard]] bool known() const { return m_known; }
  [[nodiscard]] bool working() const { return m_worker.working(); }
  [[nodiscard]] const rank_view& view() const { return m_view; }

private:
  void read(time_point now);
  void give_order(time_point now);
  void note_worker();

  std::unique_ptr<engine_port> m_engine;
  std::string m_address;
  std::function<void(time_point)> m_changed;
  rank_worker m_worker;
  rank_view m_view;
  std::shared_ptr<bool> m_alive =
      std::make_shared<bool>(true);  // Answers may come after the driver has ended.
  bool m_known = false;
  bool m_reading = false;
  time_point m_read_at{};
};

}  // namespace cuminpath::balancer
