#include "scenario/forwarder.h"

#include <asio.hpp>
#include <functional>
#include <list>
#include <vector>

#include "core/net/socket_options.h"

namespace cuminpath::scenario {
namespace {

using asio::ip::tcp;

constexpr std::size_t k_read_buffer_bytes = 65536;
constexpr milliseconds k_cut_poll_interval{5};

// An accepted connection and the connection to the target that carries its data.
struct connection_pair {
  explicit connection_pair(tcp::socket accepted)
      : client_socket(std::move(accepted)), target_socket(client_socket.get_executor()) {}
  void close() {
    std::error_code ignored;
    client_socket.close(ignored);
    target_socket.close(ignored);
  }
  tcp::socket client_socket;
  tcp::socket target_socket;
  bool stalled = false;
};

// Faults that the test has set for all connections of a forwarder.
struct link_faults {
  bool cut_to_target = false;
  bool cut_from_target = false;
  milliseconds delay{0};
};

// Waits for `delay`, then calls `done` as soon as `may_forward` returns true.
void call_when_allowed(const std::shared_ptr<asio::steady_timer>& timer, milliseconds delay,
                       std::function<bool()> may_forward, std::function<void()> done) {
  timer->expires_after(delay);
  timer->async_wait([timer, may_forward = std::move(may_forward),
                     done = std::move(done)](const std::error_code& failure) mutable {
    if (failure) {
      return;
    }
    if (may_forward()) {
      done();
    } else {
      call_when_allowed(timer, k_cut_poll_interval, std::move(may_forward), std::move(done));
    }
  });
}

// Copies the data of one direction of a connection pair.
class direction_copier : public std::enable_shared_from_this<direction_copier> {
public:
  direction_copier(std::shared_ptr<connection_pair> pair, bool to_target,
                   std::shared_ptr<const link_faults> faults)
      : m_pair(std::move(pair)),
        m_to_target(to_target),
        m_from(to_target ? m_pair->client_socket : m_pair->target_socket),
        m_to(to_target ? m_pair->target_socket : m_pair->client_socket),
        m_faults(std::move(faults)),
        m_timer(std::make_shared<asio::steady_timer>(m_from.get_executor())),
        m_buffer(k_read_buffer_bytes) {}

  void read() {
    m_from.async_read_some(asio::buffer(m_buffer),
                           [self = shared_from_this()](std::error_code failure, std::size_t size) {
                             call_when_allowed(
                                 self->m_timer, self->m_faults->delay, [self] { return self->may_forward(); },
                                 [self, failure, size] { self->on_read(failure, size); });
                           });
  }

private:
  [[nodiscard]] bool may_forward() const {
    return !m_pair->stalled && !(m_to_target ? m_faults->cut_to_target : m_faults->cut_from_target);
  }

  void on_read(std::error_code failure, std::size_t size) {
    if (failure == asio::error::eof) {
      m_to.shutdown(tcp::socket::shutdown_send, failure);
    } else if (failure) {
      m_pair->close();
    } else {
      asio::async_write(m_to, asio::buffer(m_buffer, size),
                        [self = shared_from_this()](const std::error_code& write_error, std::size_t) {
                          if (write_error) {
                            self->m_pair->close();
                          } else {
                            self->read();
                          }
                        });
    }
  }

  std::shared_ptr<connection_pair> m_pair;
  bool m_to_target;
  tcp::socket& m_from;
  tcp::socket& m_to;
  std::shared_ptr<const link_faults> m_faults;
  std::shared_ptr<asio::steady_timer> m_timer;
  std::vector<char> m_buffer;
};

}  // namespace

class forwarder::impl : public std::enable_shared_from_this<impl> {
public:
  impl(asio::io_context& context, tcp::endpoint target, const asio::ip::address& listen_ip)
      : m_target(std::move(target)), m_acceptor(context, tcp::endpoint(listen_ip, 0)) {}

  [[nodiscard]] std::string address() const {
    const auto bound = m_acceptor.local_endpoint();
    return bound.address().to_string() + ":" + std::to_string(bound.port());
  }

  void accept() {
    m_acceptor.async_accept([self = shared_from_this()](std::error_code failure, tcp::socket socket) {
      if (failure) {
        return;
      }
      self->m_pairs.remove_if([](const auto& weak) { return weak.expired(); });
      const auto pair = std::make_shared<connection_pair>(std::move(socket));
      self->m_pairs.push_back(pair);
      call_when_allowed(
          std::make_shared<asio::steady_timer>(pair->client_socket.get_executor()), self->m_faults->delay,
          [faults = self->m_faults] { return !faults->cut_to_target && !faults->cut_from_target; },
          [self, pair] { self->connect(pair); });
      self->accept();
    });
  }

  [[nodiscard]] link_faults& faults() { return *m_faults; }

  void reset_connections() {
    for (const auto& weak : m_pairs) {
      if (const auto pair = weak.lock()) {
        pair->close();
      }
    }
    m_pairs.clear();
  }

  void stall_connections() {
    for (const auto& weak : m_pairs) {
      if (const auto pair = weak.lock()) {
        pair->stalled = true;
      }
    }
  }

  void stop() {
    std::error_code ignored;
    m_acceptor.close(ignored);
    reset_connections();
  }

private:
  void connect(const std::shared_ptr<connection_pair>& pair) {
    pair->target_socket.async_connect(m_target, [faults = m_faults, pair](std::error_code failure) {
      if (failure) {
        pair->close();
        return;
      }
      pair->client_socket.set_option(tcp::no_delay(true), failure);
      pair->target_socket.set_option(tcp::no_delay(true), failure);
      std::make_shared<direction_copier>(pair, true, faults)->read();
      std::make_shared<direction_copier>(pair, false, faults)->read();
    });
  }

  tcp::endpoint m_target;
  tcp::acceptor m_acceptor;
  std::list<std::weak_ptr<connection_pair>> m_pairs;
  std::shared_ptr<link_faults> m_faults = std::make_shared<link_faults>();
};

result<std::unique_ptr<forwarder>> forwarder::start(asio::io_context& context, const std::string& target,
                                                    const std::string& listen_ip) {
  const auto endpoint = net::parse_endpoint(target);
  std::error_code failure;
  const auto ip = asio::ip::make_address(listen_ip, failure);
  if (!endpoint || failure) {
    return make_error(error_code::invalid_input,
                      "not an IP:PORT address: " + target + ", or IP: " + listen_ip);
  }
  auto implementation = std::make_shared<impl>(context, *endpoint, ip);
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
void forwarder::cut(direction cut_direction) {
  auto& faults = m_impl->faults();
  faults.cut_to_target = faults.cut_to_target || cut_direction != direction::from_target;
  faults.cut_from_target = faults.cut_from_target || cut_direction != direction::to_target;
}
void forwarder::heal() {
  m_impl->faults() = {};
}
void forwarder::set_delay(milliseconds delay) {
  m_impl->faults().delay = delay;
}
void forwarder::reset_connections() {
  m_impl->reset_connections();
}
void forwarder::stall_connections() {
  m_impl->stall_connections();
}

}  // namespace cuminpath::scenario
