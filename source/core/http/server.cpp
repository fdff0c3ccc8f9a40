#include "core/http/server.h"

#include <algorithm>
#include <asio.hpp>
#include <charconv>
#include <restinio/all.hpp>

#include "core/http/connection_table.h"
#include "core/http/streamed_response.h"

namespace cuminpath::http {

using stream_builder = restinio::response_builder_t<streamed_output>;

class connection_responder final : public responder,
                                   public std::enable_shared_from_this<connection_responder> {
public:
  connection_responder(restinio::request_handle_t request, std::shared_ptr<connection_table> table)
      : m_connection_id(request->connection_id()), m_request(std::move(request)), m_table(std::move(table)) {}

  ~connection_responder() override {
    if (m_request != nullptr && !m_closed) {
      respond(response{500, {{"Content-Type", "text/plain"}}, "no response\n"});
    } else if (m_stream && !m_closed) {
      m_stream->abort_body();
    }
  }
  connection_responder(const connection_responder&) = delete;
  connection_responder& operator=(const connection_responder&) = delete;

  void respond(response value) override {
    if (m_request == nullptr) {
      return;
    }
    if (!is_final_status(value.status)) {
      value = response{502, {{"Content-Type", "text/plain"}}, "response without a valid status\n"};
    }
    if (m_request->header().method() == restinio::http_method_head()) {
      respond_without_body(value);
      return;
    }
    auto builder = m_request->create_response(status_line(value.status));
    if (m_table->close_after_responses) {
      builder.connection_close();
    }
    for (auto& [name, text] : value.headers) {
      builder.append_header(std::move(name), std::move(text));
    }
    builder.set_body(std::move(value.body));
    builder.done();
    finish();
  }

  void begin_stream(int status, const header_list& headers) override {
    if (m_request == nullptr) {
      return;
    }
    if (!is_final_status(status)) {
      respond({.status = status});
      return;
    }
    m_stream.emplace(m_request->create_response<streamed_output>(status_line(status)));
    if (m_table->close_after_responses) {
      m_stream->connection_close();
    }
    for (const auto& [name, text] : headers) {
      m_stream->append_header(name, text);
    }
    m_stream->send_header();
    m_request.reset();
  }

  void write(std::string_view chunk) override {
    if (!m_stream || m_closed || chunk.empty()) {
      return;
    }
    const auto size = chunk.size();
    m_unsent += size;
    m_stream->send_chunk(chunk,
                         [self = weak_from_this(), size](const restinio::asio_ns::error_code& failure) {
                           if (const auto locked = self.lock()) {
                             locked->m_unsent -= size;
                             if (failure) {
                               locked->mark_closed();
                             }
                           }
                         });
  }

  void end_stream() override {
    if (m_stream) {
      m_stream->send_last_chunk();
      m_stream.reset();
      finish();
    }
  }

  void abort_stream() override {
    if (m_stream) {
      m_stream->abort_body();
      m_stream.reset();
      finish();
    }
  }

  [[nodiscard]] std::size_t unsent_bytes() const override { return m_unsent; }
  [[nodiscard]] bool closed() const override { return m_closed; }
  void on_closed(std::function<void()> callback) override { m_on_closed = std::move(callback); }

  void mark_closed() {
    if (m_closed) {
      return;
    }
    m_closed = true;
    if (m_on_closed) {
      std::exchange(m_on_closed, nullptr)();
    }
  }

private:
  // A response to HEAD ends with its head. It states the length of the body that GET would get.
  void respond_without_body(const response& value) {
    auto builder = m_request->create_response<restinio::user_controlled_output_t>(status_line(value.status));
    if (m_table->close_after_responses) {
      builder.connection_close();
    }
    std::size_t length = value.body.size();
    if (const auto stated = find_header(value.headers, "Content-Length")) {
      std::from_chars(stated->data(), stated->data() + stated->size(), length);
    }
    for (const auto& [name, text] : value.headers) {
      if (!equal_ignoring_case(name, "Content-Length")) {
        builder.append_header(name, text);
      }
    }
    builder.set_content_length(length);
    builder.done();
    finish();
  }

  static restinio::http_status_line_t status_line(int status) {
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            std::string(reason_phrase(status))};
  }

  // Releases the response; the connection may then serve another request.
  void finish() {
    m_request.reset();
    m_on_closed = nullptr;
    const auto found = m_table->responders.find(m_connection_id);
    if (found != m_table->responders.end() && found->second.lock().get() == this) {
      m_table->responders.erase(found);
    }
  }

  connection_id m_connection_id;
  restinio::request_handle_t m_request;
  std::shared_ptr<connection_table> m_table;
  std::optional<stream_builder> m_stream;
  std::size_t m_unsent = 0;
  bool m_closed = false;
  std::function<void()> m_on_closed;
};

namespace {

// Keeps the table of connections, and marks the response in progress as closed when RESTinio reports that its
// connection has closed.
class state_listener {
public:
  explicit state_listener(std::shared_ptr<connection_table> table) : m_table(std::move(table)) {}

  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
      m_table->open.insert(notice.connection_id());
      return;
    }
    m_table->on_closed(notice.connection_id());
    const auto found = m_table->responders.find(notice.connection_id());
    if (found == m_table->responders.end()) {
      return;
    }
    const auto open = found->second.lock();
    m_table->responders.erase(found);
    if (open) {
      open->mark_closed();
    }
  }

  [[nodiscard]] const std::shared_ptr<connection_table>& table() const { return m_table; }

private:
  std::shared_ptr<connection_table> m_table;
};

struct server_traits : public restinio::default_single_thread_traits_t {
  using timer_manager_t = restinio::asio_timer_manager_t;
  using logger_t = restinio::null_logger_t;
  using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
  using connection_state_listener_t = state_listener;
  using stream_socket_t = counted_socket;
};

}  // namespace
}  // namespace cuminpath::http

namespace restinio::impl {

// Accepts connections. RESTinio's own acceptor does not accept again after an error, for instance when the
// process had no descriptor left for one connection.
template <>
class acceptor_t<cuminpath::http::server_traits> final
    : public std::enable_shared_from_this<acceptor_t<cuminpath::http::server_traits>> {
public:
  using traits = cuminpath::http::server_traits;
  using factory_handle = std::shared_ptr<connection_factory_t<traits>>;
  using lifetime_monitor = connection_count_limit_types<traits>::lifetime_monitor_t;

  template <typename Settings>
  acceptor_t(Settings& settings, asio_ns::io_context& context, factory_handle connections,
             traits::logger_t& /*logger*/)
      : m_endpoint(std::get<asio_ns::ip::address>(settings.address()), settings.port()),
        m_set_options(settings.acceptor_options_setter()),
        m_after_bind(settings.giveaway_acceptor_post_bind_hook()),
        m_acceptor(context),
        m_executor(context.get_executor()),
        m_pause(context),
        m_limiter(nullptr, connection_count_limits::max_parallel_connections_t{0},
                  connection_count_limits::max_active_accepts_t{0}),
        m_connections(std::move(connections)),
        m_table(settings.connection_state_listener()->table()) {}

  void open() {
    m_acceptor.open(m_endpoint.protocol());
    acceptor_options_t options{m_acceptor};
    (*m_set_options)(options);
    m_acceptor.bind(m_endpoint);
    m_after_bind(m_acceptor);
    m_acceptor.listen(asio_ns::socket_base::max_connections);
    accept_next();
  }
  void close() {
    m_pause.cancel();
    asio_ns::error_code ignored;
    m_acceptor.close(ignored);
  }
  auto& get_open_close_operations_executor() noexcept { return m_executor; }

private:
  // Long enough that a process without descriptors does not spend its time on accepting, and short beside
  // the time-outs of callers.
  static constexpr std::chrono::milliseconds k_pause_after_error{100};

  // A connection that was given up closes with its pending read, in the next round of the event loop.
  static constexpr std::chrono::milliseconds k_time_to_close{5};
  // A connection has this long to send something before another one may take its place.
  static constexpr std::chrono::milliseconds k_min_time_without_progress{500};

  void accept_next() {
    if (m_table->open.size() >= m_table->max_connections) {
      const bool given_up = m_table->give_up_one(0, cuminpath::clock::now() - k_min_time_without_progress);
      accept_after(given_up ? k_time_to_close : k_pause_after_error);
      return;
    }
    m_acceptor.async_accept(
        [self = shared_from_this()](const asio_ns::error_code& failure, asio_ns::ip::tcp::socket socket) {
          if (!self->m_acceptor.is_open()) {
            return;
          }
          if (failure) {
            self->accept_after(k_pause_after_error);
            return;
          }
          self->serve(std::move(socket));
          self->accept_next();
        });
  }

  void accept_after(std::chrono::milliseconds pause) {
    m_pause.expires_after(pause);
    m_pause.async_wait([self = shared_from_this()](const asio_ns::error_code& cancelled) {
      if (!cancelled && self->m_acceptor.is_open()) {
        self->accept_next();
      }
    });
  }

  void serve(asio_ns::ip::tcp::socket socket) {
    asio_ns::error_code failure;
    const auto remote = socket.remote_endpoint(failure);
    if (failure) {
      return;  // The peer has closed the connection already.
    }
    try {
      auto use = std::make_shared<cuminpath::http::connection_use>(cuminpath::http::connection_use{
          .descriptor = socket.native_handle(), .last_progress = cuminpath::clock::now()});
      const auto connection = m_connections->create_new_connection(
          cuminpath::http::counted_socket(std::move(socket), m_table, use), remote,
          lifetime_monitor{&m_limiter});
      m_table->uses.emplace(connection->connection_id(), std::move(use));
      connection->init();
    } catch (const std::exception&) {
      return;  // The connection closes with its socket.
    }
  }

  asio_ns::ip::tcp::endpoint m_endpoint;
  std::unique_ptr<acceptor_options_setter_t> m_set_options;
  acceptor_post_bind_hook_t m_after_bind;
  asio_ns::ip::tcp::acceptor m_acceptor;
  default_asio_executor m_executor;
  asio_ns::steady_timer m_pause;
  connection_count_limit_types<traits>::limiter_t m_limiter;
  factory_handle m_connections;
  std::shared_ptr<cuminpath::http::connection_table> m_table;
};

}  // namespace restinio::impl

namespace cuminpath::http {
namespace {

using restinio_server = restinio::http_server_t<server_traits>;

request to_request(const restinio::request_t& source) {
  request value;
  value.method = source.header().method().c_str();
  value.target = source.header().request_target();
  source.header().for_each_field([&value](const restinio::http_header_field_t& field) {
    value.headers.emplace_back(field.name(), field.value());
  });
  value.body = source.body();
  return value;
}

struct ip_and_port {
  std::string ip;
  std::uint16_t port = 0;
};

std::optional<ip_and_port> split_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  ip_and_port value{.ip = std::string(text.substr(0, colon)), .port = 0};
  const auto digits = text.substr(colon + 1);
  const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), value.port);
  if (failure != std::errc{} || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

class server::impl {
public:
  impl(asio::io_context& context, const server_options& options, const ip_and_port& address,
       request_handler handler)
      : m_table(std::make_shared<connection_table>()), m_handler(std::move(handler)) {
    m_table->max_connections = options.max_connections;
    m_table->max_incomplete_bytes = options.max_incomplete_bytes;
    m_server = std::make_unique<restinio_server>(
        restinio::external_io_context(context), [&](restinio::server_settings_t<server_traits>& settings) {
          settings
              .address(
                  restinio::asio_ns::ip::make_address(address.ip == "localhost" ? "127.0.0.1" : address.ip))
              .port(address.port)
              .request_handler(
                  [this](restinio::request_handle_t handle) { return on_request(std::move(handle)); })
              .connection_state_listener(std::make_shared<state_listener>(m_table))
              .read_next_http_message_timelimit(options.read_timeout)
              .handle_request_timeout(options.response_timeout)
              .write_http_response_timelimit(options.read_timeout)
              .max_pipelined_requests(1)
              .buffer_size(16U << 10U)
              .socket_options_setter(
                  [](auto& socket) { socket.set_option(restinio::asio_ns::ip::tcp::no_delay{true}); })
              .acceptor_options_setter([](auto& acceptor) {
                acceptor.set_option(restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
              })
              .acceptor_post_bind_hook([this](restinio::asio_ns::ip::tcp::acceptor& acceptor) {
                const auto endpoint = acceptor.local_endpoint();
                m_address = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
              })
              .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                            .max_url_size(options.max_header_bytes)
                                            .max_field_name_size(options.max_header_bytes)
                                            .max_field_value_size(options.max_header_bytes)
                                            .max_field_count(128)
                                            .max_body_size(options.max_body_bytes));
        });
    m_server->open_sync();
  }

  ~impl() { m_server->close_sync(); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  [[nodiscard]] const std::string& address() const { return m_address; }
  void close_after_responses() { m_table->close_after_responses = true; }
  void stop_accepting() { m_server->close_sync(); }
  [[nodiscard]] std::size_t connection_count() const { return m_table->open.size(); }

private:
  restinio::request_handling_status_t on_request(restinio::request_handle_t handle) {
    auto value = to_request(*handle);
    const auto id = handle->connection_id();
    m_table->on_request(id, clock::now());
    auto open = std::make_shared<connection_responder>(std::move(handle), m_table);
    m_table->responders[id] = open;
    m_handler(std::move(value), std::move(open));
    return restinio::request_accepted();
  }

  std::shared_ptr<connection_table> m_table;
  request_handler m_handler;
  std::string m_address;
  std::unique_ptr<restinio_server> m_server;
};

result<std::unique_ptr<server>> server::start(asio::io_context& context, const server_options& options,
                                              request_handler handler) {
  const auto address = split_address(options.address);
  if (!address) {
    return make_error(error_code::invalid_input, "not an IP:PORT address: " + options.address);
  }
  try {
    return std::unique_ptr<server>(
        new server(std::make_unique<impl>(context, options, *address, std::move(handler))));
  } catch (const std::exception& failure) {
    return make_error(error_code::unreachable, "cannot listen on " + options.address + ": " + failure.what());
  }
}

server::server(std::unique_ptr<impl> implementation) : m_impl(std::move(implementation)) {}
server::~server() = default;
std::string server::address() const {
  return m_impl->address();
}
void server::close_after_responses() {
  m_impl->close_after_responses();
}
void server::stop_accepting() {
  m_impl->stop_accepting();
}
std::size_t server::connection_count() const {
  return m_impl->connection_count();
}

result<std::unique_ptr<server>> serve_pages(asio::io_context& context, const std::string& address,
                                            std::vector<page> pages) {
  return server::start(
      context, {.address = address},
      [pages = std::move(pages)](const request& value, const std::shared_ptr<responder>& out) {
        const auto found = std::find_if(pages.begin(), pages.end(),
                                        [&value](const page& each) { return each.path == value.path(); });
        out->respond(found == pages.end() ? response{.status = 404} : found->handler(value));
      });
}

result<std::unique_ptr<server>> serve_page(asio::io_context& context, const std::string& address,
                                           std::string path, page_handler handler) {
  return serve_pages(context, address, {{std::move(path), std::move(handler)}});
}

}  // namespace cuminpath::http
