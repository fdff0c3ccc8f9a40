#include "core/net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace cuminpath::net {
namespace {

// A keep-alive probe detects a peer that has failed while no data was being sent.
constexpr int k_probe_idle_s = 2;
constexpr int k_probe_interval_s = 1;
constexpr int k_probe_count = 1;
constexpr std::size_t k_read_buffer_bytes = 32U << 10U;

void set_option(int socket, int level, int name, int value) {
  static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

template <class function>
std::uint16_t port_of(int handle, function read_name) {
  asio::ip::tcp::endpoint endpoint;
  auto size = static_cast<socklen_t>(endpoint.capacity());
  return read_name(handle, endpoint.data(), &size) == 0 ? endpoint.port() : std::uint16_t{0};
}

}  // namespace

std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  // The conversion of the address stops at a null byte.
  if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  std::error_code failure;
  const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), failure);
  if (failure) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, port);
}

void set_connection_options(asio::ip::tcp::socket& socket) {
  set_connection_options(static_cast<int>(socket.native_handle()));
}

void set_connection_options(int handle) {
  set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, k_probe_idle_s);
  set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, k_probe_interval_s);
  set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, k_probe_count);
}

void limit_unacknowledged_time(int handle, milliseconds limit) {
  set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

void reset_on_close(asio::ip::tcp::socket& socket) {
  std::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

std::uint16_t local_port(int handle) {
  return port_of(handle, ::getsockname);
}

std::uint16_t remote_port(int handle) {
  return port_of(handle, ::getpeername);
}

bool has_unread_bytes(int handle) {
  char byte = 0;
  return ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

std::span<char> read_buffer() {
  thread_local std::array<char, k_read_buffer_bytes> s_buffer;
  return s_buffer;
}

}  // namespace cuminpath::net
