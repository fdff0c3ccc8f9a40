// Forwards UDP datagrams to an address and can drop a share of them, as a network does.
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
  // Listens on a free port of `listen_ip` and forwards each datagram to `target` (IP:PORT). All work runs on
  // the io_context. `seed` is for the choice of the datagrams that are dropped. Errors: invalid_input,
  // unreachable.
  static result<std::unique_ptr<datagram_forwarder>> start(asio::io_context& context,
                                                           const std::string& target,
                                                           const std::string& listen_ip, std::uint64_t seed);
  ~datagram_forwarder();
  datagram_forwarder(const datagram_forwarder&) = delete;
  datagram_forwarder& operator=(const datagram_forwarder&) = delete;

  // Returns the address that the forwarder listens on (IP:PORT).
  [[nodiscard]] std::string address() const;
  // Sets the share of the datagrams that are dropped from now on, 0 to 1.
  void set_loss(double loss_ratio);

private:
  class impl;
  explicit datagram_forwarder(std::unique_ptr<impl> implementation);
  std::unique_ptr<impl> m_impl;
};

}  // namespace cuminpath::scenario
