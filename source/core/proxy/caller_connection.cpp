#include "core/proxy/caller_connection.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>

#include "core/net/socket_options.h"

namespace cuminpath::proxy {
namespace {

// Pipelined bytes buffered while a request is being served. Beyond this, reading stops until the response has
// been sent.
constexpr std::size_t k_max_pipelined_bytes = 64U << 10U;
// Time for the caller to read the last response and close the connection. Closing the socket while unread
// input is pending resets the connection, and the caller could lose the response.
constexpr milliseconds k_linger_timeout{1000};

bool expects_continue(const http::header_list& headers) {
  const auto value = http::find_header(headers, "Expect");
  return value && http::equal_ignoring_case(*value, "100-continue");
}

}  // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket, handlers callbacks, time_point now)
    : m_socket(std::move(socket)),
      m_handlers(std::move(callbacks)),
      m_parser(message_parser::message_type::requests),
      m_phase_start(now),
      m_last_read(now) {
  m_parser.on_head = [this](message_head&& head) {
    m_head_done = true;
    m_keep_alive = head.keep_alive;
    m_request.method = std::move(head.method);
    m_request.target = std::move(head.target);
    m_request.headers = std::move(head.headers);
    if (expects_continue(m_request.headers)) {
      append("HTTP/1.1 100 Continue\r\n\r\n");
    }
  };
  m_parser.on_body = [this](std::string_view bytes) { m_request.body.append(bytes); };
}

caller_connection::~caller_connection() = default;

void caller_connection::start() {
  std::error_code ignored;
  m_socket.non_blocking(true, ignored);
  net::set_connection_options(m_socket);
  m_limits = m_handlers.limits();
  wait_readable();
}

void caller_connection::wait_readable() {
  if (m_wait_pending || m_phase == connection_phase::closed || m_pipelined.size() >= k_max_pipelined_bytes) {
    return;
  }
  m_wait_pending = true;
  m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
    self->m_wait_pending = false;
    if (!error && self->m_phase != connection_phase::closed) {
      self->on_readable();
    }
  });
}

void caller_connection::on_readable() {
  std::error_code error;
  const auto buffer = net::read_buffer();
  const std::size_t size = m_socket.read_some(asio::buffer(buffer.data(), buffer.size()), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    wait_readable();
    return;
  }
  if (error) {
    if (m_phase == connection_phase::responding && m_handlers.disconnected) {
      m_handlers.disconnected(this);
    }
    close();
    return;
  }
  m_last_read = clock::now();
  if (m_phase == connection_phase::responding) {
    m_pipelined.append(buffer.data(), size);
  } else if (m_phase != connection_phase::lingering) {
    consume({buffer.data(), size});
  }
  wait_readable();
}

void caller_connection::consume(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  if (m_phase == connection_phase::idle) {
    m_phase = connection_phase::reading;
    m_phase_start = m_last_read;
    m_limits = m_handlers.limits();
    m_request = {};
    m_head_done = false;
    m_parser.start({.max_head_bytes = m_limits.max_header_bytes, .max_body_bytes = m_limits.max_body_bytes});
  }
  const auto result = m_parser.feed(bytes);
  switch (result.status) {
    case parse_status::need_more:
      return;
    case parse_status::complete:
      m_pipelined.assign(bytes.substr(std::min(result.consumed, bytes.size())));
      handle_request();
      return;
    case parse_status::malformed:
      reject(400, "malformed request");
      return;
    case parse_status::head_too_large:
      reject(431, "header too large");
      return;
    case parse_status::body_too_large:
      reject(413, "body too large");
      return;
  }
}

void caller_connection::handle_request() {
  m_phase = connection_phase::responding;
  const time_point arrived = m_phase_start;
  m_phase_start = m_last_read;
  m_handlers.request(shared_from_this(), std::move(m_request), arrived);
}

void caller_connection::reject(int status, std::string_view reason) {
  m_phase = connection_phase::responding;
  m_keep_alive = false;
  respond({.status = status,
           .headers = {{"Content-Type", "application/problem+json"}},
           .body = fmt::format(R"({{"status":{},"reason":"{}","execution":"not_run"}})", status, reason)});
}

std::string caller_connection::serialize_head(int status, const http::header_list& headers) {
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, http::reason_phrase(status));
  for (const auto& [name, value] : headers) {
    text += fmt::format("{}: {}\r\n", name, value);
  }
  // A pipelined request that has arrived still gets its response.
  m_close_announced = (m_close_after_response && m_pipelined.empty()) || !m_keep_alive;
  if (m_close_announced) {
    text += "Connection: close\r\n";
  }
  return text;
}

void caller_connection::respond(const http::response& response) {
  if (m_phase != connection_phase::responding) {
    return;
  }
  std::string text = serialize_head(response.status, response.headers);
  if (response.status != 204 && response.status != 304 &&
      !http::find_header(response.headers, "Content-Length")) {
    text += fmt::format("Content-Length: {}\r\n", response.body.size());
  }
  text += "\r\n";
  text += response.body;
  append(text);
  finish_response();
}

void caller_connection::begin_stream(int status, const http::header_list& headers) {
  append(serialize_head(status, headers) + "Transfer-Encoding: chunked\r\n\r\n");
}

void caller_connection::write_chunk(std::string_view bytes) {
  if (!bytes.empty()) {
    append(fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
  }
}

void caller_connection::end_stream() {
  append("0\r\n\r\n");
  finish_response();
}

void caller_connection::abort() {
  if (m_phase == connection_phase::responding) {
    m_close_announced = true;
    finish_response();
  }
}

void caller_connection::close_if_idle_since(time_point time) {
  std::error_code error;
  if (m_phase == connection_phase::idle && m_phase_start <= time && unsent_bytes() == 0 &&
      m_pipelined.empty() && m_socket.available(error) == 0) {
    close();
  }
}

void caller_connection::refuse_unfinished_request(std::string_view reason) {
  if (m_phase == connection_phase::reading) {
    reject(503, reason);
  }
}

void caller_connection::finish_response() {
  if (m_phase != connection_phase::responding) {
    return;
  }
  if (m_close_announced) {
    m_phase = connection_phase::lingering;
    m_phase_start = clock::now();
    flush();
    return;
  }
  m_phase = connection_phase::idle;
  m_phase_start = m_last_read = clock::now();
  if (m_pipelined.empty()) {
    return;
  }
  // The next pipelined request is handled from the event loop, so that long pipelines do not recurse.
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    if (self->m_phase == connection_phase::idle) {
      const std::string bytes = std::exchange(self->m_pipelined, {});
      self->consume(bytes);
      self->wait_readable();
    }
  });
}

void caller_connection::append(std::string_view bytes) {
  if (m_phase == connection_phase::closed) {
    return;
  }
  m_pending_output.append(bytes);
  // Coalesces everything appended in one iteration of the event loop into a single write.
  if (!m_flush_posted && !m_writing) {
    m_flush_posted = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
      self->m_flush_posted = false;
      self->flush();
    });
  }
}

void caller_connection::flush() {
  if (m_writing || m_phase == connection_phase::closed) {
    return;
  }
  if (m_pending_output.empty()) {
    if (m_phase == connection_phase::lingering) {
      shutdown_send();
    } else if (m_phase == connection_phase::responding && m_handlers.drained) {
      m_handlers.drained(this);
    }
    return;
  }
  m_writing = true;
  m_output_in_flight = std::exchange(m_pending_output, {});
  asio::async_write(m_socket, asio::buffer(m_output_in_flight),
                    [self = shared_from_this()](std::error_code error, std::size_t /*size*/) {
                      self->m_writing = false;
                      self->m_output_in_flight.clear();
                      if (!error) {
                        self->flush();
                      } else if (self->m_phase != connection_phase::closed) {
                        if (self->m_phase == connection_phase::responding && self->m_handlers.disconnected) {
                          self->m_handlers.disconnected(self.get());
                        }
                        self->close();
                      }
                    });
}

void caller_connection::shutdown_send() {
  m_phase_start = clock::now();
  std::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void caller_connection::enforce_limits(time_point now) {
  switch (m_phase) {
    case connection_phase::idle:
      close_if_idle_since(now - m_limits.idle_timeout);
      return;
    case connection_phase::reading:
      // The timeout limits the whole head, but for a body only the time between two reads.
      if (now - (m_head_done ? m_last_read : m_phase_start) >= m_limits.header_timeout) {
        reject(408, "request not received in time");
      }
      return;
    case connection_phase::lingering:
      if (now - m_phase_start >= k_linger_timeout && !m_writing) {
        close();
      }
      return;
    case connection_phase::responding:
    case connection_phase::closed:
      return;
  }
}

void caller_connection::close() {
  if (m_phase == connection_phase::closed) {
    return;
  }
  m_phase = connection_phase::closed;
  std::error_code ignored;
  m_socket.close(ignored);
  if (m_handlers.closed) {
    m_handlers.closed(this);
  }
}

}  // namespace cuminpath::proxy
