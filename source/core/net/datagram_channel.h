// A UDP socket for short messages between processes of the project.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "core/common/error.h"

namespace cuminpath::net {

class datagram_channel {
public:
  // Calls `receive` for each datagram; the view lives as long as the call.
  // Errors: invalid_input for a malformed address, unreachable if it cannot be bound.
  static result<std::unique_ptr<datagram_channel>> open(asio::io_context& context, const std::string& address,
                                                        std::function<void(std::string_view)> receive);

  // IP:PORT that it is bound to.
  [[nodiscard]] std::string address() const;
  // Sends to each address (IP:PORT); losses are not noticed, and malformed addresses are left out.
  void send(std::string_view bytes, std::span<const std::string> addresses);

private:
  datagram_channel(asio::io_context& context, std::function<void(std::string_view)> receive);
  void wait_readable();
  void on_readable();

  asio::ip::udp::socket m_socket;
  std::function<void(std::string_view)> m_receive;
};

}  // namespace cuminpath::net
