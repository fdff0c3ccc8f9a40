#include "core/net/datagram_channel.h"

#include "core/net/socket_options.h"

namespace cuminpath::net {
namespace {

// Received in one turn of the event loop. A sender without pause would otherwise keep all other work waiting.
constexpr int k_max_datagrams_per_turn = 64;

}  // namespace

datagram_channel::datagram_channel(asio::io_context& context, std::function<void(std::string_view)> receive)
    : m_socket(context), m_receive(std::move(receive)) {}

result<std::unique_ptr<datagram_channel>> datagram_channel::open(
    asio::io_context& context, const std::string& address, std::function<void(std::string_view)> receive) {
  const auto endpoint = parse_endpoint(address);
  if (!endpoint) {
    return make_error(error_code::invalid_input, address + " is not IP:PORT");
  }
  std::unique_ptr<datagram_channel> channel(new datagram_channel(context, std::move(receive)));
  std::error_code failure;
  channel->m_socket.open(endpoint->address().is_v4() ? asio::ip::udp::v4() : asio::ip::udp::v6(), failure);
  if (!failure) {
    channel->m_socket.bind(asio::ip::udp::endpoint(endpoint->address(), endpoint->port()), failure);
  }
  if (!failure) {
    channel->m_socket.non_blocking(true, failure);
  }
  if (failure) {
    return make_error(error_code::unreachable, address + ": " + failure.message());
  }
  channel->wait_readable();
  return channel;
}

std::string datagram_channel::address() const {
  std::error_code ignored;
  const auto local = m_socket.local_endpoint(ignored);
  return local.address().to_string() + ":" + std::to_string(local.port());
}

void datagram_channel::send(std::string_view bytes, std::span<const std::string> addresses) {
  for (const std::string& address : addresses) {
    if (const auto peer = parse_endpoint(address)) {
      std::error_code ignored;  // UDP does not guarantee delivery, so a failed send is treated as a loss.
      m_socket.send_to(asio::buffer(bytes.data(), bytes.size()),
                       asio::ip::udp::endpoint(peer->address(), peer->port()), 0, ignored);
    }
  }
}

void datagram_channel::wait_readable() {
  m_socket.async_wait(asio::ip::udp::socket::wait_read, [this](std::error_code error) {
    if (!error) {
      on_readable();
      wait_readable();
    }
  });
}

void datagram_channel::on_readable() {
  const auto buffer = read_buffer();
  for (int received = 0; received < k_max_datagrams_per_turn; ++received) {
    std::error_code error;
    asio::ip::udp::endpoint sender;
    const std::size_t size =
        m_socket.receive_from(asio::buffer(buffer.data(), buffer.size()), sender, 0, error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      return;
    }
    if (error) {
      return;  // Errors such as a refused port concern one datagram; reading continues at the next event.
    }
    m_receive({buffer.data(), size});
  }
}

}  // namespace cuminpath::net
