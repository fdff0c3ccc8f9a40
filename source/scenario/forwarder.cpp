#include "scenario/forwarder.h"

#include <asio.hpp>
#include <charconv>
#include <list>
#include <optional>
#include <vector>

namespace cuminpath::scenario {
namespace {

using asio::ip::tcp;

constexpr std::size_t k_buffer_bytes = 65536;
constexpr milliseconds k_cut_check{5};

std::optional<tcp::endpoint> to_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::error_code failure;
  const auto ip = asio::ip::make_address(text.substr(0, colon), failure);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  if (failure || parsed.ec != std::errc{}) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

struct connection_pair {
  explicit connection_pair(tcp::socket accepted) : near(std::move(accepted)), far(near.get_executor()) {}
  void close() {
    std::error_code ignored;
    near.close(ignored);
    far.close(ignored);
  }
  tcp::socket near;
  tcp::socket far;
};

}  // namespace

class forwarder::impl : public std::enable_shared_from_this<impl> {
public:
  impl(asio::io_context& context, const tcp::endpoint& target)
      : m_context(context),
        m_target(target),
        m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  void accept() {
    m_acceptor.async_accept([self = shared_from_this()](std::error_code failure, tcp::socket socket) {
      if (failure) {
        return;
      }
      const auto opened = std::make_shared<connection_pair>(std::move(socket));
      self->m_links.push_back(opened);
      asio::co_spawn(self->m_context, run(self, opened), asio::detached);
      self->accept();
    });
  }

  void set(bool cut, milliseconds delay) {
    m_cut = cut;
    m_delay = delay;
  }
  void set_delay(milliseconds delay) { m_delay = delay; }

  void reset_connections() {
    for (const auto& weak : m_links) {
      if (const auto open = weak.lock()) {
        open->close();
      }
    }
    m_links.clear();
  }

  void stop() {
    std::error_code ignored;
    m_acceptor.close(ignored);
    reset_connections();
  }

private:
  // Waits until data may pass.
  static asio::awaitable<void> pass(std::shared_ptr<impl> self) {
    asio::steady_timer timer(self->m_context, self->m_delay);
    if (self->m_delay.count() > 0) {
      co_await timer.async_wait(asio::use_awaitable);
    }
    while (self->m_cut) {
      timer.expires_after(k_cut_check);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  static asio::awaitable<void> run(std::shared_ptr<impl> self, std::shared_ptr<connection_pair> open) {
    co_await pass(self);
    std::error_code failure;
    co_await open->far.async_connect(self->m_target, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      open->close();
      co_return;
    }
    open->near.set_option(tcp::no_delay(true), failure);
    open->far.set_option(tcp::no_delay(true), failure);
    asio::co_spawn(self->m_context, copy(self, open, open->near, open->far), asio::detached);
    co_await copy(self, open, open->far, open->near);
  }

  static asio::awaitable<void> copy(std::shared_ptr<impl> self, std::shared_ptr<connection_pair> open,
                                    tcp::socket& from, tcp::socket& to) {
    std::vector<char> buffer(k_buffer_bytes);
    std::error_code failure;
    for (;;) {
      const auto size = co_await from.async_read_some(asio::buffer(buffer),
                                                      asio::redirect_error(asio::use_awaitable, failure));
      co_await pass(self);
      if (failure == asio::error::eof) {
        to.shutdown(tcp::socket::shutdown_send, failure);
        co_return;
      }
      if (!failure) {
        co_await asio::async_write(to, asio::buffer(buffer, size),
                                   asio::redirect_error(asio::use_awaitable, failure));
      }
      if (failure) {
        open->close();
        co_return;
      }
    }
  }

  asio::io_context& m_context;
  tcp::endpoint m_target;
  tcp::acceptor m_acceptor;
  std::list<std::weak_ptr<connection_pair>> m_links;
  bool m_cut = false;
  milliseconds m_delay{0};
};

result<std::unique_ptr<forwarder>> forwarder::start(asio::io_context& context, const std::string& target) {
  const auto endpoint = to_endpoint(target);
  if (!endpoint) {
    return make_error(error_code::invalid_input, "not an IP:PORT address: " + target);
  }
  auto implementation = std::make_shared<impl>(context, *endpoint);
  implementation->accept();
  return std::unique_ptr<forwarder>(new forwarder(std::move(implementation)));
}

forwarder::forwarder(std::shared_ptr<impl> implementation) : m_impl(std::move(implementation)) {}
forwarder::~forwarder() {
  m_impl->stop();
}
std::string forwarder::address() const {
  return m_impl->address();
}
void forwarder::cut() {
  m_impl->set(true, milliseconds(0));
}
void forwarder::heal() {
  m_impl->set(false, milliseconds(0));
}
void forwarder::set_delay(milliseconds delay) {
  m_impl->set_delay(delay);
}
void forwarder::reset_connections() {
  m_impl->reset_connections();
}

}  // namespace cuminpath::scenario
