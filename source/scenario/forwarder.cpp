#include "scenario/forwarder.h"

#include <asio.hpp>
#include <functional>
#include <list>
#include <vector>

#include "core/net/socket_options.h"

namespace cuminpath::scenario {
namespace {

using asio::ip::tcp;

constexpr std::size_t k_buffer_bytes = 65536;
constexpr milliseconds k_cut_check{5};

struct connection_pair {
  explicit connection_pair(tcp::socket accepted) : near(std::move(accepted)), far(near.get_executor()) {}
  void close() {
    std::error_code ignored;
    near.close(ignored);
    far.close(ignored);
  }
  tcp::socket near;
  tcp::socket far;
  bool silent = false;
};

// What the test sets for all connections of a forwarder.
struct link_state {
  bool cut_to_target = false;
  bool cut_from_target = false;
  milliseconds delay{0};
};

// Calls `done` once `may_pass` holds, after `wait` at the earliest.
void pass(const std::shared_ptr<asio::steady_timer>& timer, milliseconds wait, std::function<bool()> may_pass,
          std::function<void()> done) {
  timer->expires_after(wait);
  timer->async_wait([timer, may_pass = std::move(may_pass),
                     done = std::move(done)](const std::error_code& failure) mutable {
    if (failure) {
      return;
    }
    if (may_pass()) {
      done();
    } else {
      pass(timer, k_cut_check, std::move(may_pass), std::move(done));
    }
  });
}

// Copies one direction of a connection.
class copier : public std::enable_shared_from_this<copier> {
public:
  copier(std::shared_ptr<connection_pair> pair, bool to_target, std::shared_ptr<const link_state> state)
      : m_pair(std::move(pair)),
        m_to_target(to_target),
        m_from(to_target ? m_pair->near : m_pair->far),
        m_to(to_target ? m_pair->far : m_pair->near),
        m_state(std::move(state)),
        m_timer(std::make_shared<asio::steady_timer>(m_from.get_executor())),
        m_buffer(k_buffer_bytes) {}

  void read() {
    m_from.async_read_some(asio::buffer(m_buffer),
                           [self = shared_from_this()](std::error_code failure, std::size_t size) {
                             pass(
                                 self->m_timer, self->m_state->delay, [self] { return self->may_pass(); },
                                 [self, failure, size] { self->on_read(failure, size); });
                           });
  }

private:
  [[nodiscard]] bool may_pass() const {
    return !m_pair->silent && !(m_to_target ? m_state->cut_to_target : m_state->cut_from_target);
  }

  void on_read(std::error_code failure, std::size_t size) {
    if (failure == asio::error::eof) {
      m_to.shutdown(tcp::socket::shutdown_send, failure);
    } else if (failure) {
      m_pair->close();
    } else {
      asio::async_write(m_to, asio::buffer(m_buffer, size),
                        [self = shared_from_this()](const std::error_code& problem, std::size_t) {
                          if (problem) {
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
  std::shared_ptr<const link_state> m_state;
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
      const auto opened = std::make_shared<connection_pair>(std::move(socket));
      self->m_pairs.push_back(opened);
      pass(
          std::make_shared<asio::steady_timer>(opened->near.get_executor()), self->m_state->delay,
          [state = self->m_state] { return !state->cut_to_target && !state->cut_from_target; },
          [self, opened] { self->connect(opened); });
      self->accept();
    });
  }

  [[nodiscard]] link_state& state() { return *m_state; }

  void reset_connections() {
    for (const auto& weak : m_pairs) {
      if (const auto open = weak.lock()) {
        open->close();
      }
    }
    m_pairs.clear();
  }

  void silence_connections() {
    for (const auto& weak : m_pairs) {
      if (const auto open = weak.lock()) {
        open->silent = true;
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
    pair->far.async_connect(m_target, [state = m_state, pair](std::error_code failure) {
      if (failure) {
        pair->close();
        return;
      }
      pair->near.set_option(tcp::no_delay(true), failure);
      pair->far.set_option(tcp::no_delay(true), failure);
      std::make_shared<copier>(pair, true, state)->read();
      std::make_shared<copier>(pair, false, state)->read();
    });
  }

  tcp::endpoint m_target;
  tcp::acceptor m_acceptor;
  std::list<std::weak_ptr<connection_pair>> m_pairs;
  std::shared_ptr<link_state> m_state = std::make_shared<link_state>();
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
void forwarder::cut(direction way) {
  auto& state = m_impl->state();
  state.cut_to_target = state.cut_to_target || way != direction::from_target;
  state.cut_from_target = state.cut_from_target || way != direction::to_target;
}
void forwarder::heal() {
  m_impl->state() = {};
}
void forwarder::set_delay(milliseconds delay) {
  m_impl->state().delay = delay;
}
void forwarder::reset_connections() {
  m_impl->reset_connections();
}
void forwarder::silence_connections() {
  m_impl->silence_connections();
}

}  // namespace cuminpath::scenario
