#include "core/proxy/caller_listener.h"

#include <fmt/format.h>

#include "core/net/socket_options.h"
#include "core/proxy/exchange.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

// While no descriptor is free, each attempt to accept fails at once.
constexpr milliseconds k_accept_pause{50};

}  // namespace

caller_listener::caller_listener(proxy_state& state)
    : m_state(state), m_acceptor(state.context), m_accept_timer(state.context) {}
caller_listener::~caller_listener() = default;

result<void> caller_listener::listen(const std::string& address) {
  const auto endpoint = net::parse_endpoint(address);
  if (!endpoint) {
    return make_error(error_code::invalid_input, address + " is not IP:PORT");
  }
  std::error_code failure;
  m_acceptor.open(endpoint->protocol(), failure);
  if (!failure) {
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), failure);
    m_acceptor.bind(*endpoint, failure);
  }
  if (!failure) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return make_error(error_code::unreachable, address + ": " + failure.message());
  }
  accept();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string caller_listener::address() const {
  std::error_code ignored;
  const auto local = m_acceptor.local_endpoint(ignored);
  return fmt::format("{}:{}", local.address().to_string(), local.port());
}

void caller_listener::accept() {
  m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
    if (!m_acceptor.is_open() || error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      telemetry::log(telemetry::log_level::warning, "process", "connection not accepted",
                     {{"reason", error.message()}});
      accept_after_pause();
      return;
    }
    add(std::move(socket), clock::now());
    accept();
  });
}

void caller_listener::accept_after_pause() {
  m_accept_timer.expires_after(k_accept_pause);
  m_accept_timer.async_wait([this](std::error_code cancelled) {
    if (!cancelled && m_acceptor.is_open()) {
      accept();
    }
  });
}

void caller_listener::add(asio::ip::tcp::socket socket, time_point now) {
  caller_connection::handlers callbacks;
  callbacks.request = [this](const std::shared_ptr<caller_connection>& caller, http::request request,
                             time_point arrived) { start_exchange(caller, std::move(request), arrived); };
  callbacks.disconnected = [this](caller_connection* connection) {
    if (const auto active = active_exchange(connection)) {
      active->on_caller_disconnected();
    }
  };
  callbacks.drained = [this](caller_connection* connection) {
    if (const auto active = active_exchange(connection)) {
      active->on_caller_drained();
    }
  };
  callbacks.closed = [this](caller_connection* closed) { m_closed_connections.push_back(closed); };
  callbacks.limits = [this] {
    return m_state.configuration ? m_state.configuration->limits : gateway::caller_limits{};
  };
  auto connection = std::make_shared<caller_connection>(std::move(socket), std::move(callbacks), now);
  if (m_state.stop) {
    connection->close_after_response();
  }
  m_connections.emplace(connection.get(), served_connection{.connection = connection, .active = nullptr});
  connection->start();
}

void caller_listener::start_exchange(const std::shared_ptr<caller_connection>& caller, http::request request,
                                     time_point arrived) {
  const caller_connection* key = caller.get();
  const auto started = std::make_shared<exchange>(m_state, caller, std::move(request), arrived, [this, key] {
    --m_active_requests;
    if (const auto found = m_connections.find(key); found != m_connections.end()) {
      found->second.active.reset();
    }
  });
  ++m_active_requests;
  m_connections.at(key).active = started;
  started->start(clock::now());
}

std::shared_ptr<exchange> caller_listener::active_exchange(const caller_connection* connection) const {
  const auto found = m_connections.find(connection);
  return found == m_connections.end() ? nullptr : found->second.active;
}

void caller_listener::on_stop_scheduled() {
  for (const auto& [key, served] : m_connections) {
    served.connection->close_after_response();
    if (const auto active = served.active) {
      active->on_stop_scheduled();
    }
  }
}

void caller_listener::finish_stop(time_point now) {
  std::error_code ignored;
  m_acceptor.close(ignored);
  for (const auto& [key, served] : m_connections) {
    served.connection->close_if_idle_since(now);
    served.connection->refuse_unfinished_request("the gateway is being stopped");
  }
}

bool caller_listener::drained() const {
  const auto counts = count_connections();
  return counts.reading + counts.responding + counts.lingering + counts.unsent_bytes == 0;
}

void caller_listener::tick(time_point now) {
  for (const auto* closed : std::exchange(m_closed_connections, {})) {
    m_connections.erase(closed);
  }
  for (const auto& [key, served] : m_connections) {
    served.connection->enforce_limits(now);
    if (m_state.stop && now >= m_state.stop->answers_expire_at()) {
      served.connection->close_if_idle_since(m_state.stop->signalled_at());
    }
  }
}

void caller_listener::log_unfinished_requests() {
  for (const auto& [key, served] : m_connections) {
    if (const auto active = served.active) {
      active->on_process_end();
    }
  }
}

connection_counts caller_listener::count_connections() const {
  connection_counts counts;
  for (const auto& [key, served] : m_connections) {
    counts.unsent_bytes += served.connection->unsent_bytes();
    switch (served.connection->phase()) {
      case connection_phase::idle:
        ++counts.idle;
        break;
      case connection_phase::reading:
        ++counts.reading;
        break;
      case connection_phase::responding:
        ++counts.responding;
        break;
      case connection_phase::lingering:
        ++counts.lingering;
        break;
      case connection_phase::closed:
        break;
    }
  }
  return counts;
}

}  // namespace cuminpath::proxy
