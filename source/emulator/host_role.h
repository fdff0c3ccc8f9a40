// Emulator of the platform's list of hosts. Changes are published with a delay.
#pragma once

#include "emulator/role.h"

namespace cuminpath::emulator {

class host_role final : public role {
public:
  explicit host_role(asio::io_context& context, milliseconds lag = milliseconds(0))
      : m_context(context), m_lag(lag) {}
  void handle(const http::request& request, const responder_ptr& to) override;
  // {"generation","hosts":N}
  [[nodiscard]] json stats() const override;
  // "hosts": the new list; "lag_ms": the delay after which this list and later ones are published.
  std::optional<std::string> control(const json& settings) override;

private:
  asio::io_context& m_context;
  json m_hosts = json::array();
  std::uint64_t m_generation = 0;
  milliseconds m_lag;
};

}  // namespace cuminpath::emulator
