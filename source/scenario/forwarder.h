// A TCP forwarder in front of an address. It can hold data back or delay it, like a network that loses or
// slows packets: data that was held back arrives after heal(), as TCP would deliver it. Connections can also
// be made silent for good.
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
  // Listens on a free port of the IP address. `target` is IP:PORT. All work runs on the io_context.
  static result<std::unique_ptr<forwarder>> start(asio::io_context& context, const std::string& target,
                                                  const std::string& listen_ip = "127.0.0.1");
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  [[nodiscard]] std::string address() const;
  enum class direction : std::uint8_t { both, to_target, from_target };
  // Holds back all data of a direction, also of new connections.
  void cut(direction way = direction::both);
  void heal();                         // Ends cut() and the delay.
  void set_delay(milliseconds delay);  // Of each part, in each direction.
  void reset_connections();            // Closes all open connections.
  // Open connections deliver nothing any more and are not closed; new ones work.
  void silence_connections();

private:
  class impl;
  explicit forwarder(std::shared_ptr<impl> implementation);
  std::shared_ptr<impl> m_impl;
};

}  // namespace cuminpath::scenario
