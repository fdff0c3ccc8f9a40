#include "emulator/host_role.h"

namespace cuminpath::emulator {

void host_role::handle(const http::request& request, const responder_ptr& to) {
  if (request.method == "GET" && request.path() == "/v1/hosts") {
    respond_json(to, 200, {{"generation", m_generation}, {"hosts", m_hosts}});
  } else {
    respond_not_found(to);
  }
}

json host_role::stats() const {
  return {{"generation", m_generation}, {"hosts", m_hosts.size()}};
}

std::optional<std::string> host_role::control(const json& settings) {
  for (const auto& [key, value] : settings.items()) {
    if (key != "hosts" && key != "lag_ms") {
      return "unknown key " + key;
    }
  }
  m_lag = milliseconds(settings.value("lag_ms", m_lag.count()));
  if (!settings.contains("hosts")) {
    return std::nullopt;
  }
  if (!settings["hosts"].is_array()) {
    return "hosts is not a list";
  }
  const auto publish = [this](json hosts) {
    m_hosts = std::move(hosts);
    ++m_generation;
  };
  if (m_lag.count() == 0) {
    publish(settings["hosts"]);
    return std::nullopt;
  }
  const auto timer = std::make_shared<asio::steady_timer>(m_context, m_lag);
  timer->async_wait([publish, timer, hosts = settings["hosts"]](const std::error_code&) { publish(hosts); });
  return std::nullopt;
}

}  // namespace cuminpath::emulator
