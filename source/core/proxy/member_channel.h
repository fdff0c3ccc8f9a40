// Reports between gateways over UDP.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "core/common/error.h"
#include "core/gateway/member_list.h"

namespace cuminpath::proxy {

class member_channel {
public:
  // Calls `receive` for each report that can be read.
  // Errors: invalid_input for a malformed address, unreachable if it cannot be bound.
  static result<std::unique_ptr<member_channel>> open(asio::io_context& context, const std::string& address,
                                                      std::function<void(gateway::member_report)> receive);

  // Sends a report to each address; losses are not noticed.
  void send(const gateway::member_report& report, std::span<const std::string> addresses);

  // Datagrams that could not be read.
  [[nodiscard]] std::uint64_t malformed() const { return m_malformed; }

private:
  member_channel(asio::io_context& context, std::function<void(gateway::member_report)> receive);
  void wait_readable();
  void on_readable();

  asio::ip::udp::socket m_socket;
  std::function<void(gateway::member_report)> m_receive;
  std::uint64_t m_malformed = 0;
};

}  // namespace cuminpath::proxy
