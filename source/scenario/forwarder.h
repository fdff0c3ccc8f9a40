// Forwards TCP connections to an address. It can hold data back or delay it, like a network that loses or
// slows packets: data that was held back arrives after heal(), as TCP would deliver it. Open connections can
// also be stalled for good.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/common/error.h"
#include "core/common/time.h"

namespace asio {
class io_context;
}

namespace cuminpath::scenario {

class forwarder {
public:
  // Listens on a free port of `listen_ip` and forwards each connection to `target` (IP:PORT). All work runs
  // on the io_context. Errors: invalid_input.
  static result<std::unique_ptr<forwarder>> start(asio::io_context& context, const std::string& target,
                                                  const std::string& listen_ip = "127.0.0.1");
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  // Returns the address that the forwarder listens on (IP:PORT).
  [[nodiscard]] std::string address() const;
  enum class direction : std::uint8_t { both, to_target, from_target };
  // Holds back all data in the given direction, on open and on new connections.
  void cut(direction cut_direction = direction::both);
  void heal();                         // Ends cut() and the delay.
  void set_delay(milliseconds delay);  // Delays each block of data that is read, in both directions.
  void reset_connections();            // Closes all open connections.
  // Stops delivery on the open connections for good without closing them. New connections work.
  void stall_connections();

private:
  class impl;
  explicit forwarder(std::shared_ptr<impl> implementation);
  std::shared_ptr<impl> m_impl;
};

}  // namespace cuminpath::scenario
