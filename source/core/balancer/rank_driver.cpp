#include "core/balancer/rank_driver.h"

#include <algorithm>

#include "core/telemetry/log.h"

namespace cuminpath::balancer {
namespace {

using telemetry::log_level;

// Interval between status reads while a switch is under way.
constexpr milliseconds k_switch_status_interval{20};

std::string_view result_name(order_result result) {
  switch (result) {
    case order_result::accepted:
      return "accepted";
    case order_result::conflict:
      return "conflict";
    case order_result::stale:
      return "stale";
    case order_result::no_response:
      return "no_answer";
  }
  return "";
}

}  // namespace

rank_driver::rank_driver(std::unique_ptr<engine_port> engine, std::string address,
                         std::function<void(time_point)> on_status)
    : m_engine(std::move(engine)), m_address(std::move(address)), m_on_status(std::move(on_status)) {}

void rank_driver::tick(time_point now, milliseconds interval) {
  if (!m_reading &&
      now - m_read_at >= (has_directive() ? std::min(interval, k_switch_status_interval) : interval)) {
    read(now);
  }
}

void rank_driver::apply_directive(const directive* value, time_point now) {
  if (m_worker.set_directive(value)) {
    ++m_changes;
    if (value->kind == phase::checking && !m_reading) {
      read(now);
    }
  }
  send_order(now);
}

void rank_driver::read(time_point now) {
  m_reading = true;
  m_read_at = now;
  m_engine->read_status(
      [this, changes = m_changes, alive = std::weak_ptr<bool>(m_alive)](result<engine_status> status) {
        if (alive.expired()) {
          return;
        }
        m_reading = false;
        if (!status) {
          // The leader detects failed reads by the age of the view.
          telemetry::log(log_level::info, "engine", "engine status not read",
                         {{"engine", m_address}, {"reason", status.error().message}});
          return;
        }
        const time_point read_at = clock::now();
        m_view.status = std::move(status.value());
        m_view.updated_at = read_at;
        m_known = true;
        if (changes == m_changes) {
          m_worker.on_status(m_view.status);
        } else {
          read(read_at);
        }
        copy_worker_state();
        send_order(read_at);
        m_on_status(read_at);
      });
}

void rank_driver::send_order(time_point now) {
  auto next = m_worker.next_order(now);
  if (!next) {
    return;
  }
  const std::string name(order_name(next->body));
  m_engine->send(
      *next, [this, name, token = next->token, alive = std::weak_ptr<bool>(m_alive)](order_result result) {
        if (alive.expired()) {
          return;
        }
        const time_point done_at = clock::now();
        telemetry::log(result == order_result::accepted ? log_level::debug : log_level::info, "engine",
                       "order sent",
                       {{"order", name},
                        {"engine", m_address},
                        {"rank", static_cast<std::int64_t>(m_view.status.rank)},
                        {"epoch", static_cast<std::int64_t>(m_view.status.epoch)},
                        {"token", static_cast<std::int64_t>(token)},
                        {"result", result_name(result)},
                        {"step", static_cast<std::int64_t>(m_view.status.step)}});
        ++m_changes;
        m_worker.on_result(result, done_at);
        copy_worker_state();
        if (!m_reading) {
          read(done_at);
        }
      });
}

void rank_driver::copy_worker_state() {
  m_view.disarmed_token = m_worker.disarmed_token();
  m_view.disarmed_epoch = m_worker.disarmed_epoch();
  m_view.refused_token = m_worker.refused_token();
  m_view.followed_token = m_worker.followed_token();
  m_view.fenced = m_worker.fenced();
  m_view.armed_token = m_worker.armed_token();
  m_view.armed_version = m_worker.armed_version();
  m_view.checked = m_worker.checked();
  m_view.latched = m_worker.latched();
}

}  // namespace cuminpath::balancer
