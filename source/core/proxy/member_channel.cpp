#include "core/proxy/member_channel.h"

#include "core/proxy/socket_options.h"

namespace cuminpath::proxy {

member_channel::member_channel(asio::io_context& context, std::function<void(gateway::member_report)> receive)
    : m_socket(context), m_receive(std::move(receive)) {}

result<std::unique_ptr<member_channel>> member_channel::open(
    asio::io_context& context, const std::string& address,
    std::function<void(gateway::member_report)> receive) {
  const auto endpoint = parse_endpoint(address);
  if (!endpoint) {
    return make_error(error_code::invalid_input, address + " is not IP:PORT");
  }
  std::unique_ptr<member_channel> channel(new member_channel(context, std::move(receive)));
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

void member_channel::send(const gateway::member_report& report, std::span<const std::string> addresses) {
  const std::string bytes = gateway::encode_report(report);
  for (const std::string& address : addresses) {
    if (const auto peer = parse_endpoint(address)) {
      std::error_code ignored;  // A lost report is replaced by the next one.
      m_socket.send_to(asio::buffer(bytes), asio::ip::udp::endpoint(peer->address(), peer->port()), 0,
                       ignored);
    }
  }
}

void member_channel::wait_readable() {
  m_socket.async_wait(asio::ip::udp::socket::wait_read, [this](std::error_code error) {
    if (!error) {
      on_readable();
      wait_readable();
    }
  });
}

void member_channel::on_readable() {
  const auto buffer = read_buffer();
  for (;;) {
    std::error_code error;
    asio::ip::udp::endpoint sender;
    const std::size_t size =
        m_socket.receive_from(asio::buffer(buffer.data(), buffer.size()), sender, 0, error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      return;
    }
    if (error) {
      return;  // Errors of single datagrams, such as a refused port, end this turn only.
    }
    auto report = gateway::decode_report({buffer.data(), size});
    if (report) {
      m_receive(std::move(report.value()));
    } else {
      ++m_malformed;
    }
  }
}

}  // namespace cuminpath::proxy
