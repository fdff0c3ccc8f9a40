// Emulator of a plain service that records bookings and counts how often each one is run.
#pragma once

#include <map>

#include "emulator/role.h"

namespace cuminpath::emulator {

class service_role final : public role {
public:
  service_role(asio::io_context& context, milliseconds delay) : m_context(context), m_delay(delay) {}
  // Counts the run immediately and responds after the delay: {"booking":N,"path":PATH}.
  void handle(const http::request& request, const responder_ptr& to) override;
  // {"runs":{KEY:N},"runs_without_key","reads","answered","running"}
  [[nodiscard]] json stats() const override;
  // "delay_ms"; "fail": true responds with status 500 after the run; "endless_prefix": paths that begin so
  // are answered with a body without end.
  std::optional<std::string> control(const json& settings) override;

private:
  asio::io_context& m_context;
  milliseconds m_delay;
  bool m_fail = false;
  std::string m_endless_prefix;  // Empty for none.
  std::map<std::string, std::uint64_t> m_runs;
  std::uint64_t m_runs_without_key = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_running = 0;
  std::uint64_t m_last_booking = 0;
};

}  // namespace cuminpath::emulator
