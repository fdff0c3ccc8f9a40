#include "core/proxy/upstream_connection.h"

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
#include <span>

#include "core/net/socket_options.h"

namespace cuminpath::proxy {
namespace {

constexpr int k_informational_status_class = 1;  // 1xx, interim responses.
// Interim responses and late responses to earlier requests are skipped. This limits how many bytes an
// upstream can send that way.
constexpr std::size_t k_max_bytes_before_head = 1U << 20U;

// A larger write would hand a whole request to the socket before an early refusal of it can be read. The
// refused request would then reach the upstream.
constexpr std::size_t k_max_write_bytes = 64U << 10U;

// Returns the first bytes of `buffers`, at most `max_bytes`.
std::vector<asio::const_buffer> take_front(std::span<const asio::const_buffer> buffers,
                                           std::size_t max_bytes) {
  std::vector<asio::const_buffer> front;
  for (const asio::const_buffer& each : buffers) {
    if (max_bytes == 0) {
      break;
    }
    front.push_back(asio::buffer(each, max_bytes));
    max_bytes -= front.back().size();
  }
  return front;
}

// Returns the `timeout` parameter of the Keep-Alive header, if there is one.
std::optional<seconds> parse_keep_alive_timeout(const http::header_list& headers) {
  const auto value = http::find_header(headers, "Keep-Alive");
  if (!value) {
    return std::nullopt;
  }
  constexpr std::string_view k_key = "timeout=";
  const std::size_t at = value->find(k_key);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  int count = 0;
  const std::string_view digits = value->substr(at + k_key.size());
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), count);
  return parsed.ec == std::errc() ? std::optional(seconds(count)) : std::nullopt;
}

}  // namespace

upstream_connection::upstream_connection(asio::io_context& context, std::string upstream_id)
    : m_socket(context),
      m_connect_timer(context),
      m_send_timer(context),
      m_upstream_id(std::move(upstream_id)),
      m_parser(message_parser::message_type::responses) {
  m_parser.on_head = [this](message_head&& head) { handle_head(std::move(head)); };
  m_parser.on_body = [this](std::string_view bytes) {
    if (!m_skipping_response && m_events.body) {
      m_events.body(bytes);
    }
  };
}

upstream_connection::~upstream_connection() = default;

void upstream_connection::connect(const asio::ip::tcp::endpoint& peer, milliseconds timeout,
                                  std::function<void(std::string_view)> done) {
  m_on_connected = std::move(done);
  const auto finish = [self = shared_from_this()](std::string_view reason) {
    // Taken first, because close() drops the callback.
    const auto on_connected = std::exchange(self->m_on_connected, nullptr);
    if (!on_connected) {
      return;
    }
    if (!reason.empty()) {
      self->close();
    }
    on_connected(reason);
  };
  std::error_code failure;
  m_socket.open(peer.protocol(), failure);
  if (failure) {
    finish(failure.message());
    return;
  }
  net::set_connection_options(m_socket);
  m_connect_timer.expires_after(timeout);
  m_connect_timer.async_wait([self = shared_from_this(), finish](std::error_code cancelled) {
    if (!cancelled) {
      finish("connection not established in time");
    }
  });
  m_socket.async_connect(peer, [self = shared_from_this(), finish](std::error_code error) {
    self->m_connect_timer.cancel();
    if (!self->m_on_connected) {
      return;
    }
    if (error) {
      finish(error.message());
      return;
    }
    self->m_open = true;
    std::error_code ignored;
    self->m_socket.non_blocking(true, ignored);
    self->wait_readable();
    finish({});
  });
}

void upstream_connection::send(std::string head, std::shared_ptr<const byte_blocks> body,
                               std::string id_header, std::string request_id, bool no_body,
                               response_handlers events) {
  m_outgoing_head = std::move(head);
  m_outgoing_body = std::move(body);
  m_id_header = std::move(id_header);
  m_request_id = std::move(request_id);
  m_events = std::move(events);
  m_request_active = true;
  m_request_written = m_skipping_response = m_reusable = m_paused = m_head_received = false;
  m_bytes_before_head = 0;
  m_no_body = no_body;
  m_parser.start({}, no_body);
  m_unwritten.assign({asio::buffer(m_outgoing_head)});
  if (m_outgoing_body) {
    for (const std::string_view view : m_outgoing_body->views()) {
      m_unwritten.emplace_back(view.data(), view.size());
    }
  }
  m_send_watch.on_sent(clock::now());
  watch_request();
  write_request();
}

void upstream_connection::watch_request() {
  m_send_timer.expires_at(m_send_watch.due());
  m_send_timer.async_wait([self = shared_from_this()](std::error_code cancelled) {
    if (cancelled || !self->m_open || !self->m_request_active) {
      return;
    }
    const time_point now = clock::now();
    switch (self->m_send_watch.sample(self->m_socket.native_handle(), now)) {
      case net::send_verdict::done:
        if (self->m_request_written) {
          return;
        }
        self->m_send_watch.on_sent(now);
        break;
      case net::send_verdict::waits:
        break;
      case net::send_verdict::unread:
        self->fail("upstream does not read the request");
        return;
      case net::send_verdict::gone:
        self->fail("upstream no longer answers");
        return;
    }
    self->watch_request();
  });
}

// Writes without an asynchronous operation, so that m_request_written is true before any response to the last
// byte can be read. The completion of an asynchronous write can be handled after that response.
void upstream_connection::write_request() {
  std::error_code error;
  const std::size_t written = m_socket.write_some(take_front(m_unwritten, k_max_write_bytes), error);
  if (error && error != asio::error::would_block && error != asio::error::try_again) {
    m_unwritten.clear();
    release_outgoing();
    // send() calls none of its callbacks before it returns.
    asio::post(m_socket.get_executor(), [self = shared_from_this(), error] {
      if (self->m_request_active && self->m_open) {
        self->on_write_failed(error.message());
      }
    });
    return;
  }
  std::size_t rest = written;
  const auto first_left = std::find_if(m_unwritten.begin(), m_unwritten.end(), [&rest](const auto& buffer) {
    if (rest < buffer.size()) {
      return true;
    }
    rest -= buffer.size();
    return false;
  });
  m_unwritten.erase(m_unwritten.begin(), first_left);
  if (m_unwritten.empty()) {
    m_request_written = true;
    release_outgoing();
    return;
  }
  m_unwritten.front() += rest;
  m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                      [self = shared_from_this()](std::error_code failure) {
                        if (!failure && self->m_open) {
                          self->write_request();
                        } else {
                          self->m_unwritten.clear();
                          self->release_outgoing();
                        }
                      });
}

void upstream_connection::release_outgoing() {
  std::string().swap(m_outgoing_head);
  m_outgoing_body.reset();
}

bool upstream_connection::reusable() const {
  std::error_code failure;
  return m_open && m_reusable && !m_request_active && m_socket.available(failure) == 0 && !failure;
}

void upstream_connection::resume_reading() {
  if (m_paused) {
    m_paused = false;
    wait_readable();
  }
}

void upstream_connection::wait_readable() {
  if (!m_open || m_paused || m_wait_pending) {
    return;
  }
  m_wait_pending = true;
  m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
    self->m_wait_pending = false;
    if (!error && self->m_open && !self->m_paused) {
      self->on_readable();
    }
  });
}

void upstream_connection::on_readable() {
  const auto self = shared_from_this();
  std::error_code error;
  const auto buffer = net::read_buffer();
  const std::size_t size = m_socket.read_some(asio::buffer(buffer.data(), buffer.size()), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    wait_readable();
    return;
  }
  if (error) {
    on_connection_end(error != asio::error::eof, error.message());
    return;
  }
  m_last_read = clock::now();
  consume({buffer.data(), size});
  wait_readable();
}

// An upstream that responds early and closes resets the connection behind its response.
void upstream_connection::on_write_failed(const std::string& reason) {
  const auto self = shared_from_this();
  while (m_request_active && m_open) {
    std::error_code error;
    const auto buffer = net::read_buffer();
    const std::size_t size = m_socket.read_some(asio::buffer(buffer.data(), buffer.size()), error);
    if (error) {
      on_connection_end(true, reason);
      return;
    }
    m_last_read = clock::now();
    consume({buffer.data(), size});
  }
}

void upstream_connection::consume(std::string_view bytes) {
  if (!m_request_active) {
    on_connection_end(true, "bytes without a request");
    return;
  }
  while (m_open && m_request_active && !bytes.empty()) {
    const auto result = m_parser.feed(bytes);
    m_bytes_before_head += m_head_received ? 0 : result.consumed;
    if (m_open && m_request_active && m_bytes_before_head > k_max_bytes_before_head) {
      fail("other answers came instead of the one to this request");
      return;
    }
    bytes.remove_prefix(std::min(result.consumed, bytes.size()));
    if (!m_open || !m_request_active) {
      return;
    }
    switch (result.status) {
      case parse_status::need_more:
        return;
      case parse_status::complete:
        on_message_end(!bytes.empty());
        break;
      case parse_status::malformed:
      case parse_status::head_too_large:
      case parse_status::body_too_large:
        fail("answer is not valid HTTP");
        return;
    }
  }
}

void upstream_connection::handle_head(message_head&& head) {
  m_skipping_response = head.status / 100 == k_informational_status_class;
  if (m_skipping_response) {
    return;
  }
  const auto is_other_id = [this](const auto& header) {
    return http::equal_ignoring_case(header.first, m_id_header) && header.second != m_request_id;
  };
  if (std::any_of(head.headers.begin(), head.headers.end(), is_other_id)) {
    m_skipping_response = true;
    m_keep_alive = head.keep_alive;
    return;
  }
  m_head_received = true;
  m_keep_alive = head.keep_alive && head.self_delimited;
  m_self_delimited = head.self_delimited;
  m_advertised_idle_timeout = parse_keep_alive_timeout(head.headers);
  if (m_events.head) {
    m_events.head(std::move(head));
  }
}

void upstream_connection::on_message_end(bool bytes_follow) {
  if (m_skipping_response) {
    m_skipping_response = false;
    m_parser.start({}, m_no_body);
    return;
  }
  m_request_active = false;
  m_paused = false;  // An idle connection is read, so that its end is noticed.
  // If the response arrived before the whole request was written, the connection is still in the middle of
  // the request and cannot carry another one.
  m_reusable = m_keep_alive && m_request_written && !bytes_follow;
  const auto end = std::exchange(m_events, {}).end;
  if (m_reusable) {
    m_send_timer.cancel();
    m_send_watch.stop();
  } else {
    close();
  }
  if (end) {
    end();
  }
}

void upstream_connection::on_connection_end(bool reset, std::string_view reason) {
  if (!m_request_active) {
    close();
    if (const auto idle_close = std::exchange(on_idle_close, nullptr)) {
      idle_close();
    }
    return;
  }
  // A response without a length is complete only if the connection ends in an orderly way. It does not if a
  // part of the request is left: either a write has failed, which takes the error of a reset from the socket,
  // so that the next read returns the end of the file, or the peer has closed without reading the request.
  if (!reset && m_request_written && !m_skipping_response && m_parser.head_done() && !m_self_delimited &&
      m_parser.finish_at_eof()) {
    on_message_end(true);
    return;
  }
  fail(reason);
}

void upstream_connection::fail(std::string_view reason) {
  const auto failed = std::exchange(m_events, {}).failed;
  close();
  if (failed) {
    failed(reason);
  }
}

void upstream_connection::close() {
  if (m_request_active && m_open) {
    // A reset discards bytes that the network has not delivered yet: a cancelled request must not reach the
    // upstream later.
    net::reset_on_close(m_socket);
  }
  m_send_timer.cancel();
  if (m_send_watch.active()) {
    net::limit_unacknowledged_time(m_socket.native_handle(), net::k_max_unread_time);
    m_send_watch.stop();
  }
  m_open = false;
  m_request_active = false;
  m_reusable = false;
  // close() may be called from one of these callbacks, so they are destroyed only after it has returned.
  asio::post(m_socket.get_executor(), [retired = std::exchange(m_events, {})] {});
  m_on_connected = nullptr;
  m_connect_timer.cancel();
  std::error_code ignored;
  m_socket.close(ignored);
}

}  // namespace cuminpath::proxy
