#include "core/proxy/caller_connection.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <charconv>

#include <fmt/format.h>

#include "core/net/socket_options.h"
#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

// Pipelined bytes buffered while a request is being served. Beyond this, reading stops until the response has
// been sent.
constexpr std::size_t k_max_pipelined_bytes = 64U << 10U;
constexpr std::size_t k_max_pipelined_under_pressure = 4U << 10U;
// While more of finished responses than this waits to be read by the caller, it gets no further ones.
constexpr std::size_t k_max_unsent_bytes = 128U << 10U;
// Output is released as far as it has been handed to the socket, in steps of this size.
constexpr std::size_t k_max_write_bytes = 256U << 10U;
// Objects of a request that is being served, and of its connection to an upstream.
constexpr std::size_t k_served_request_bytes = 8U << 10U;
constexpr int k_no_content = 204;
constexpr int k_not_modified = 304;
constexpr int k_bad_gateway = 502;
// What a stream of small events holds between two of them. It goes on whatever others hold.
constexpr std::size_t k_always_held_response_bytes = 4U << 10U;
// Callers that make no progress give way within 0.5 s.
constexpr milliseconds k_min_retry_after{500};
constexpr std::string_view k_no_memory = "no memory for another request";
// Time for the caller to read the last response and close the connection. Closing the socket while unread
// input is pending resets the connection, and the caller could lose the response.
constexpr milliseconds k_linger_timeout{1000};

bool expects_continue(const http::header_list& headers) {
  const auto value = http::find_header(headers, "Expect");
  return value && http::equal_ignoring_case(*value, "100-continue");
}

// Returns the size of the body if the head states it.
std::optional<std::uint64_t> announced_body_bytes(const http::header_list& headers) {
  const auto value = http::find_header(headers, "Content-Length");
  if (!value || http::find_header(headers, "Transfer-Encoding")) {
    return std::nullopt;
  }
  std::uint64_t bytes = 0;
  const auto parsed = std::from_chars(value->data(), value->data() + value->size(), bytes);
  return parsed.ec == std::errc() ? std::optional(bytes) : std::nullopt;
}

http::response problem(int status, std::string_view reason, std::string_view execution) {
  return {
      .status = status,
      .headers = {{"Content-Type", "application/problem+json"}},
      .body = fmt::format(R"({{"status":{},"reason":"{}","execution":"{}"}})", status, reason, execution)};
}

}  // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket, handlers callbacks,
                                     caller_memory_budget& memory, time_point now)
    : m_socket(std::move(socket)),
      m_handlers(std::move(callbacks)),
      m_memory(memory),
      m_parser(message_parser::message_type::requests),
      m_phase_start(now),
      m_last_read(now) {
  m_memory.add(this, now);
  m_parser.on_head = [this](message_head&& head) {
    m_head_done = true;
    m_keep_alive = head.keep_alive;
    m_request.method = std::move(head.method);
    m_request.target = std::move(head.target);
    m_request.headers = std::move(head.headers);
    m_max_body = announced_body_bytes(m_request.headers).value_or(m_limits.max_body_bytes);
    if (expects_continue(m_request.headers)) {
      append("HTTP/1.1 100 Continue\r\n\r\n");
    }
  };
  m_parser.on_body = [this](std::string_view bytes) {
    if (!m_body) {
      m_body = std::make_shared<byte_blocks>();
    }
    m_body->append(bytes);
  };
}

caller_connection::~caller_connection() {
  m_memory.remove(this);
}

void caller_connection::start() {
  std::error_code ignored;
  m_socket.non_blocking(true, ignored);
  net::set_connection_options(m_socket);
  m_limits = m_handlers.limits();
  wait_readable();
}

std::size_t caller_connection::max_pipelined_bytes() const {
  return m_memory.under_pressure() ? k_max_pipelined_under_pressure : k_max_pipelined_bytes;
}

bool caller_connection::accepts_input() const {
  switch (m_phase) {
    case connection_phase::idle:
      // The next request is served from the pipelined bytes, and only once the caller has read its responses.
      return m_pipelined.empty() && unsent_bytes() <= k_max_unsent_bytes;
    case connection_phase::reading:
      return !m_awaits_claim;
    case connection_phase::responding:
      return m_pipelined.size() < max_pipelined_bytes();
    case connection_phase::lingering:
      return true;
    case connection_phase::closed:
      return false;
  }
  return false;
}

void caller_connection::wait_readable() {
  if (m_wait_pending || !accepts_input()) {
    return;
  }
  m_wait_pending = true;
  m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
    self->m_wait_pending = false;
    if (!error && self->accepts_input()) {
      self->on_readable();
    }
  });
}

bool caller_connection::may_read() {
  if (m_phase == connection_phase::responding || m_phase == connection_phase::lingering) {
    return true;  // The first is limited by max_pipelined_bytes(), the second discards what it reads.
  }
  const bool is_small = !m_body || m_body->size() < k_unclaimed_body_bytes;
  const std::size_t size = net::read_buffer().size();
  if (!m_memory.fits(size) && !m_handlers.make_room(this) && !(is_small && m_memory.fits_small(size))) {
    if (m_phase == connection_phase::reading) {
      evict(k_no_memory, milliseconds{0});
    } else {
      close();
    }
    return false;
  }
  if (m_phase == connection_phase::reading && m_body && m_body->size() >= k_unclaimed_body_bytes &&
      !m_memory.claim(this, m_max_body, clock::now())) {
    m_awaits_claim = true;
    return false;
  }
  return true;
}

void caller_connection::on_readable() {
  if (!may_read()) {
    wait_readable();
    return;
  }
  std::error_code error;
  const auto buffer = net::read_buffer();
  std::size_t max_size = buffer.size();
  if (m_phase == connection_phase::responding) {
    max_size = std::min(max_size, max_pipelined_bytes() - m_pipelined.size());
  }
  const std::size_t size = m_socket.read_some(asio::buffer(buffer.data(), max_size), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    wait_readable();
    return;
  }
  if (error) {
    drop();
    return;
  }
  m_last_read = clock::now();
  if (m_phase == connection_phase::responding) {
    m_pipelined.append(buffer.data(), size);
    m_memory.hold(this, held_part::pipelined, m_pipelined.capacity());
  } else if (m_phase != connection_phase::lingering) {
    if (m_phase == connection_phase::reading) {
      m_memory.on_progress(this, size, m_last_read);
    }
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
    m_body.reset();
    m_head_done = false;
    m_memory.on_step(this, m_last_read);
    m_parser.start({.max_head_bytes = m_limits.max_header_bytes, .max_body_bytes = m_limits.max_body_bytes});
  }
  const auto result = m_parser.feed(bytes);
  switch (result.status) {
    case parse_status::need_more:
      charge_input();
      return;
    case parse_status::complete:
      m_pipelined.assign(bytes.substr(std::min(result.consumed, bytes.size())));
      charge_input();
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

void caller_connection::charge_input() {
  m_memory.hold(this, held_part::head, m_parser.head_memory());
  m_memory.hold(this, held_part::body, m_body ? m_body->allocated_bytes() : 0);
  m_memory.hold(this, held_part::pipelined, m_pipelined.capacity());
}

void caller_connection::handle_request() {
  m_phase = connection_phase::responding;
  const time_point arrived = m_phase_start;
  m_phase_start = m_last_read;
  m_head_request = m_request.method == "HEAD";
  m_memory.hold(this, held_part::head, m_parser.head_memory() + k_served_request_bytes);
  m_memory.set_served(this, true);
  m_memory.on_step(this, m_last_read);
  m_handlers.request(shared_from_this(), std::move(m_request), std::exchange(m_body, nullptr), arrived);
}

void caller_connection::release_request() {
  m_request = {};
  m_body.reset();
  m_awaits_claim = false;
  m_memory.release_claim(this);
  m_memory.hold(this, held_part::head, 0);
  m_memory.hold(this, held_part::body, 0);
  m_memory.hold(this, held_part::response, 0);
}

void caller_connection::reject(int status, std::string_view reason, milliseconds retry_after) {
  http::response response = problem(status, reason, "not_run");
  if (const auto id = m_request.header(m_handlers.request_id_header)) {
    response.headers.emplace_back(m_handlers.request_id_header, *id);
  }
  if (retry_after.count() > 0) {
    response.headers.emplace_back("Retry-After",
                                  fmt::format("{:.3f}", static_cast<double>(retry_after.count()) / 1000));
  }
  m_phase = connection_phase::responding;
  m_keep_alive = false;
  m_head_request = m_parser.is_head_request();
  m_parser.start({});  // Releases a head of which a part has been parsed.
  respond(response);
}

void caller_connection::evict(std::string_view reason, milliseconds retry_after) {
  switch (m_phase) {
    case connection_phase::reading:
      reject(503, reason, std::max(retry_after, k_min_retry_after));
      return;
    case connection_phase::responding:
    case connection_phase::idle:
    case connection_phase::lingering:
      drop();
      return;
    case connection_phase::closed:
      return;
  }
}

bool caller_connection::close_to_free_descriptor() {
  std::error_code error;
  if (m_phase == connection_phase::idle && m_socket.available(error) > 0) {
    m_memory.on_step(this, clock::now());
    return false;
  }
  drop();
  return true;
}

bool caller_connection::hold_response_bytes(std::size_t bytes) {
  m_memory.hold(this, held_part::response, bytes);
  return m_memory.fits(0) || m_handlers.make_room(this) || bytes <= k_always_held_response_bytes ||
         (bytes <= k_unclaimed_body_bytes && m_memory.fits_small(0));
}

void caller_connection::resume_reading(time_point now) {
  if (std::exchange(m_awaits_claim, false)) {
    m_last_read = now;
    wait_readable();
  }
}

const char* caller_connection::phase_name() const {
  switch (m_phase) {
    case connection_phase::idle:
      return "idle";
    case connection_phase::reading:
      return "reading";
    case connection_phase::responding:
      return "responding";
    case connection_phase::lingering:
      return "lingering";
    case connection_phase::closed:
      return "closed";
  }
  return "";
}

std::string caller_connection::serialize_head(int status, const http::header_list& headers) {
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, http::reason_phrase(status));
  for (const auto& [name, value] : headers) {
    text += fmt::format("{}: {}\r\n", name, value);
  }
  // A pipelined request that has arrived still gets its response.
  m_close_announced =
      (m_close_after_response && m_pipelined.empty()) || m_close_after_next_response || !m_keep_alive;
  if (m_close_announced) {
    text += "Connection: close\r\n";
  }
  return text;
}

void caller_connection::respond(const http::response& response) {
  respond(response.status, response.headers, byte_blocks(response.body));
}

void caller_connection::respond(int status, const http::header_list& headers, byte_blocks&& body) {
  if (m_phase != connection_phase::responding) {
    return;
  }
  if (!http::is_final_status(status)) {
    respond(problem(k_bad_gateway, "response without a valid status", "unknown"));
    return;
  }
  const bool has_no_length = status == k_no_content || status == k_not_modified;
  // The length of the body that a response to another method would have is known for responses of the gateway
  // only, which come with that body.
  const bool length_unknown = m_head_request && body.size() == 0;
  std::string text = serialize_head(status, headers);
  if (!has_no_length && !length_unknown && !http::find_header(headers, "Content-Length")) {
    text += fmt::format("Content-Length: {}\r\n", body.size());
  }
  text += "\r\n";
  append(text);
  if (!has_no_length && !m_head_request) {
    m_pending_output.append(std::move(body));
  }
  m_memory.hold(this, held_part::output,
                m_pending_output.allocated_bytes() + m_output_in_flight.allocated_bytes());
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
  release_request();
  m_memory.set_served(this, false);
  m_memory.on_step(this, clock::now());
  if (m_close_announced) {
    std::string().swap(m_pipelined);
    m_memory.hold(this, held_part::pipelined, 0);
    m_phase = connection_phase::lingering;
    m_phase_start = clock::now();
    flush();
    return;
  }
  m_phase = connection_phase::idle;
  m_phase_start = m_last_read = clock::now();
  serve_next_pipelined();
}

void caller_connection::serve_next_pipelined() {
  // A caller that reads no responses gets no further ones.
  if (m_phase != connection_phase::idle || m_pipelined.empty() || unsent_bytes() > k_max_unsent_bytes) {
    return;
  }
  // The next pipelined request is handled from the event loop, so that long pipelines do not recurse.
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    if (self->m_phase == connection_phase::idle && !self->m_pipelined.empty()) {
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
  m_memory.hold(this, held_part::output,
                m_pending_output.allocated_bytes() + m_output_in_flight.allocated_bytes());
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
  m_send_watch.on_sent(clock::now());
  m_output_in_flight = m_pending_output.take_front(k_max_write_bytes);
  std::vector<asio::const_buffer> buffers;
  for (const std::string_view view : m_output_in_flight.views()) {
    buffers.emplace_back(view.data(), view.size());
  }
  asio::async_write(m_socket, buffers, [self = shared_from_this()](std::error_code error, std::size_t size) {
    self->m_writing = false;
    self->m_output_in_flight.clear();
    self->m_memory.hold(self.get(), held_part::output, self->m_pending_output.allocated_bytes());
    self->m_memory.on_progress(self.get(), size, clock::now());
    if (!error) {
      self->flush();
      self->serve_next_pipelined();
      self->wait_readable();
    } else {
      self->drop();
    }
  });
}

void caller_connection::shutdown_send() {
  m_phase_start = clock::now();
  std::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void caller_connection::check_delivery(time_point now) {
  const auto verdict = m_send_watch.sample(m_socket.native_handle(), now);
  if (verdict == net::send_verdict::done && m_writing) {
    m_send_watch.on_sent(now);
  }
  if (verdict == net::send_verdict::unread || verdict == net::send_verdict::gone) {
    telemetry::log(
        telemetry::log_level::info, "callers", "caller is cut off",
        {{"reason", verdict == net::send_verdict::gone ? "it no longer answers" : "it reads nothing"},
         {"phase", phase_name()},
         {"held_bytes", static_cast<std::int64_t>(m_memory.held(this))}});
    net::reset_on_close(m_socket);
    drop();
  }
}

void caller_connection::enforce_limits(time_point now) {
  if (now >= m_send_watch.due()) {
    check_delivery(now);
  }
  switch (m_phase) {
    case connection_phase::idle:
      // A caller that still reads its response is not idle.
      if (!m_send_watch.active()) {
        close_if_idle_since(now - m_limits.idle_timeout);
      }
      return;
    case connection_phase::reading:
      // The timeout limits the whole head, but for a body only the time between two reads.
      if (!m_awaits_claim && now - (m_head_done ? m_last_read : m_phase_start) >= m_limits.header_timeout) {
        reject(408, "request not received in time");
      }
      return;
    case connection_phase::lingering:
      if (now - m_phase_start >= k_linger_timeout && !m_writing) {
        close();
      }
      return;
    case connection_phase::responding:
      wait_readable();  // The pressure that stopped it may have ended.
      return;
    case connection_phase::closed:
      return;
  }
}

void caller_connection::drop() {
  if (m_phase == connection_phase::responding && m_handlers.disconnected) {
    m_handlers.disconnected(this);
  }
  close();
}

void caller_connection::close() {
  if (m_phase == connection_phase::closed) {
    return;
  }
  m_phase = connection_phase::closed;
  if (m_send_watch.active()) {
    net::limit_unacknowledged_time(m_socket.native_handle(), net::k_max_unread_time);
    m_send_watch.stop();
  }
  std::error_code ignored;
  m_socket.close(ignored);
  release_request();
  std::string().swap(m_pipelined);
  m_pending_output.clear();
  m_memory.remove(this);
  if (m_handlers.closed) {
    m_handlers.closed(this);
  }
}

}  // namespace cuminpath::proxy
