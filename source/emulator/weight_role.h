// Emulator of the weight store, which serves the weights of experts at a limited rate.
#pragma once

#include "emulator/role.h"

namespace cuminpath::emulator {

struct weight_options {
  std::uint64_t expert_bytes = 65536;
  std::uint64_t bytes_per_second = 16U << 20U;
  milliseconds max_backlog{1000};  // Requests that would have to wait longer are refused with 429.
};

class weight_role final : public role {
public:
  weight_role(asio::io_context& context, weight_options options) : m_context(context), m_options(options) {}
  void handle(const http::request& request, const responder_ptr& to) override;
  // {"served","bytes","refused"}
  [[nodiscard]] json stats() const override;
  // "bytes_per_second"
  std::optional<std::string> control(const json& settings) override;

private:
  asio::io_context& m_context;
  weight_options m_options;
  time_point m_busy_until;  // When all accepted requests will have been served.
  std::uint64_t m_served = 0;
  std::uint64_t m_refused = 0;
};

}  // namespace cuminpath::emulator
