#include "proxy_fixture.h"

#include <array>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>

namespace cuminpath::proxy {
namespace {

constexpr seconds k_run_timeout{5};

std::size_t body_length(std::string_view head) {
  constexpr std::string_view k_name = "Content-Length: ";
  const std::size_t at = head.find(k_name);
  return at == std::string_view::npos ? 0 : std::stoul(std::string(head.substr(at + k_name.size(), 12)));
}

}  // namespace

struct scripted_upstream::connection {
  explicit connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
  asio::ip::tcp::socket socket;
  std::array<char, 4096> buffer{};
  std::string received;
  std::string late_bytes;
  bool abandoned = false;  // The upstream has been destroyed.
};

scripted_upstream::scripted_upstream(asio::io_context& context, script handler)
    : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), m_script(std::move(handler)) {
  accept();
}

scripted_upstream::~scripted_upstream() {
  for (const auto& each : m_connections) {
    if (const auto peer = each.lock()) {
      std::error_code ignored;
      peer->abandoned = true;
      peer->socket.close(ignored);
    }
  }
}

std::string scripted_upstream::address() const {
  return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
}

void scripted_upstream::limit_receive_buffer() {
  constexpr int k_receive_buffer_bytes = 4096;
  m_acceptor.set_option(asio::socket_base::receive_buffer_size(k_receive_buffer_bytes));
}

void scripted_upstream::send_to_last(const std::string& bytes) {
  std::error_code ignored;
  asio::write(m_last->socket, asio::buffer(bytes), ignored);
}

void scripted_upstream::accept() {
  m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
    if (!error) {
      ++m_accepted;
      std::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      const auto peer = std::make_shared<connection>(std::move(socket));
      m_connections.push_back(peer);
      read(peer);
      accept();
    }
  });
}

void scripted_upstream::read(const std::shared_ptr<connection>& peer) {
  peer->socket.async_read_some(
      asio::buffer(peer->buffer), [this, peer](std::error_code error, std::size_t size) {
        if (peer->abandoned) {
          return;
        }
        if (error) {
          ++m_closed;
          m_resets += error == asio::error::connection_reset ? 1 : 0;
          return;
        }
        peer->received.append(peer->buffer.data(), size);
        const std::size_t head = peer->received.find("\r\n\r\n");
        if (head == std::string::npos) {
          read(peer);
          return;
        }
        if (peer->received.size() < head + 4 + body_length(peer->received.substr(0, head))) {
          act(peer, std::exchange(m_early_action, std::nullopt).value_or(upstream_action{}));
          return;
        }
        m_requests.push_back(std::exchange(peer->received, {}));
        m_last = peer;
        upstream_action action = m_script(m_requests.size(), m_requests.back());
        action.bytes.insert(0, std::exchange(peer->late_bytes, action.late_bytes));
        act(peer, action);
      });
}

void scripted_upstream::act(const std::shared_ptr<connection>& peer, const upstream_action& action) {
  std::error_code ignored;
  asio::write(peer->socket, asio::buffer(action.bytes), ignored);
  if (action.delay.count() == 0) {
    act_after_bytes(peer, action.then);
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(peer->socket.get_executor(), action.delay);
  timer->async_wait([this, peer, timer, then = action.then](std::error_code cancelled) {
    if (!cancelled && !peer->abandoned) {
      act_after_bytes(peer, then);
    }
  });
}

void scripted_upstream::act_after_bytes(const std::shared_ptr<connection>& peer,
                                        upstream_action::after then) {
  std::error_code ignored;
  switch (then) {
    case upstream_action::after::keep:
      read(peer);
      return;
    case upstream_action::after::reset:
      peer->socket.set_option(asio::socket_base::linger(true, 0), ignored);
      peer->socket.close(ignored);
      return;
    case upstream_action::after::crash:
      m_acceptor.close(ignored);
      peer->socket.close(ignored);
      return;
    case upstream_action::after::close:
      peer->socket.close(ignored);
      return;
  }
}

struct endless_upstream::state {
  explicit state(asio::io_context& context) : socket(context) {}
  asio::ip::tcp::socket socket;
  std::array<char, 4096> buffer{};
  std::string bytes;
  std::string repeated;
  std::size_t sent = 0;
  bool ended = false;
};

endless_upstream::endless_upstream(asio::io_context& context, const std::string& prefix, std::string repeated)
    : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}), m_state(std::make_shared<state>(context)) {
  m_state->bytes = prefix + repeated;
  m_state->repeated = std::move(repeated);
  m_acceptor.async_accept(m_state->socket, [to = m_state](std::error_code error) {
    if (error) {
      return;
    }
    to->socket.async_read_some(asio::buffer(to->buffer),
                               [to](std::error_code /*error*/, std::size_t /*size*/) { write(to); });
  });
}

void endless_upstream::write(const std::shared_ptr<state>& to) {
  asio::async_write(to->socket, asio::buffer(to->bytes), [to](std::error_code error, std::size_t size) {
    if (error) {
      to->ended = true;
      return;
    }
    to->sent += size;
    to->bytes = to->repeated;
    write(to);
  });
}

std::string endless_upstream::address() const {
  return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
}
std::size_t endless_upstream::sent() const {
  return m_state->sent;
}
bool endless_upstream::ended() const {
  return m_state->ended;
}

proxy_fixture::proxy_fixture() {
  m_state.header_names = {.request_id = "X-Id",
                          .time_left_ms = "X-Left",
                          .api_key = "X-Key",
                          .workspace = "X-Workspace",
                          .target_instance = "X-Instance",
                          .urgency = "X-Urgency",
                          .resume_after = "Last-Event-Id",
                          .not_executed = "X-Not-Executed",
                          .stamp = "X-Stamp",
                          .leaving = "X-Leaving",
                          .model = "X-Model",
                          .prompt_parts = "X-Prompt-Parts",
                          .token_counts = "X-Token-Counts"};
  m_state.availability_zone = "z";
  auto configuration = std::make_shared<gateway::configuration>();
  configuration->version = 1;
  const auto route = [](const std::string& prefix, gateway::call_kind kind, bool resumable,
                        std::uint32_t attempts) {
    return gateway::route{.name = prefix,
                          .host = "h",
                          .path_prefix = prefix,
                          .kind = kind,
                          .resumable = resumable,
                          .timeout = milliseconds{2000},
                          .max_attempts = attempts,
                          .shares = {{"s", 1}}};
  };
  configuration->routes = {route("/safe/", gateway::call_kind::repeatable, false, 2),
                           route("/once/", gateway::call_kind::at_most_once, false, 2),
                           route("/stream/", gateway::call_kind::stream, true, 2),
                           route("/fragile/", gateway::call_kind::stream, false, 2)};
  configuration->routes.push_back(route("/short/", gateway::call_kind::at_most_once, false, 1));
  configuration->routes.back().timeout = milliseconds{150};
  configuration->services = {{.name = "s"}};
  configuration->workspaces = {{.name = "alpha"}};
  configuration->workspace_of_key = {{"secret", 0}};
  configuration->keys_required = true;
  configuration->build_index();
  m_state.configuration = std::move(configuration);
  EXPECT_TRUE(m_listener.listen("127.0.0.1:0"));
}

void proxy_fixture::use_engine() {
  auto configuration = std::make_shared<gateway::configuration>(*m_state.configuration);
  configuration->services[0].engine = gateway::engine_cost{};
  m_state.configuration = std::move(configuration);
  m_state.upstream_checks =
      std::make_unique<upstream_check>(m_context, std::string(k_status_path), milliseconds{500});
}

scripted_upstream& proxy_fixture::add_upstream(std::string id, scripted_upstream::script script) {
  m_upstreams.push_back(std::make_unique<scripted_upstream>(m_context, std::move(script)));
  m_records.push_back({.id = std::move(id),
                       .service = "s",
                       .address = m_upstreams.back()->address(),
                       .availability_zone = "z",
                       .slots = 4});
  m_state.upstreams.apply(m_records, clock::now(), false);
  return *m_upstreams.back();
}

bool proxy_fixture::run_until(const std::function<bool()>& condition) {
  const time_point end = clock::now() + k_run_timeout;
  while (!condition()) {
    if (clock::now() >= end) {
      return false;
    }
    m_context.run_one_for(milliseconds{20});
    m_context.restart();
  }
  return true;
}

proxy_fixture::exchange_result proxy_fixture::call(const std::string& bytes,
                                                   const std::function<bool(const std::string&)>& done) {
  asio::ip::tcp::socket socket(m_context);
  const std::string address = m_listener.address();
  const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
  socket.connect({asio::ip::address_v4::loopback(), port});
  asio::async_write(socket, asio::buffer(bytes), [](std::error_code /*error*/, std::size_t /*size*/) {});
  exchange_result out;
  std::array<char, 4096> buffer{};
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer), [&](std::error_code error, std::size_t size) {
      out.bytes.append(buffer.data(), size);
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (error) {
        out.ended = true;
      } else {
        read();
      }
    });
  };
  read();
  EXPECT_TRUE(run_until([&] { return out.ended || done(out.bytes); })) << out.bytes;
  std::error_code ignored;
  socket.close(ignored);
  m_context.poll();
  m_context.restart();
  return out;
}

bool proxy_fixture::is_complete(const std::string& bytes) {
  const std::size_t head = bytes.find("\r\n\r\n");
  if (head == std::string::npos) {
    return false;
  }
  if (bytes.find("Transfer-Encoding: chunked") < head) {
    return bytes.ends_with("0\r\n\r\n");
  }
  return bytes.size() >= head + 4 + body_length(bytes.substr(0, head));
}

std::string proxy_fixture::request(std::string_view method, std::string_view path, std::string_view id,
                                   std::string_view extra_headers) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: h\r\nX-Id: {}\r\nX-Key: secret\r\nX-Left: 1500\r\n{}\r\n",
                     method, path, id, extra_headers);
}

std::string proxy_fixture::response_text(std::string_view id, std::string_view body,
                                         std::string_view extra_headers, int status) {
  return fmt::format("HTTP/1.1 {} X\r\nX-Id: {}\r\nX-Stamp: s\r\n{}Content-Length: {}\r\n\r\n{}", status, id,
                     extra_headers, body.size(), body);
}

}  // namespace cuminpath::proxy
