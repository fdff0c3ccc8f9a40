// A UDP forwarder in front of an address. It can lose datagrams, like a network does.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/common/error.h"

namespace asio {
class io_context;
}

namespace cuminpath::scenario {

class datagram_forwarder {
public:
  // Listens on a free port of the IP address and passes each datagram on to `target` (IP:PORT). All work runs
  // on the io_context. Errors: invalid_input, unreachable.
  static result<std::unique_ptr<datagram_forwarder>> start(asio::io_context& context,
                                                           const std::string& target,
                                                           const std::string& listen_ip, std::uint64_t seed);
  ~datagram_forwarder();
  datagram_forwarder(const datagram_forwarder&) = delete;
  datagram_forwarder& operator=(const datagram_forwarder&) = delete;

  [[nodiscard]] std::string address() const;
  // Share of the datagrams that are lost from now on, 0 to 1.
  void set_loss(double share);

private:
  class impl;
  explicit datagram_forwarder(std::unique_ptr<impl> implementation);
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::scenario
