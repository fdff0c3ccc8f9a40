#include "emulator/service_role.h"

namespace cuminpath::emulator {

void service_role::handle(const http::request& request, const responder_ptr& to) {
  json body = {{"path", std::string(request.path())}};
  if (request.method == "GET" || request.method == "HEAD") {
    ++m_reads;
  } else {
    const auto key = request.header("Idempotency-Key");
    ++(key ? m_runs[std::string(*key)] : m_runs_without_key);
    body["booking"] = ++m_last_booking;
  }
  ++m_running;
  const auto respond = [this, to, body] {
    --m_running;
    ++m_answered;
    respond_json(to, m_fail ? 500 : 200, body);
  };
  if (m_delay.count() == 0) {
    respond();
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(m_context, m_delay);
  timer->async_wait([timer, respond](const std::error_code&) { respond(); });
}

json service_role::stats() const {
  return {{"runs", m_runs},
          {"runs_without_key", m_runs_without_key},
          {"reads", m_reads},
          {"answered", m_answered},
          {"running", m_running}};
}

std::optional<std::string> service_role::control(const json& settings) {
  m_delay = milliseconds(settings.value("delay_ms", m_delay.count()));
  m_fail = settings.value("fail", m_fail);
  return settings.size() == settings.count("delay_ms") + settings.count("fail")
             ? std::nullopt
             : std::optional<std::string>("unknown key");
}

}  // namespace cuminpath::emulator
