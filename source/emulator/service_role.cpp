#include "emulator/service_role.h"

namespace cuminpath::emulator {
namespace {

// Sends a body until the peer closes the connection.
void send_without_end(asio::io_context& context, const responder_ptr& to) {
  constexpr std::size_t k_part = 64U << 10U;
  constexpr std::size_t k_max_unsent = 1U << 20U;
  constexpr milliseconds k_pause{1};
  if (to->closed()) {
    return;
  }
  while (to->unsent_bytes() < k_max_unsent) {
    to->write(std::string(k_part, 'x'));
  }
  const auto timer = std::make_shared<asio::steady_timer>(context, k_pause);
  timer->async_wait([timer, &context, to](const std::error_code&) { send_without_end(context, to); });
}

}  // namespace

void service_role::handle(const http::request& request, const responder_ptr& to) {
  if (!m_endless_prefix.empty() && request.path().starts_with(m_endless_prefix)) {
    to->begin_stream(200, {});
    send_without_end(m_context, to);
    return;
  }
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
  m_endless_prefix = settings.value("endless_prefix", m_endless_prefix);
  return settings.size() ==
                 settings.count("delay_ms") + settings.count("fail") + settings.count("endless_prefix")
             ? std::nullopt
             : std::optional<std::string>("unknown key");
}

}  // namespace cuminpath::emulator
