#include "core/proxy/caller_listener.h"

#include <malloc.h>

#include <fmt/format.h>

#include "core/net/socket_options.h"
#include "core/proxy/exchange.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

// While no descriptor is free, each attempt to accept fails at once.
constexpr milliseconds k_accept_pause{50};
// Connections with a request that has just arrived are passed over when one is closed for another.
constexpr int k_max_candidates = 8;
constexpr milliseconds k_min_retry_after{500};
constexpr milliseconds k_retry_after_spread{1000};
// The allocator keeps free blocks that lie between used ones. Returning them takes some milliseconds, so it
// is done after a large release only.
constexpr std::size_t k_min_trimmed_bytes = 16U << 20U;
constexpr milliseconds k_min_time_between_trims{2000};
constexpr std::string_view k_memory = "memory";
constexpr std::string_view k_descriptors = "descriptors";

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
  accept_next();
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
    accept_next();
  });
}

bool caller_listener::is_full() const {
  return m_connections.size() - m_closed_connections.size() >= m_state.limits.caller_connections;
}

void caller_listener::accept_next() {
  if (!is_full()) {
    accept();
    return;
  }
  m_acceptor.async_wait(asio::ip::tcp::acceptor::wait_read, [this](std::error_code error) {
    if (!m_acceptor.is_open() || error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      accept_after_pause();
    } else {
      accept_in_place_of_another();
    }
  });
}

void caller_listener::accept_in_place_of_another() {
  const time_point now = clock::now();
  for (int i = 0; i < k_max_candidates && is_full(); ++i) {
    const auto found =
        m_connections.find(static_cast<const caller_connection*>(m_state.caller_memory.find_idle(now)));
    if (found == m_connections.end()) {
      break;
    }
    const auto connection = found->second.connection;
    const std::string_view phase = connection->phase_name();
    if (connection->close_to_free_descriptor()) {
      record_eviction(*connection, phase, k_descriptors);
    }
  }
  if (!is_full()) {
    accept();
    return;
  }
  // A caller that sends request after request would otherwise keep its connection for as long as it likes.
  for (const auto& [key, served] : m_connections) {
    served.connection->close_after_next_response();
  }
  accept_after_pause();  // The connection waits in the queue of the operating system.
}

void caller_listener::accept_after_pause() {
  m_accept_timer.expires_after(k_accept_pause);
  m_accept_timer.async_wait([this](std::error_code cancelled) {
    if (!cancelled && m_acceptor.is_open()) {
      accept_next();
    }
  });
}

void caller_listener::add(asio::ip::tcp::socket socket, time_point now) {
  caller_connection::handlers callbacks;
  callbacks.request = [this](const std::shared_ptr<caller_connection>& caller, http::request request,
                             std::shared_ptr<const byte_blocks> body, time_point arrived) {
    start_exchange(caller, std::move(request), std::move(body), arrived);
  };
  callbacks.make_room = [this](const caller_connection* caller) { return make_room(caller, clock::now()); };
  callbacks.request_id_header = m_state.header_names.request_id;
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
  auto connection = std::make_shared<caller_connection>(std::move(socket), std::move(callbacks),
                                                        m_state.caller_memory, now);
  if (m_state.stop) {
    connection->close_after_response();
  }
  m_connections.emplace(connection.get(), served_connection{.connection = connection, .active = nullptr});
  connection->start();
}

void caller_listener::start_exchange(const std::shared_ptr<caller_connection>& caller, http::request request,
                                     std::shared_ptr<const byte_blocks> body, time_point arrived) {
  const caller_connection* key = caller.get();
  const auto started =
      std::make_shared<exchange>(m_state, caller, std::move(request), std::move(body), arrived, [this, key] {
        m_state.served_requests = --m_active_requests;
        if (const auto found = m_connections.find(key); found != m_connections.end()) {
          found->second.active.reset();
        }
      });
  m_state.served_requests = ++m_active_requests;
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
  for (const auto& decision : m_state.caller_memory.decide(now)) {
    carry_out(decision, now);
  }
  if (!m_state.caller_memory.fits(0)) {
    make_room(nullptr, now);
  }
  release_free_memory(now);
  for (const auto& [key, served] : m_connections) {
    served.connection->enforce_limits(now);
    if (m_state.stop && now >= m_state.stop->answers_expire_at()) {
      served.connection->close_if_idle_since(m_state.stop->signalled_at());
    }
  }
}

bool caller_listener::make_room(const caller_connection* except, time_point now) {
  const std::size_t needed = net::read_buffer().size();
  while (!m_state.caller_memory.fits(needed)) {
    const auto found = m_connections.find(
        static_cast<const caller_connection*>(m_state.caller_memory.find_stalled(now, except)));
    if (found == m_connections.end()) {
      m_state.metrics.add("cuminpath_caller_memory_exhausted_total");
      return false;
    }
    carry_out({found->first, caller_memory_budget::action::evict}, now);
  }
  return true;
}

void caller_listener::carry_out(const caller_memory_budget::decision& decision, time_point now) {
  const auto found = m_connections.find(static_cast<const caller_connection*>(decision.owner));
  if (found == m_connections.end()) {
    return;
  }
  const auto connection = found->second.connection;
  switch (decision.to_take) {
    case caller_memory_budget::action::resume:
      connection->resume_reading(now);
      return;
    case caller_memory_budget::action::refuse:
      record_eviction(*connection, "waiting", k_memory);
      connection->evict("no memory for a body of this size", random_retry_after());
      return;
    case caller_memory_budget::action::evict:
      record_eviction(*connection, connection->phase_name(), k_memory);
      connection->evict("the request or its response makes no progress and others need its memory",
                        random_retry_after());
      return;
  }
}

void caller_listener::record_eviction(const caller_connection& caller, std::string_view phase,
                                      std::string_view cause) {
  const caller_memory_budget& memory = m_state.caller_memory;
  telemetry::log(telemetry::log_level::info, "callers", "caller gives way",
                 {{"cause", cause},
                  {"phase", phase},
                  {"held_bytes", static_cast<std::int64_t>(memory.held(&caller))},
                  {"used_bytes", static_cast<std::int64_t>(memory.used())},
                  {"limit_bytes", static_cast<std::int64_t>(memory.limit())},
                  {"waiting", static_cast<std::int64_t>(memory.waiting())},
                  {"connections", static_cast<std::int64_t>(memory.holders())}});
  m_state.metrics.add("cuminpath_callers_refused_total", {{"cause", std::string(cause)}});
}

milliseconds caller_listener::random_retry_after() {
  return k_min_retry_after + milliseconds(random_index(m_state.random, k_retry_after_spread.count()));
}

void caller_listener::release_free_memory(time_point now) {
  const std::size_t used = m_state.caller_memory.used();
  m_peak_memory = std::max(m_peak_memory, used);
  if (m_peak_memory - used >= k_min_trimmed_bytes && now - m_last_trim >= k_min_time_between_trims) {
    static_cast<void>(::malloc_trim(0));
    m_peak_memory = used;
    m_last_trim = now;
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
