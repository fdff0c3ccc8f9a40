#include "core/balancer/rank_driver.h"

#include <algorithm>

#include "core/telemetry/log.h"

namespace cuminpath::balancer {
namespace {

using telemetry::log_level;

// Between reads of a status while a switch is under way.
constexpr milliseconds k_working_interval{20};

std::string_view result_name(order_result result) {
  switch (result) {
    case order_result::accepted:
      return "accepted";
    case order_result::conflict:
      return "conflict";
    case order_result::stale:
      return "stale";
    case order_result::no_answer:
      return "no_answer";
  }
  return "";
}

}  // namespace

rank_driver::rank_driver(std::unique_ptr<engine_port> engine, std::string address,
                         std::function<void(time_point)> changed)
    : m_engine(std::move(engine)), m_address(std::move(address)), m_changed(std::move(changed)) {}

void rank_driver::tick(time_point now, milliseconds interval) {
  if (!m_reading && now - m_read_at >= (working() ? std::min(interval, k_working_interval) : interval)) {
    read(now);
  }
}

void rank_driver::follow(const directive* value, time_point now) {
  m_worker.set_directive(value);
  give_order(now);
}

void rank_driver::read(time_point now) {
  m_reading = true;
  m_read_at = now;
  m_engine->read_status([this, alive = std::weak_ptr<bool>(m_alive)](result<engine_status> status) {
    if (alive.expired()) {
      return;
    }
    m_reading = false;
    if (!status) {
      // The view grows old, which is what the leader goes by.
      telemetry::log(log_level::info, "engine", "status not read",
                     {{"engine", m_address}, {"reason", status.error().message}});
      return;
    }
    const time_point read_at = clock::now();
    m_view.status = std::move(status.value());
    m_view.at = read_at;
    m_known = true;
    m_worker.on_status(m_view.status);
    note_worker();
    give_order(read_at);
    m_changed(read_at);
  });
}

void rank_driver::give_order(time_point now) {
  auto next = m_worker.next_order(now);
  if (!next) {
    return;
  }
  const std::string name(order_name(next->body));
  m_engine->give(
      *next, [this, name, token = next->token, alive = std::weak_ptr<bool>(m_alive)](order_result result) {
        if (alive.expired()) {
          return;
        }
        const time_point done_at = clock::now();
        telemetry::log(result == order_result::accepted ? log_level::debug : log_level::info, "engine",
                       "order given",
                       {{"order", name},
                        {"engine", m_address},
                        {"rank", static_cast<std::int64_t>(m_view.status.rank)},
                        {"epoch", static_cast<std::int64_t>(m_view.status.epoch)},
                        {"token", static_cast<std::int64_t>(token)},
                        {"result", result_name(result)},
                        {"step", static_cast<std::int64_t>(m_view.status.step)}});
        m_worker.on_result(result, done_at);
        note_worker();
        if (!m_reading) {
          read(done_at);
        }
      });
}

void rank_driver::note_worker() {
  m_view.disarmed_token = m_worker.disarmed_token();
  m_view.disarmed_epoch = m_worker.disarmed_epoch();
  m_view.refused_token = m_worker.refused_token();
  m_view.followed_token = m_worker.followed_token();
}

}  // namespace cuminpath::balancer
