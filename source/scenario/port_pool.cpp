#include "scenario/port_pool.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <random>

namespace cuminpath::scenario {
namespace {

// The range lies below the ephemeral ports that the kernel assigns to outgoing connections, so that no such
// connection takes a port between the check and its use.
constexpr int k_first_port = 15000;
constexpr int k_last_port = 31999;

// Reserves a port by binding a socket to a name in the abstract namespace, which the kernel frees however the
// process ends. Returns the socket, or a negative value if the name is already in use.
int bind_reservation(int port) {
  const int socket = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_un name{};
  name.sun_family = AF_UNIX;
  const std::string text = "cuminpath-port-" + std::to_string(port);
  std::copy(text.begin(), text.end(), name.sun_path + 1);
  const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + text.size());
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&name), size) == 0) {
    return socket;
  }
  ::close(socket);
  return -1;
}

// Whether a socket of the type (SOCK_STREAM or SOCK_DGRAM) can be bound to the port.
bool is_free(int port, int type) {
  const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  const bool free = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  ::close(socket);
  return free;
}

}  // namespace

port_pool::~port_pool() {
  for (const int socket : m_reservations) {
    ::close(socket);
  }
}

std::uint16_t port_pool::reserve() {
  std::random_device random;
  std::uniform_int_distribution<int> port_distribution(k_first_port, k_last_port);
  for (;;) {
    const int port = port_distribution(random);
    const int reservation = bind_reservation(port);
    if (reservation < 0) {
      continue;
    }
    m_reservations.push_back(reservation);
    if (is_free(port, SOCK_STREAM) && is_free(port, SOCK_DGRAM)) {
      return static_cast<std::uint16_t>(port);
    }
  }
}

}  // namespace cuminpath::scenario
