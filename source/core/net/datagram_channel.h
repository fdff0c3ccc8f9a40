// UDP socket for short messages between the processes of the system.
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

// Sends datagrams and passes received ones to a callback.
class datagram_channel {
public:
  // Binds to `address` and calls `receive` for each datagram; the view is valid only during the call.
  // Errors: invalid_input for a malformed address, unreachable if it cannot be bound.
  static result<std::unique_ptr<datagram_channel>> open(asio::io_context& context, const std::string& address,
                                                        std::function<void(std::string_view)> receive);

  // Returns the IP:PORT that the socket is bound to.
  [[nodiscard]] std::string address() const;
  // Sends a datagram to each address (IP:PORT). Losses are not detected; malformed addresses are skipped.
  void send(std::string_view bytes, std::span<const std::string> addresses);

private:
  datagram_channel(asio::io_context& context, std::function<void(std::string_view)> receive);
  void wait_readable();
  void on_readable();

  asio::ip::udp::socket m_socket;
  std::function<void(std::string_view)> m_receive;
};

}  // namespace cuminpath::net
