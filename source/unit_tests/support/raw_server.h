// Server for tests that decides on each byte that it sends.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace cuminpath::support {

// Accepts connections and sends what its script returns for each request.
class raw_server {
public:
  struct response {
    std::string bytes;
    std::string late_bytes =
        {};  // Sent when the next request arrives on the connection, before its response.
    enum class after : std::uint8_t { keep, close, reset } then = after::keep;  // Of the connection.
    std::string repeated = {};  // If not empty, sent again and again until the client closes the connection.
  };
  using script = std::function<response(const std::string& request)>;

  raw_server(asio::io_context& context, script handler)
      : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), m_script(std::move(handler)) {
    accept();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  [[nodiscard]] std::size_t accepted() const { return m_accepted; }
  // Number of bytes of response::repeated that have been sent, and whether the client has ended such a
  // response.
  [[nodiscard]] std::size_t repeated_bytes() const { return m_repeated_bytes; }
  [[nodiscard]] bool ended() const { return m_ended; }
  // Sends further bytes on the connection of the last request.
  void send_to_last(const std::string& bytes) {
    std::error_code ignored;
    asio::write(m_last->socket, asio::buffer(bytes), ignored);
  }

private:
  struct connection {
    explicit connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
    std::string late_bytes;
  };

  void accept() {
    m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
      if (!error) {
        ++m_accepted;
        std::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        read(std::make_shared<connection>(std::move(socket)));
        accept();
      }
    });
  }

  void read(const std::shared_ptr<connection>& peer) {
    peer->socket.async_read_some(asio::buffer(peer->buffer), [this, peer](std::error_code error,
                                                                          std::size_t size) {
      if (error) {
        return;
      }
      peer->received.append(peer->buffer.data(), size);
      if (is_complete(peer->received)) {
        m_last = peer;
        const response next = m_script(std::exchange(peer->received, {}));
        std::error_code ignored;
        asio::write(peer->socket, asio::buffer(std::exchange(peer->late_bytes, next.late_bytes) + next.bytes),
                    ignored);
        if (!next.repeated.empty()) {
          repeat(peer, std::make_shared<std::string>(next.repeated));
          return;
        }
        if (next.then != response::after::keep) {
          peer->socket.set_option(asio::socket_base::linger(next.then == response::after::reset, 0), ignored);
          peer->socket.close(ignored);
          return;
        }
      }
      read(peer);
    });
  }

  void repeat(const std::shared_ptr<connection>& peer, const std::shared_ptr<std::string>& bytes) {
    asio::async_write(peer->socket, asio::buffer(*bytes),
                      [this, peer, bytes](std::error_code error, std::size_t size) {
                        m_repeated_bytes += size;
                        if (error) {
                          m_ended = true;
                        } else {
                          repeat(peer, bytes);
                        }
                      });
  }

  static bool is_complete(const std::string& request) {
    constexpr std::string_view k_length = "Content-Length: ";
    const std::size_t head = request.find("\r\n\r\n");
    if (head == std::string::npos) {
      return false;
    }
    const std::size_t length = request.find(k_length);
    return length > head || request.size() >= head + 4 + std::stoul(request.substr(length + k_length.size()));
  }

  asio::ip::tcp::acceptor m_acceptor;
  script m_script;
  std::shared_ptr<connection> m_last;
  std::size_t m_accepted = 0;
  std::size_t m_repeated_bytes = 0;
  bool m_ended = false;
};

}  // namespace cuminpath::support
