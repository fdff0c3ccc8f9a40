#include "core/balancer/planned_stop.h"

namespace cuminpath::balancer {
namespace {

// Datagrams can be lost, so the last report is sent more than once.
constexpr std::uint32_t k_last_reports = 3;

}  // namespace

planned_stop::planned_stop(time_point signalled_at, milliseconds grace_period)
    : m_signalled_at(signalled_at), m_finish_by(signalled_at + grace_period / 2) {}

stop_stage planned_stop::advance(bool needed, time_point now) {
  if (m_last_reports == 0 && needed && now < m_finish_by) {
    return stop_stage::finishing;
  }
  if (m_last_reports == k_last_reports) {
    return stop_stage::ended;
  }
  ++m_last_reports;
  return stop_stage::leaving;
}

}  // namespace cuminpath::balancer
